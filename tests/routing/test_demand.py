"""The ratio of the allowed requests of a sender to its actual requests."""

import pytest

from apigateway.routing.demand import DECAY_TIME_S, DemandEstimator


def observed_ratios(interval, allowed_rate, count=400):
    demand = DemandEstimator(0.0)
    return [demand.observe(number * interval, allowed_rate) for number in range(count)]


def test_first_request_counts_as_within_the_rate():
    assert observed_ratios(1.0, 0.0, 1) == [1.0]


def test_ratio_of_a_sender_within_its_rate_is_one():
    assert set(observed_ratios(1.0, 2.0)) == {1.0}


def test_ratio_of_a_sender_above_its_rate_converges_to_the_ratio_of_the_rates():
    assert observed_ratios(0.05, 5.0)[-1] == pytest.approx(5.0 / 20.0, abs=0.05)


def test_old_requests_are_forgotten():
    demand = DemandEstimator(0.0)
    for _ in range(50):
        demand.observe(0.0, 0.1)
    assert demand.observe(0.0, 0.1) < 0.05
    assert demand.observe(20 * DECAY_TIME_S, 0.1) == 1.0
