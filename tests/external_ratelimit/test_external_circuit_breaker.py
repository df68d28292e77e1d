"""Tests of the circuit breaker for the external rate limit service."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.external_ratelimit.circuit_breaker import (
    MIN_TIMEOUT_S,
    BreakerState,
    CheckPermit,
    CheckSettings,
    CircuitBreaker,
    FailureMode,
    Fallback,
)

SETTINGS = CheckSettings(
    frozenset({"gold"}),
    frozenset({"note"}),
    max_consecutive_failures=3,
    base_backoff=1.0,
    max_backoff=4.0,
    required_probes=2,
    backoff_reset_after=10.0,
)


def record_failures(breaker, now, count):
    for _ in range(count):
        permit = breaker.request_permit(now, 3.0)
        breaker.on_failure(now, permit)


def test_check_applies_to_the_plans_and_classes_of_settings():
    assert SETTINGS.applies_to("gold", "read") and SETTINGS.applies_to("tin", "note")
    assert not SETTINGS.applies_to("tin", "read")


@pytest.mark.parametrize("remaining, timeout", [(3.0, 0.1), (0.2, 0.05), (0.08, 0.02)])
def test_timeout_is_bounded_by_a_fraction_of_the_remaining_time(remaining, timeout):
    permit = CircuitBreaker(SETTINGS).request_permit(0.0, remaining)
    assert permit == CheckPermit(pytest.approx(timeout), False)


@pytest.mark.parametrize("mode", ["own", "refuse"])
def test_request_without_time_for_a_check_falls_back_to_the_failure_mode(mode):
    decision = CircuitBreaker(CheckSettings(failure_mode=FailureMode(mode))).request_permit(
        0.0, MIN_TIMEOUT_S
    )
    assert decision == Fallback(mode == "refuse", pytest.approx(0.1 if mode == "refuse" else 0.0))


def test_consecutive_failures_open_the_breaker_and_successful_probes_close_it():
    breaker = CircuitBreaker(SETTINGS)
    record_failures(breaker, 0.0, 2)
    breaker.on_success(0.0, breaker.request_permit(0.0, 3.0))  # resets the count of consecutive failures
    record_failures(breaker, 0.0, 2)
    assert breaker.state is BreakerState.CLOSED
    record_failures(breaker, 0.0, 1)
    assert breaker.state is BreakerState.OPEN and isinstance(breaker.request_permit(0.5, 3.0), Fallback)
    first = breaker.request_permit(1.0, 3.0)
    assert first == CheckPermit(0.1, True)
    assert isinstance(breaker.request_permit(1.0, 3.0), Fallback)  # one probe at a time
    breaker.on_success(1.0, first)
    assert breaker.state is BreakerState.HALF_OPEN
    second = breaker.request_permit(1.0, 3.0)
    breaker.on_success(1.0, second)
    assert breaker.state is BreakerState.CLOSED and breaker.outstanding == 0


def test_failed_probes_double_the_backoff_up_to_its_maximum_until_reset():
    breaker, now, backoffs = CircuitBreaker(SETTINGS), 0.0, []
    record_failures(breaker, now, 3)
    for _ in range(5):
        backoffs.append(breaker.open_until - now)
        now = breaker.open_until
        record_failures(breaker, now, 1)
    assert backoffs == [1.0, 2.0, 4.0, 4.0, 4.0]
    now = breaker.open_until
    for _ in range(2):
        breaker.on_success(now, breaker.request_permit(now, 3.0))
    record_failures(breaker, now + 1.0, 3)  # the service is unstable: the long backoff is kept
    assert breaker.open_until - now - 1.0 == 4.0
    now = breaker.open_until
    for _ in range(2):
        breaker.on_success(now, breaker.request_permit(now, 3.0))
    breaker.on_success(now + 11.0, breaker.request_permit(now + 11.0, 3.0))
    record_failures(breaker, now + 12.0, 3)
    assert breaker.open_until == now + 13.0


def test_failure_ratio_opens_the_breaker_when_failures_alternate_with_successes():
    breaker = CircuitBreaker(CheckSettings(max_consecutive_failures=1000))
    for number in range(200):
        permit = breaker.request_permit(0.0, 3.0)
        if breaker.state is not BreakerState.CLOSED:
            break
        breaker.on_success(0.0, permit) if number % 4 == 0 else breaker.on_failure(0.0, permit)
    assert breaker.state is BreakerState.OPEN and 20 <= number < 60
    healthy_breaker = CircuitBreaker(CheckSettings(max_consecutive_failures=1000))
    for number in range(200):
        permit = healthy_breaker.request_permit(0.0, 3.0)
        healthy_breaker.on_failure(0.0, permit) if number % 4 == 0 else healthy_breaker.on_success(
            0.0, permit
        )
    assert healthy_breaker.state is BreakerState.CLOSED


def test_another_probe_is_sent_after_a_cancelled_one():
    breaker = CircuitBreaker(SETTINGS)
    record_failures(breaker, 0.0, 3)
    breaker.on_cancelled(breaker.request_permit(1.0, 3.0))
    assert breaker.request_permit(1.0, 3.0) == CheckPermit(0.1, True)


def test_outstanding_checks_are_bounded():
    breaker = CircuitBreaker(CheckSettings(max_outstanding=2))
    permits = [breaker.request_permit(0.0, 3.0) for _ in range(3)]
    assert isinstance(permits[2], Fallback)
    breaker.on_success(0.0, permits[0])
    assert isinstance(breaker.request_permit(0.0, 3.0), CheckPermit)


def test_rejection_while_open_contains_the_remaining_backoff():
    breaker = CircuitBreaker(
        CheckSettings(failure_mode=FailureMode.FAIL_CLOSED, max_consecutive_failures=1, base_backoff=2.0)
    )
    record_failures(breaker, 0.0, 1)
    assert breaker.request_permit(0.5, 3.0) == Fallback(True, 1.5)


def test_settings_update_keeps_the_state():
    breaker = CircuitBreaker(SETTINGS)
    record_failures(breaker, 0.0, 3)
    breaker.update_settings(
        CheckSettings(failure_mode=FailureMode.FAIL_CLOSED, base_backoff=8.0, max_backoff=16.0)
    )
    assert breaker.state is BreakerState.OPEN and breaker.request_permit(0.0, 3.0).is_rejected
    record_failures(breaker, 1.0, 1)
    assert breaker.open_until == 9.0  # by the new backoff settings


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["request", "success", "failure", "cancel", "wait"]), st.floats(0.0, 3.0)),
        max_size=80,
    )
)
def test_breaker_stays_within_its_bounds_and_recovers_after_any_sequence_of_events(steps):
    check_settings = CheckSettings(
        max_consecutive_failures=3, base_backoff=0.5, max_backoff=4.0, required_probes=2, max_outstanding=4
    )
    breaker, now, outstanding, transitions = CircuitBreaker(check_settings), 0.0, [], 0
    for action, value in steps:
        previous_state = breaker.state
        if action == "wait":
            now += value
        elif action == "request":
            decision = breaker.request_permit(now, 3.0)
            if isinstance(decision, CheckPermit):
                outstanding.append(decision)
        elif outstanding:
            permit = outstanding.pop(int(value * 10) % len(outstanding))
            match action:
                case "success":
                    breaker.on_success(now, permit)
                case "failure":
                    breaker.on_failure(now, permit)
                case "cancel":
                    breaker.on_cancelled(permit)
        assert breaker.outstanding == len(outstanding) <= 4 + 1  # one probe in addition to earlier checks
        assert sum(permit.is_probe for permit in outstanding) <= 1 + transitions
        if breaker.state is BreakerState.OPEN:
            assert 0 < breaker.open_until - breaker.state_since <= check_settings.max_backoff
        transitions += previous_state != breaker.state
    for permit in outstanding:
        breaker.on_cancelled(permit)
    for _ in range(10):  # the service responds from here on
        now = max(now, breaker.open_until) + 0.1
        decision = breaker.request_permit(now, 3.0)
        assert isinstance(decision, CheckPermit)
        breaker.on_success(now, decision)
    assert breaker.state is BreakerState.CLOSED and not math.isnan(breaker.failure_ratio)
