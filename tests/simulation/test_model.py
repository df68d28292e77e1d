"""The model of the fleet: against theory, what it catches, and that it plays the same again."""

import statistics
from dataclasses import replace

import pytest

from apigateway import messages
from apigateway.policy import Gateway
from apigateway.simulation.baselines import is_baseline
from apigateway.simulation.clock import START_TIME
from apigateway.simulation.metrics import Metric
from apigateway.simulation.network import Location
from apigateway.simulation.scenario import (
    FREE,
    NOTICE,
    READ,
    CounterSettings,
    CustomerSettings,
    EndpointListSettings,
    FaultKind,
    FaultSettings,
    HostSettings,
    Scenario,
    Workload,
)
from apigateway.simulation.simulation import Simulation
from apigateway.simulation.token_bucket import RecordingTokenBucket

SMALL = Scenario(
    gateways=12,
    load=0.6,
    length=8.0,
    warm_up=2.0,
    machines=HostSettings(count=9),
    customers=CustomerSettings(count=60),
)
ALONE = HostSettings(count=1, cores=1, slots=1, queue=10000, speed_cv=0.0, thrash=0.0, handshake=0.0)
ONE = Scenario(
    gateways=1,
    zones=("a",),
    load=0.5,
    length=600.0,
    policy="random",
    machines=ALONE,
    works=(Workload(READ, 1.0, 0.1),),
    customers=CustomerSettings(count=5, busiest=1.0, retries=0, patience=100.0),
)


def play(scenario, seed=1, make=Gateway):
    simulation = Simulation(scenario, seed, make)
    return simulation, simulation.run()


@pytest.mark.parametrize("cores, load, waits", [(1, 0.5, 0.1), (1, 0.7, 0.2333), (4, 0.7, 0.0143 * 2.5)])
def test_a_host_keeps_its_requests_as_long_as_queueing_theory_says(cores, load, waits):
    """M/M/c: the mean wait is work x C(c, load) / (c (1 - load)); C is Erlang's."""
    if cores == 4:
        a = cores * load
        terms = [a**n / [1, 1, 2, 6, 24][n] for n in range(5)]
        erlang = terms[4] / (1 - load) / (sum(terms[:4]) + terms[4] / (1 - load))
        waits = 0.1 * erlang / (cores * (1 - load))
    machines = replace(ONE.machines, cores=cores, slots=cores)
    simulation, _ = play(replace(ONE, load=load, machines=machines))
    mean = statistics.fmean(simulation.metrics.latencies)
    assert mean == pytest.approx(0.1 + waits, rel=0.12)


def test_the_same_seed_plays_the_same_whatever_was_played_before():
    first, again = play(SMALL)[1], play(SMALL)[1]
    assert first == again
    assert play(SMALL, seed=2)[1] != first


def test_who_asks_when_does_not_hang_on_what_becomes_of_it():
    firsts = {play(replace(SMALL, policy=policy))[1]["firsts"] for policy in ("module", "random", "two")}
    assert len(firsts) == 1


def test_baselines_stand_in_the_order_that_is_known_of_them():
    s = replace(SMALL, gateways=40, load=0.75, length=20.0, machines=HostSettings(count=20))
    idle = {
        policy: play(replace(s, policy=policy))[1]["idle_waiting"]
        for policy in ("random", "robin", "two", "two:1", "best")
    }
    assert idle["best"] < idle["two"] < 0.3 * idle["random"]
    assert idle["two"] < 0.5 * idle["two:1"]  # what is a second old tells little
    assert is_baseline("best:0.5") and not is_baseline("two:x") and not is_baseline("worst")


@pytest.mark.parametrize("what", FaultKind)
def test_the_module_breaks_no_rule_whatever_fails(what):
    size = 0.5 if what == "slow" else 2.0
    fault = FaultSettings(
        what, 2.0, 3.0, part=0.34, size=size, lose=0.3, over=3.0, back=1.5, zone="a", cold=True
    )
    quota = messages.Plan("q", 3.0, 8.0, 0, 1.0, 0.0, 0.5, 6.0, 12.0, 1.2)
    customers = CustomerSettings((FREE, quota), (0.5, 0.5), count=40, heavy=0.2, retries=2)
    _, figures = play(replace(SMALL, load=0.45, faults=(fault,), customers=customers))
    assert figures["broken"] == 0 and figures["firsts"] > 300
    assert figures["in_aim"] > (0.3 if what in ("dark", "cut", "surge") else 0.6)


class Wrong:
    """A module that breaks the rule it is told to break."""

    def __init__(self, how, hosts):
        self.how, self.hosts, self.tries = how, [], {}

    def handle(self, now, event):
        if isinstance(event, messages.EndpointList):
            self.hosts += [h.id for h in event.endpoints if h.state == "up"]
        if isinstance(event, messages.Request):
            self.tries[event.request_id] = 0
            one = [messages.ForwardRequest(event.request_id, self.hosts[0])]
            return [] if self.how == "silent" else one * (2 if self.how == "two at once" else 1)
        if (
            isinstance(event, messages.AttemptOutcome)
            and not event.is_final
            and self.how == "twice"
            and event.attempt < 2
        ):
            return [messages.ForwardRequest(event.request_id, self.hosts[1])]
        return []


@pytest.mark.parametrize(
    "how, works, fault",
    [
        ("two at once", READ, FaultSettings("surge", 0.0)),
        ("twice", NOTICE, FaultSettings("err", 0.0, 3.0, part=1.0)),
        ("drain", READ, FaultSettings("replace", 0.0, part=1.0)),
        ("ceiling", READ, FaultSettings("surge", 0.0)),
        ("pushed over", READ, FaultSettings("replace", 0.0, part=1.0)),
    ],
)
def test_a_module_that_breaks_a_rule_is_caught(how, works, fault):
    plan = replace(FREE, ceiling_rate=1.0, ceiling_burst=2.0, ceiling_slack=0.2) if how == "ceiling" else FREE
    s = replace(
        SMALL,
        gateways=3,
        faults=(fault,),
        works=(Workload(works),),
        machines=HostSettings(count=3),
        customers=CustomerSettings((plan,), count=9),
        listing=EndpointListSettings(0.1, 0.1),
    )

    def make(settings, seed, now):
        wrong = Wrong(how, [])
        if how == "pushed over":  # all go to the newest
            inner = wrong.handle

            def handle(now, event):
                acts = inner(now, event)
                wrong.hosts.sort(key=lambda h: -int(h[1:]))
                return acts

            wrong.handle = handle
        return wrong

    simulation, figures = play(s, make=make)
    assert figures["broken"] and any(
        str(violation).startswith(how) for violation in simulation.metrics.violations
    )


def test_a_module_that_says_nothing_has_its_requests_failed_in_time():
    simulation, figures = play(replace(SMALL, load=0.1), make=lambda s, seed, now: Wrong("silent", []))
    assert (
        figures["broken"] == 0
        and figures["served"] == 0
        and simulation.metrics.counts[Metric.UNDECIDED_REQUESTS] > 50
    )


def test_links_lose_and_delay_what_they_are_told_to():
    from apigateway.simulation.network import LinkFault

    simulation = Simulation(SMALL, 1, Gateway)
    here, there, got = Location("g1", "a"), Location("h1", "b"), []
    simulation.fleet.environment.network.faults = [
        LinkFault("a", "h1", delay=1.0, is_one_way=True),
        LinkFault("g1", "h2", loss=1.0),
    ]
    simulation.fleet.environment.network.send(
        here, there, lambda: got.append(("there", simulation.clock.now - START_TIME))
    )
    simulation.fleet.environment.network.send(
        there, here, lambda: got.append(("back", simulation.clock.now - START_TIME))
    )
    assert not simulation.fleet.environment.network.send(here, Location("h2", "c"), got.append, "lost")
    assert not simulation.fleet.environment.network.send(Location("h2", "c"), here, got.append, "lost")
    simulation.clock.run_until(START_TIME + 2)
    assert [name for name, _ in got] == ["back", "there"] and 1.0 < got[1][1] < 1.01


def test_a_counter_that_is_asked_more_than_it_bears_answers_late_and_one_that_is_silent_still_counts():
    simulation = Simulation(replace(SMALL, counting=CounterSettings(parts=1, capacity=100.0)), 1, Gateway)
    told = []
    for _ in range(20):
        simulation.fleet.environment.quota_counter.add(
            4, 1.0, 60.0, lambda reply: told.append((simulation.clock.now - START_TIME, reply.total))
        )
    simulation.clock.run_until(START_TIME + 0.105)
    assert [total for _, total in told] == [float(n + 1) for n in range(11)]
    simulation.fleet.environment.quota_counter.is_silent = True
    simulation.clock.run_until(START_TIME + 1)
    assert len(told) == 11 and simulation.fleet.environment.quota_counter.entries[4].total == 20.0


def test_a_store_tells_what_it_held_before():
    store = RecordingTokenBucket(1.0, 3.0, 0.0)
    for at in (10.0, 10.5, 11.0):
        store.refill(at)
        store.take()
    assert [store.level_at(at) for at in (9.0, 10.0, 10.25, 10.5, 11.0, 11.5, 60.0)] == pytest.approx(
        [3.0, 2.0, 2.25, 1.5, 1.0, 1.5, 3.0]
    )


def test_the_later_a_policy_sees_the_true_state_the_more_passes_beyond_quotas():
    customers = CustomerSettings(plans=(replace(FREE, rate=0.8, burst=3.0, over_quota_cost=0.5),), heavy=0.3)
    base = replace(SMALL, load=0.4, customers=customers)
    told = {way: play(replace(base, policy=way))[1] for way in ("two", "quota:0", "quota:0.5", "quota:2")}
    beyond = [told[way]["over_quota"] for way in ("quota:0", "quota:0.5", "quota:2", "two")]
    assert beyond == sorted(beyond) and beyond[0] < 0.03 < 0.2 < beyond[-1]
    assert [told[way]["quota_cost"] > 0 for way in ("quota:0", "two")] == [beyond[0] > 0, True]
    assert told["quota:0"]["with_room"] < 0.05 < told["quota:2"]["with_room"] and told["two"]["served"] > 0.9
