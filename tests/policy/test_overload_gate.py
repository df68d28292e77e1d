"""What is turned away while the core is short: against a core of the test's own, in its own time."""

import math
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.policy.overload_gate import (
    MAX_CUSTOMERS,
    MAX_STEP,
    MIN_ADMITTED_SHARE,
    MIN_LAG_DURATION,
    WINDOW,
    OverloadGate,
    priority_step,
)

AIM, MOST, BEAT = 0.015, 0.2, 0.02
SERVED, REFUSED = 500e-6, 50e-6  # s of the core: 2,000 a second are its peak
GOLD, BASIC = priority_step(3.0), priority_step(1.0)


class Core:
    """One core that looks at what came in its order; each costs it some time."""

    def __init__(self, gate):
        self.gate, self.now, self.due, self.next = gate, 0.0, BEAT, 0.0
        self.waits = {(worth, ok): [] for worth in (GOLD, BASIC) for ok in (True, False)}
        self.told = []

    def run(self, rate, seconds, gold=0.2):
        rng, number, until = random.Random(1), 0, self.next + seconds
        while self.next < until:
            came, self.next = self.next, self.next + 1 / rate
            self.now = max(self.now, came)
            while self.due <= self.now:
                self.gate.on_loop_lag(self.now, self.now - self.due if self.now - self.due < 0.002 else 0.002)
                self.due += BEAT
            worth = GOLD if rng.random() < gold else BASIC
            wait = self.gate.retry_after_if_shed(self.now, self.now - came, worth, f"c{number % 97}", 3.0)
            self.waits[worth, wait < 0].append(self.now - came)
            self.told.append(wait)
            self.now += SERVED if wait < 0 else REFUSED
            number += 1

    def served(self):
        return len(self.waits[GOLD, True]) + len(self.waits[BASIC, True])

    def part(self, worth):
        passed = len(self.waits[worth, True])
        return passed / (passed + len(self.waits[worth, False]))


def gate(**kw):
    return OverloadGate(**{"lag_objective": AIM, "max_wait": MOST, "max_retry_after": 2.0, "seed": 1, **kw})


@pytest.mark.parametrize("times", [1.5, 3, 6])
def test_a_minute_of_more_than_the_core_can_do(times):
    rate, seconds = 2000 * times, 60
    core = Core(gate())
    core.run(rate, seconds)
    # All that a core can serve that refuses the rest at this price.
    bound = (1 - rate * REFUSED) / (SERVED - REFUSED)
    assert core.served() / seconds > 0.85 * bound
    taken = sorted(core.waits[GOLD, True] + core.waits[BASIC, True])
    refused = sorted(core.waits[GOLD, False] + core.waits[BASIC, False])
    assert taken[-1] <= MOST and taken[len(taken) // 2] < 3 * AIM  # in time, and refusals at once
    assert refused[len(refused) // 2] < 3 * AIM and refused[int(0.99 * len(refused))] < 2 * MOST
    assert core.part(GOLD) > core.part(BASIC)
    if bound > 0.4 * rate:  # there is room for all that is worth more
        assert core.part(GOLD) > 0.97


def test_nothing_is_turned_away_below_the_peak():
    core = Core(gate())
    core.run(1700, 30)
    assert max(core.told) < 0


def test_after_an_overload_all_pass_again():
    core = Core(gate())
    core.run(8000, 10)
    core.run(1000, 5)
    count = len(core.told)
    core.run(1000, 5)
    assert max(core.told[count:]) < 0 and not core.gate.is_overloaded


@pytest.mark.parametrize("pause", [0.05, 0.15, 0.5, 2.0])
def test_a_pause_is_no_overload(pause):
    one, now = gate(), 0.0
    for n in range(200):
        now += BEAT
        one.on_loop_lag(now, pause if n == 100 else 0.0)
        assert one.retry_after_if_shed(now, 0.0, BASIC, "c", 3.0) < 0
    assert one.admitted_share == 1.0


def overloaded(**kw):
    one, now = gate(**kw), 0.0
    while not one.is_overloaded:
        now += BEAT
        one.retry_after_if_shed(now, 2 * AIM, BASIC, "c", 3.0)
        one.on_loop_lag(now, 2 * AIM)
        assert now < 2 * MIN_LAG_DURATION + 4 * WINDOW
    return one, now


def test_whom_the_module_told_to_come_later_is_turned_away_till_then():
    one, now = overloaded()
    one.admitted_share, one.priority_floor = 0.9, BASIC - 1  # all are worth enough
    one.on_retry_after(now, "held", 0.7)
    assert one.retry_after_if_shed(now + 0.2, 0.0, GOLD, "held", 3.0) == pytest.approx(0.5)
    assert one.retry_after_if_shed(now + 0.8, 0.0, GOLD, "held", 3.0) < 0
    assert one.retry_after_if_shed(now + 0.2, 0.0, GOLD, "other", 3.0) < 0
    for n in range(3 * MAX_CUSTOMERS):
        one.on_retry_after(now, f"c{n}", 1.0)
    assert len(one.retry_times) <= MAX_CUSTOMERS


def test_without_overload_nobody_is_remembered():
    one = gate()
    one.on_retry_after(1.0, "c", 1.0)
    assert not one.retry_times


def test_what_would_be_answered_too_late_is_not_taken():
    one, now = overloaded()
    one.admitted_share, one.priority_floor, one.lag = 0.9, BASIC - 1, 0.1
    assert one.retry_after_if_shed(now, 0.0, GOLD, "c", 0.15) >= 0
    assert one.retry_after_if_shed(now, 0.0, GOLD, "c", 0.25) < 0


def test_a_time_to_come_back_is_told_where_settings_allow_and_spread():
    one, now = overloaded()
    one.admitted_share, one.priority_floor = 0.1, MAX_STEP + 1
    waits = [one.retry_after_if_shed(now, 0.0, BASIC, f"c{n}", 3.0) for n in range(200)]
    assert 0 <= min(waits) < 0.5 and max(waits) == 2.0 and len(set(waits)) > 50
    silent, now = overloaded(max_retry_after=0.0)
    silent.priority_floor = MAX_STEP + 1
    assert {silent.retry_after_if_shed(now, 0.0, BASIC, f"c{n}", 3.0) for n in range(20)} == {0.0}


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.sampled_from([-20, 0, 5, 6, 40]), st.floats(0, 1)), min_size=20, max_size=300),
    st.floats(MIN_ADMITTED_SHARE, 0.99),
)
def test_the_worthiest_pass_first_and_about_the_part_that_is_to_pass(requests, share):
    one = gate()
    for worth, _ in requests:
        one.retry_after_if_shed(0.0, 0.0, worth, "c", 3.0)
    one.admitted_share = share
    one.update_floor()
    order = sorted((worth for worth, _ in requests), reverse=True)
    assert one.priority_floor == order[min(len(order) - 1, math.ceil(share * len(order)) - 1)]
    above = sum(worth > one.priority_floor for worth in order)
    on = order.count(one.priority_floor)
    assert above + one.floor_probability * on == pytest.approx(share * len(order))
    for worth in {-20, 0, 5, 6, 40}:
        passed = one.retry_after_if_shed(0.0, 0.0, worth, "c", 3.0) < 0
        assert passed or worth <= one.priority_floor
        assert not passed or worth >= one.priority_floor


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 0.4), st.integers(-5, 5)), max_size=200))
def test_whatever_lateness_it_hears_some_pass_and_it_opens_again(steps):
    one, now = gate(), 0.0
    for gap, late, worth in steps:
        now += gap
        one.retry_after_if_shed(now, late, worth, "c", 3.0)
        one.on_loop_lag(now, late)
        assert MIN_ADMITTED_SHARE <= one.admitted_share <= 1.0 and len(one.counts) <= 11
    for _ in range(400):
        now += WINDOW
        one.on_loop_lag(now, 0.0)
    assert not one.is_overloaded and one.retry_after_if_shed(now, 0.0, -5, "c", 3.0) < 0


@pytest.mark.parametrize(
    "worth, on", [(0.0, -MAX_STEP), (1e-300, -MAX_STEP), (1.0, 0), (2.0, 4), (1e300, MAX_STEP)]
)
def test_worth_has_few_steps(worth, on):
    assert priority_step(worth) == on
