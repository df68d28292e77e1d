"""The overload gate in front of a simulated core with its own clock."""

import math
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.policy.overload_gate import (
    MAX_CUSTOMERS,
    MAX_STEP,
    MIN_ADMITTED_SHARE,
    MIN_LAG_DURATION_S,
    WINDOW_S,
    OverloadGate,
    priority_step,
)

LAG_OBJECTIVE_S, MAX_WAIT_S, PROBE_INTERVAL_S = 0.015, 0.2, 0.02
SERVE_TIME_S, SHED_TIME_S = 500e-6, 50e-6  # time of the core per request: it serves at most 2,000 per second
HIGH_PRIORITY, LOW_PRIORITY = priority_step(3.0), priority_step(1.0)


class SimulatedCore:
    """One core that handles requests in the order of their arrival; each takes some of its time."""

    def __init__(self, gate):
        self.gate, self.now, self.probe_due_at, self.next_arrival_at = gate, 0.0, PROBE_INTERVAL_S, 0.0
        self.waits = {
            (step, is_admitted): [] for step in (HIGH_PRIORITY, LOW_PRIORITY) for is_admitted in (True, False)
        }
        self.retry_afters = []

    def run(self, rate, seconds, high_priority_share=0.2):
        rng, request_number, until = random.Random(1), 0, self.next_arrival_at + seconds
        while self.next_arrival_at < until:
            arrived_at, self.next_arrival_at = self.next_arrival_at, self.next_arrival_at + 1 / rate
            self.now = max(self.now, arrived_at)
            while self.probe_due_at <= self.now:
                self.gate.on_loop_lag(
                    self.now, self.now - self.probe_due_at if self.now - self.probe_due_at < 0.002 else 0.002
                )
                self.probe_due_at += PROBE_INTERVAL_S
            step = HIGH_PRIORITY if rng.random() < high_priority_share else LOW_PRIORITY
            retry_after = self.gate.retry_after_if_shed(
                self.now, self.now - arrived_at, step, f"c{request_number % 97}", 3.0
            )
            self.waits[step, retry_after < 0].append(self.now - arrived_at)
            self.retry_afters.append(retry_after)
            self.now += SERVE_TIME_S if retry_after < 0 else SHED_TIME_S
            request_number += 1

    def served_count(self):
        return len(self.waits[HIGH_PRIORITY, True]) + len(self.waits[LOW_PRIORITY, True])

    def admitted_share_of(self, step):
        admitted_count = len(self.waits[step, True])
        return admitted_count / (admitted_count + len(self.waits[step, False]))


def make_gate(**overrides):
    return OverloadGate(
        **{
            "lag_objective": LAG_OBJECTIVE_S,
            "max_wait": MAX_WAIT_S,
            "max_retry_after": 2.0,
            "seed": 1,
            **overrides,
        }
    )


@pytest.mark.parametrize("load", [1.5, 3, 6])
def test_overloaded_core_serves_near_its_capacity_and_prefers_high_priority(load):
    rate, seconds = 2000 * load, 60
    core = SimulatedCore(make_gate())
    core.run(rate, seconds)
    # Rate that the core can serve if it sheds the rest at SHED_TIME_S per request.
    max_served_rate = (1 - rate * SHED_TIME_S) / (SERVE_TIME_S - SHED_TIME_S)
    assert core.served_count() / seconds > 0.85 * max_served_rate
    admitted_waits = sorted(core.waits[HIGH_PRIORITY, True] + core.waits[LOW_PRIORITY, True])
    shed_waits = sorted(core.waits[HIGH_PRIORITY, False] + core.waits[LOW_PRIORITY, False])
    # Both the admitted and the shed requests are handled soon.
    assert admitted_waits[-1] <= MAX_WAIT_S and admitted_waits[len(admitted_waits) // 2] < 3 * LAG_OBJECTIVE_S
    assert (
        shed_waits[len(shed_waits) // 2] < 3 * LAG_OBJECTIVE_S
        and shed_waits[int(0.99 * len(shed_waits))] < 2 * MAX_WAIT_S
    )
    assert core.admitted_share_of(HIGH_PRIORITY) > core.admitted_share_of(LOW_PRIORITY)
    if max_served_rate > 0.4 * rate:  # there is capacity for all requests of high priority
        assert core.admitted_share_of(HIGH_PRIORITY) > 0.97


def test_nothing_is_shed_below_capacity():
    core = SimulatedCore(make_gate())
    core.run(1700, 30)
    assert max(core.retry_afters) < 0


def test_all_requests_are_admitted_after_an_overload():
    core = SimulatedCore(make_gate())
    core.run(8000, 10)
    core.run(1000, 5)
    count = len(core.retry_afters)
    core.run(1000, 5)
    assert max(core.retry_afters[count:]) < 0 and not core.gate.is_overloaded


@pytest.mark.parametrize("pause", [0.05, 0.15, 0.5, 2.0])
def test_single_pause_is_not_an_overload(pause):
    gate, now = make_gate(), 0.0
    for n in range(200):
        now += PROBE_INTERVAL_S
        gate.on_loop_lag(now, pause if n == 100 else 0.0)
        assert gate.retry_after_if_shed(now, 0.0, LOW_PRIORITY, "c", 3.0) < 0
    assert gate.admitted_share == 1.0


def make_overloaded_gate(**overrides):
    gate, now = make_gate(**overrides), 0.0
    while not gate.is_overloaded:
        now += PROBE_INTERVAL_S
        gate.retry_after_if_shed(now, 2 * LAG_OBJECTIVE_S, LOW_PRIORITY, "c", 3.0)
        gate.on_loop_lag(now, 2 * LAG_OBJECTIVE_S)
        assert now < 2 * MIN_LAG_DURATION_S + 4 * WINDOW_S
    return gate, now


def test_customer_with_a_retry_after_is_shed_until_it_ends():
    gate, now = make_overloaded_gate()
    gate.admitted_share, gate.priority_floor = 0.9, LOW_PRIORITY - 1  # all priorities pass
    gate.on_retry_after(now, "held", 0.7)
    assert gate.retry_after_if_shed(now + 0.2, 0.0, HIGH_PRIORITY, "held", 3.0) == pytest.approx(0.5)
    assert gate.retry_after_if_shed(now + 0.8, 0.0, HIGH_PRIORITY, "held", 3.0) < 0
    assert gate.retry_after_if_shed(now + 0.2, 0.0, HIGH_PRIORITY, "other", 3.0) < 0
    for n in range(3 * MAX_CUSTOMERS):
        gate.on_retry_after(now, f"c{n}", 1.0)
    assert len(gate.retry_times) <= MAX_CUSTOMERS


def test_retry_afters_are_not_recorded_without_an_overload():
    gate = make_gate()
    gate.on_retry_after(1.0, "c", 1.0)
    assert not gate.retry_times


def test_request_that_would_be_answered_too_late_is_shed():
    gate, now = make_overloaded_gate()
    gate.admitted_share, gate.priority_floor, gate.lag = 0.9, LOW_PRIORITY - 1, 0.1
    assert gate.retry_after_if_shed(now, 0.0, HIGH_PRIORITY, "c", 0.15) >= 0
    assert gate.retry_after_if_shed(now, 0.0, HIGH_PRIORITY, "c", 0.25) < 0


def test_retry_after_is_random_and_0_if_the_settings_forbid_it():
    gate, now = make_overloaded_gate()
    gate.admitted_share, gate.priority_floor = 0.1, MAX_STEP + 1
    retry_afters = [gate.retry_after_if_shed(now, 0.0, LOW_PRIORITY, f"c{n}", 3.0) for n in range(200)]
    assert 0 <= min(retry_afters) < 0.5 and max(retry_afters) == 2.0 and len(set(retry_afters)) > 50
    gate_without_retry_after, now = make_overloaded_gate(max_retry_after=0.0)
    gate_without_retry_after.priority_floor = MAX_STEP + 1
    assert {
        gate_without_retry_after.retry_after_if_shed(now, 0.0, LOW_PRIORITY, f"c{n}", 3.0) for n in range(20)
    } == {0.0}


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.sampled_from([-20, 0, 5, 6, 40]), st.floats(0, 1)), min_size=20, max_size=300),
    st.floats(MIN_ADMITTED_SHARE, 0.99),
)
def test_highest_priorities_are_admitted_up_to_the_admitted_share(requests, share):
    gate = make_gate()
    for step, _ in requests:
        gate.retry_after_if_shed(0.0, 0.0, step, "c", 3.0)
    gate.admitted_share = share
    gate.update_floor()
    sorted_steps = sorted((step for step, _ in requests), reverse=True)
    assert (
        gate.priority_floor
        == sorted_steps[min(len(sorted_steps) - 1, math.ceil(share * len(sorted_steps)) - 1)]
    )
    above_floor = sum(step > gate.priority_floor for step in sorted_steps)
    on_floor = sorted_steps.count(gate.priority_floor)
    assert above_floor + gate.floor_probability * on_floor == pytest.approx(share * len(sorted_steps))
    for step in {-20, 0, 5, 6, 40}:
        is_admitted = gate.retry_after_if_shed(0.0, 0.0, step, "c", 3.0) < 0
        assert is_admitted or step <= gate.priority_floor
        assert not is_admitted or step >= gate.priority_floor


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 0.4), st.integers(-5, 5)), max_size=200))
def test_some_requests_pass_at_any_lag_and_the_gate_recovers(steps):
    gate, now = make_gate(), 0.0
    for gap, lag, step in steps:
        now += gap
        gate.retry_after_if_shed(now, lag, step, "c", 3.0)
        gate.on_loop_lag(now, lag)
        assert MIN_ADMITTED_SHARE <= gate.admitted_share <= 1.0 and len(gate.requests_by_step) <= 11
    for _ in range(400):
        now += WINDOW_S
        gate.on_loop_lag(now, 0.0)
    assert not gate.is_overloaded and gate.retry_after_if_shed(now, 0.0, -5, "c", 3.0) < 0


@pytest.mark.parametrize(
    "weight, step", [(0.0, -MAX_STEP), (1e-300, -MAX_STEP), (1.0, 0), (2.0, 4), (1e300, MAX_STEP)]
)
def test_priority_step_of_a_weight(weight, step):
    assert priority_step(weight) == step
