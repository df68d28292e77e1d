"""How a sender's requests compare with the rate that it is entitled to."""

import pytest

from apigateway.routing.demand import DECAY_TIME_S, DemandEstimator


def observed(every, allowed_rate, count=400):
    demand = DemandEstimator(0.0)
    return [demand.observe(number * every, allowed_rate) for number in range(count)]


def test_the_first_request_is_taken_for_one_within_the_rate():
    assert observed(1.0, 0.0, 1) == [1.0]


def test_a_sender_within_its_rate_stays_at_one():
    assert set(observed(1.0, 2.0)) == {1.0}


def test_a_sender_beyond_its_rate_comes_to_their_ratio():
    assert observed(0.05, 5.0)[-1] == pytest.approx(5.0 / 20.0, abs=0.05)


def test_what_was_long_ago_is_forgotten():
    demand = DemandEstimator(0.0)
    for _ in range(50):
        demand.observe(0.0, 0.1)
    assert demand.observe(0.0, 0.1) < 0.05
    assert demand.observe(20 * DECAY_TIME_S, 0.1) == 1.0
