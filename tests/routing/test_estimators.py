"""Estimators: rates, means, admitted share, response times, call health, load, loop lag, slow start."""

import math

import pytest

from apigateway.routing.admitted_share import MAX_DECREASE_STEP_S, AdmittedShare
from apigateway.routing.call_health import CallHealth
from apigateway.routing.decaying_mean import DecayingMean
from apigateway.routing.event_rate import EventRate
from apigateway.routing.load_estimate import REPORT_HALF_LIFE_S, LoadEstimate
from apigateway.routing.loop_lag import LoopLag
from apigateway.routing.poisson import poisson_tail_probability
from apigateway.routing.response_times import ResponseTimes
from apigateway.routing.slow_start import SlowStartTokens, slow_start_factor


def test_event_rate_converges_to_the_rate_of_steady_events():
    rate = EventRate(3.0)
    for n in range(1000):
        rate.observe(n * 0.1)
    assert rate.rate_at(99.9) == pytest.approx(10.0, rel=0.05)
    assert rate.rate_at(99.9 + 3.0) == pytest.approx(rate.rate_at(99.9) / math.e)


def test_decaying_mean_limits_the_weight_of_an_observation():
    mean = DecayingMean(span=1.5, min_gain=0.1, max_gain=0.5)
    mean.observe(0.0, 1.0)
    assert mean.value == 0.1
    mean.observe(100.0, 1.0)  # after a long pause
    assert mean.value == pytest.approx(0.55)
    assert mean.value_at(100.5, hold_time=1.0) == mean.value
    assert mean.value_at(102.5, hold_time=1.0) == pytest.approx(mean.value / math.e)


def test_admitted_share_falls_to_the_minimum_in_an_overload_and_recovers():
    admitted = AdmittedShare(0.0, decrease_rate=0.7, recovery_rate=0.15, min_share=0.05)
    assert admitted.update(0.5, True) == pytest.approx(math.exp(-0.35))
    before = admitted.share
    assert admitted.update(100.0, True) == pytest.approx(before * math.exp(-0.7 * MAX_DECREASE_STEP_S))
    for n in range(20):
        admitted.update(101.0 + n, True)
    assert admitted.share == 0.05
    assert (
        admitted.update(122.0, False) == pytest.approx(0.05 + 2 * 0.15)
        and admitted.update(999.0, False) == 1.0
    )


def test_response_times_return_the_ratio_to_the_previous_mean():
    times = ResponseTimes({"read": 0.2, "write": 0.4}, 0.05)
    assert times.typical == 0.4 and times["read"].mean == 0.2
    assert times.observe("read", 0.4) == pytest.approx(2.0)
    assert times["read"].mean == pytest.approx(0.4)
    assert times.observe("read", 100.0) == 10.0
    assert times["write"].mean == 0.4 and times.typical > 0.4


def test_call_health_pauses_grow_with_failures_and_a_burst_counts_once():
    health = CallHealth(timeout=0.1, congestion=0.0, gain=0.5, max_pause=1.0)
    health.observe(0.0, False, 0.1)
    assert (health.consecutive_failures, health.retry_at) == (1, 0.2) and health.congestion == 0.5
    health.observe(0.1, False, 0.1)
    assert health.consecutive_failures == 1
    health.observe(0.3, False, 0.1)
    assert (health.consecutive_failures, health.retry_at) == (2, pytest.approx(0.7))
    for n in range(10):
        health.observe(10.0 * n + 10.0, False, 0.1)
    assert health.retry_at == 101.0
    health.observe(200.0, True, 0.05)
    assert health.consecutive_failures == 0 and health.congestion == pytest.approx((1 + 0.5) / 2, rel=0.01)


def test_load_estimate_replaces_an_aging_report_by_the_mean():
    estimate = LoadEstimate({("r", 0): 1.0})
    assert estimate.load(1.0, mean_load=4.0) == 1.0 + 4.0 and estimate.report_weight == 0.0
    estimate.record_report(1.0, in_flight=9.0, own_attempts=1)
    assert estimate.load(1.0, mean_load=4.0) == 1.0 + 8.0
    assert (
        estimate.load(1.0 + REPORT_HALF_LIFE_S, mean_load=4.0) == 1.0 + 4.0 + 2.0
        and estimate.report_weight == 0.5
    )
    estimate.record_report(2.0, in_flight=1.0, own_attempts=3)
    assert estimate.reported_load == 0.0


def test_loop_lag_of_a_window_is_the_greater_mean():
    lag = LoopLag(0.05)
    assert lag.record_lateness(0.0, 0.2) and lag.seconds == 0.2
    lag.record_wait(0.3)
    lag.record_wait(0.1)
    assert not lag.record_lateness(0.1, 0.0)  # a window lasts at least as long as the last lag
    assert lag.record_lateness(0.21, 0.1) and lag.seconds == pytest.approx(0.2)
    assert lag.record_lateness(0.42, 0.0) and lag.seconds == 0.0


def test_poisson_tail_probability_includes_the_count_itself():
    assert poisson_tail_probability(0, 2.0) == 1.0
    assert poisson_tail_probability(1, 2.0) == pytest.approx(1 - math.exp(-2.0))
    assert poisson_tail_probability(2, 2.0) == pytest.approx(1 - 3 * math.exp(-2.0))


def test_slow_start_factor_grows_to_one_with_the_age_of_an_endpoint():
    assert slow_start_factor(0.0, 5.0, 10.0, 0.2) == 1.0  # started long ago
    assert slow_start_factor(100.0, 100.0, 10.0, 0.2) == 0.2
    assert slow_start_factor(100.0, 105.0, 10.0, 0.2) == pytest.approx(0.6)
    assert slow_start_factor(100.0, 110.0, 10.0, 0.2) == 1.0


def test_slow_start_tokens_are_refilled_up_to_the_limit():
    tokens = SlowStartTokens(0.5, 0.0)
    assert tokens.refill(1.0, 1.0, 4.0) == 1.5
    tokens.take()
    assert tokens.refill(1.0, 1.0, 4.0) == 0.5 and tokens.refill(9.0, 1.0, 4.0) == 4.0
