"""Fleets of many sizes, and what goes wrong in them."""

from collections import Counter
from dataclasses import replace

import pytest
from simulation_scenarios import CROWD, run_simulation

from apigateway import messages
from apigateway.policy import Gateway
from apigateway.simulation.clock import START_TIME
from apigateway.simulation.scenario import (
    CustomerSettings,
    EndpointListSettings,
    FaultSettings,
    HostSettings,
)
from apigateway.simulation.simulation import Simulation


@pytest.mark.parametrize(
    "gateways, hosts, load",
    [(3, 10, 0.6), (20, 200, 0.15), (200, 10, 0.6), (1000, 50, 0.3), (10, 1000, 0.03)],
)
def test_fleet_of_any_size_serves_all_requests_and_leaves_no_host_idle(gateways, hosts, load):
    scenario = replace(
        CROWD, gateways=gateways, load=load, length=3.0, warm_up=1.0, machines=HostSettings(count=hosts)
    )
    simulation, figures = run_simulation(scenario)
    assert figures["broken"] == 0 and figures["in_aim"] > 0.97 and figures["refused"] < 0.01
    met = sum(host.accepted > 0 for host in simulation.fleet.hosts.values())
    asked = sum(host.accepted for host in simulation.fleet.hosts.values())
    assert met > 0.9 * min(hosts, asked / 3)


def test_gateways_when_their_traffic_is_uneven_serve_alike():
    busy = run_simulation(
        replace(CROWD, customers=CustomerSettings(count=120, busiest=6.0, gateway_skew=1.5))
    )
    sends = sorted(gateway.upstream.attempts_made for gateway in busy[0].fleet.gateways)
    assert sends[0] * 6 < sends[-1] and busy[1]["in_aim"] > 0.97


@pytest.mark.parametrize("starts", [0.0, 1.0])
def test_gateways_when_started_at_once_with_one_seed_select_different_hosts(starts):
    """The seeds are the same on purpose: no gateway may count on its own being another's."""
    picked, scenario = Counter(), replace(CROWD, gateways=200, machines=HostSettings(count=50))
    hosts = tuple(messages.Endpoint(f"h{n}", "abc"[n % 3], n // 6, 1.0, "k", "up", 0.0) for n in range(50))
    for index in range(200):
        gateway = Gateway(scenario.settings(index), 7, 1000.0)
        gateway.handle(1000.0, messages.EndpointList("cached", 1, hosts))
        for act in gateway.handle(
            1000.0 + starts, messages.Request("r", 4.0, "c", "free", "read", 1.0, 0, 9)
        ):
            if isinstance(act, messages.ForwardRequest):
                picked[act.endpoint_id] += 1
    assert sum(picked.values()) == 200 and max(picked.values()) <= 16 and len(picked) >= 35


@pytest.mark.parametrize(
    "fault, least",
    [
        (FaultSettings("lie", 0.0, 6.0, part=0.1), 0.97),
        (FaultSettings("stale", 0.0, 6.0, zone="a", size=2.0), 0.97),
        (FaultSettings("err", 0.0, 6.0, part=0.1), 0.9),
        (FaultSettings("refuse_some", 0.0, 6.0, part=0.1), 0.97),
    ],
    ids=lambda x: getattr(x, "what", ""),
)
def test_hosts_when_their_reports_or_answers_mislead_attract_no_more_than_their_share(fault, least):
    simulation, figures = run_simulation(replace(CROWD, faults=(fault,)))
    assert figures["broken"] == 0 and figures["in_aim"] > least
    assert (
        max(host.accepted for host in simulation.fleet.hosts.values()) < 1.8 * figures["firsts"] * 8 / 6 / 20
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "listing",
    [
        EndpointListSettings(0.5, 1.5),
        EndpointListSettings(2.0, 4.0),
        EndpointListSettings(0.5, 1.5, miss=0.2),
    ],
    ids=["usual", "late by seconds", "misses a fifth"],
)
def test_fleet_when_six_hosts_in_ten_are_replaced_by_cold_ones_keeps_serving(listing, seed):
    """Drains are told to all, late to some; where a fifth is missed, it is of what is told besides."""
    fault = FaultSettings("replace", 0.5, part=0.6, over=7.0)
    _, figures = run_simulation(replace(CROWD, load=0.4, length=10.0, listing=listing, faults=(fault,)), seed)
    assert figures["broken"] == 0 and figures["in_aim"] > 0.85


@pytest.mark.parametrize(
    "scenario, least",
    [
        (replace(CROWD, machines=HostSettings(count=20, big=0.3, weights=True)), 0.97),
        (replace(CROWD, machines=HostSettings(count=20, big=0.3)), 0.95),
        (replace(CROWD, machines=HostSettings(count=20, reports=())), 0.95),
        (replace(CROWD, probes=False), 0.97),
        (replace(CROWD, faults=(FaultSettings("shift", 1.0, part=0.9),)), 0.97),
        (
            replace(
                CROWD, faults=(FaultSettings("link", 0.0, 6.0, zone="a", there="b", lose=0.1, size=0.0),)
            ),
            0.9,
        ),
    ],
    ids=["told weights", "untold ones", "no reports", "no probes", "traffic moves", "a tenth lost"],
)
def test_fleet_when_hosts_differ_or_links_lose_messages_keeps_serving(scenario, least):
    _, figures = run_simulation(scenario)
    assert figures["broken"] == 0 and figures["in_aim"] > least and figures["refused"] < 0.03


@pytest.mark.parametrize("what", ["hang", "err", "refuse"])
def test_host_when_it_recovers_is_not_flooded(what):
    """It is the emptiest of all, and the only one with a fresh report of that."""
    scenario = replace(CROWD, gateways=200, faults=(FaultSettings(what, 0.0, 2.0, part=0.05),))
    simulation, marks = Simulation(scenario, 3, Gateway), []
    for at in (2.0, 3.0, 4.0):
        simulation.clock.call_at(
            START_TIME + scenario.warm_up + at,
            lambda: marks.append({name: host.accepted for name, host in simulation.fleet.hosts.items()}),
        )
    simulation.clock.call_at(
        START_TIME + scenario.warm_up + 1.0,
        lambda: marks.append(
            [
                name
                for name, host in simulation.fleet.hosts.items()
                if host.mode != "up" or host.refused_gateways
            ]
        ),
    )
    assert simulation.run()["broken"] == 0
    (back,), *counts = marks
    for before, after in zip(counts, counts[1:], strict=False):
        taken = {name: after[name] - before[name] for name in after}
        assert taken[back] <= 2.0 * sum(taken.values()) / len(taken) + 3
    assert counts[-1][back] > counts[0][back]  # and it is gone to again
