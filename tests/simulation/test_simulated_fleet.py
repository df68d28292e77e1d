"""Fleets of various sizes, under faults and with uneven traffic."""

from collections import Counter
from dataclasses import replace

import pytest
from simulation_scenarios import FLEET, run_simulation

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
def test_fleet_of_any_size_serves_all_requests_and_uses_all_hosts(gateways, hosts, load):
    scenario = replace(
        FLEET, gateways=gateways, load=load, length=3.0, warm_up=1.0, machines=HostSettings(count=hosts)
    )
    simulation, figures = run_simulation(scenario)
    assert figures["broken"] == 0 and figures["in_aim"] > 0.97 and figures["refused"] < 0.01
    used_hosts = sum(host.accepted_count > 0 for host in simulation.fleet.hosts.values())
    accepted = sum(host.accepted_count for host in simulation.fleet.hosts.values())
    assert used_hosts > 0.9 * min(hosts, accepted / 3)


def test_gateways_with_uneven_traffic_serve_all_requests():
    uneven_run = run_simulation(
        replace(FLEET, customers=CustomerSettings(count=120, busiest=6.0, gateway_skew=1.5))
    )
    attempt_counts = sorted(gateway.upstream.attempt_count for gateway in uneven_run[0].fleet.gateways)
    assert attempt_counts[0] * 6 < attempt_counts[-1] and uneven_run[1]["in_aim"] > 0.97


@pytest.mark.parametrize("request_delay", [0.0, 1.0])
def test_gateways_started_together_with_the_same_seed_select_different_hosts(request_delay):
    """The seeds are equal on purpose: gateways must spread over hosts even if their seeds collide."""
    selected, scenario = Counter(), replace(FLEET, gateways=200, machines=HostSettings(count=50))
    hosts = tuple(messages.Endpoint(f"h{n}", "abc"[n % 3], n // 6, 1.0, "k", "up", 0.0) for n in range(50))
    for index in range(200):
        gateway = Gateway(scenario.settings(index), 7, 1000.0)
        gateway.handle(1000.0, messages.EndpointList("cached", 1, hosts))
        for action in gateway.handle(
            1000.0 + request_delay, messages.Request("r", 4.0, "c", "free", "read", 1.0, 0, 9)
        ):
            if isinstance(action, messages.ForwardRequest):
                selected[action.endpoint_id] += 1
    assert sum(selected.values()) == 200 and max(selected.values()) <= 16 and len(selected) >= 35


@pytest.mark.parametrize(
    "fault, min_share",
    [
        (FaultSettings("lie", 0.0, 6.0, part=0.1), 0.97),
        (FaultSettings("stale", 0.0, 6.0, zone="a", size=2.0), 0.97),
        (FaultSettings("err", 0.0, 6.0, part=0.1), 0.9),
        (FaultSettings("refuse_some", 0.0, 6.0, part=0.1), 0.97),
    ],
    ids=lambda value: getattr(value, "what", ""),
)
def test_hosts_with_misleading_reports_or_answers_attract_no_more_than_their_share(fault, min_share):
    simulation, figures = run_simulation(replace(FLEET, faults=(fault,)))
    assert figures["broken"] == 0 and figures["in_aim"] > min_share
    assert (
        max(host.accepted_count for host in simulation.fleet.hosts.values())
        < 1.8 * figures["firsts"] * 8 / 6 / 20
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "listing",
    [
        EndpointListSettings(0.5, 1.5),
        EndpointListSettings(2.0, 4.0),
        EndpointListSettings(0.5, 1.5, miss=0.2),
    ],
    ids=["default", "delayed by seconds", "a fifth missed"],
)
def test_fleet_keeps_serving_while_six_hosts_in_ten_are_replaced_by_cold_ones(listing, seed):
    """Drains reach all gateways, some of them late; only other changes can be missed."""
    fault = FaultSettings("replace", 0.5, part=0.6, over=7.0)
    _, figures = run_simulation(replace(FLEET, load=0.4, length=10.0, listing=listing, faults=(fault,)), seed)
    assert figures["broken"] == 0 and figures["in_aim"] > 0.85


# Guards against `listing.miss` without effect: every change reached every gateway.
@pytest.mark.parametrize("miss, is_used", [(0.0, True), (1.0, False)])
def test_new_host_whose_announcement_is_missed_gets_no_requests(miss, is_used):
    fault = FaultSettings("replace", 0.5, part=0.3, over=2.0)
    listing = EndpointListSettings(0.1, 0.2, miss=miss)
    simulation, _ = run_simulation(replace(FLEET, load=0.4, length=8.0, listing=listing, faults=(fault,)))
    successors = [host for host in simulation.fleet.hosts.values() if host.endpoint.started_at]
    assert successors and any(host.accepted_count for host in successors) == is_used


@pytest.mark.parametrize(
    "scenario, min_share",
    [
        (replace(FLEET, machines=HostSettings(count=20, big=0.3, weights=True)), 0.97),
        (replace(FLEET, machines=HostSettings(count=20, big=0.3)), 0.95),
        (replace(FLEET, machines=HostSettings(count=20, reports=())), 0.95),
        (replace(FLEET, probes=False), 0.97),
        (replace(FLEET, faults=(FaultSettings("shift", 1.0, part=0.9),)), 0.97),
        (
            replace(
                FLEET, faults=(FaultSettings("link", 0.0, 6.0, zone="a", there="b", lose=0.1, size=0.0),)
            ),
            0.9,
        ),
    ],
    ids=["known weights", "unknown weights", "no reports", "no probes", "traffic shift", "a tenth lost"],
)
def test_fleet_keeps_serving_when_hosts_differ_or_links_lose_messages(scenario, min_share):
    _, figures = run_simulation(scenario)
    assert figures["broken"] == 0 and figures["in_aim"] > min_share and figures["refused"] < 0.03


@pytest.mark.parametrize("what", ["hang", "err", "refuse"])
def test_recovered_host_is_not_flooded(what):
    """Guards against flooding the least loaded host, the only one with a recent report of no load."""
    scenario = replace(FLEET, gateways=200, faults=(FaultSettings(what, 0.0, 2.0, part=0.05),))
    simulation, snapshots = Simulation(scenario, 3, Gateway), []
    for offset in (2.0, 3.0, 4.0):
        simulation.clock.call_at(
            START_TIME + scenario.warm_up + offset,
            lambda: snapshots.append(
                {name: host.accepted_count for name, host in simulation.fleet.hosts.items()}
            ),
        )
    simulation.clock.call_at(
        START_TIME + scenario.warm_up + 1.0,
        lambda: snapshots.append(
            [
                name
                for name, host in simulation.fleet.hosts.items()
                if host.mode != "up" or host.refused_gateways
            ]
        ),
    )
    assert simulation.run()["broken"] == 0
    (recovered,), *counts = snapshots
    for before, after in zip(counts, counts[1:], strict=False):
        received = {name: after[name] - before[name] for name in after}
        assert received[recovered] <= 2.0 * sum(received.values()) / len(received) + 3
    assert counts[-1][recovered] > counts[0][recovered]  # it receives requests again
