"""Tests of the circuit breaker: consecutive failures and CPU share."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins.circuit_breaker import CircuitBreaker, CircuitState, SkipReason
from apigateway.plugins.interfaces import Budget


def test_consecutive_failures_open_the_breaker_and_a_successful_trial_closes_it():
    breaker = CircuitBreaker(
        Budget(failure_threshold=3, open_time=5.0, max_open_time=12.0, cpu_share=1.0), 0.0
    )
    for _ in range(2):
        breaker.record_call(0.0, 0.0, True)
    breaker.record_call(0.0, 0.0, False)  # a successful call resets the count of failures
    for _ in range(3):
        assert breaker.check(0.0) is None
        breaker.record_call(0.0, 0.0, True)
    assert (
        breaker.state == CircuitState.OPEN
        and breaker.check(4.9) == SkipReason.CIRCUIT_OPEN
        and breaker.time_until_available(4.0) == 1.0
    )
    for now, open_time in ((5.0, 10.0), (15.0, 12.0), (27.0, 12.0)):
        assert breaker.check(now) is None and breaker.state == CircuitState.HALF_OPEN
        breaker.record_call(now, 0.0, True)
        assert breaker.open_until == now + open_time
    assert breaker.check(39.0) is None
    breaker.record_call(39.0, 0.0, False)
    assert breaker.state == CircuitState.CLOSED and breaker.open_time == 5.0


def test_plugin_over_its_cpu_share_is_skipped_until_it_has_credit():
    breaker = CircuitBreaker(Budget(cpu_share=0.1, cpu_share_window=10.0), 0.0)
    assert breaker.check(0.0) is None
    breaker.record_call(0.0, 1.5, False)
    assert breaker.check(0.0) == SkipReason.CPU_SHARE and breaker.time_until_available(0.0) == pytest.approx(
        5.0
    )
    assert breaker.check(4.9) == SkipReason.CPU_SHARE and breaker.check(5.1) is None


@seed(2)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 0.2), st.booleans()), max_size=60))
def test_cpu_use_exceeds_the_share_by_at_most_one_call(steps):
    budget = Budget(cpu_share=0.1, cpu_share_window=2.0, failure_threshold=3, open_time=1.0)
    breaker, now, used, longest_call = CircuitBreaker(budget, 0.0), 0.0, 0.0, 0.0
    for step, cost, failed in steps:
        now += step
        if breaker.check(now) is None:
            breaker.record_call(now, cost, failed)
            used, longest_call = used + cost, max(longest_call, cost)
        assert used <= 0.1 * (2.0 + now) + longest_call + 1e-9
        assert breaker.time_until_available(now) >= 0
