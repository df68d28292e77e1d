"""The exponentially weighted mean and mean deviation."""

import pytest

from apigateway.routing.mean_deviation import MeanDeviation


def test_prior_is_used_until_the_first_observation():
    times = MeanDeviation(0.2, 0.05)
    assert (times.mean, times.deviation) == (0.2, 0.2)


def test_first_observation_replaces_the_prior():
    times = MeanDeviation(0.2, 0.05)
    times.observe(1.0)
    assert times.mean == pytest.approx(1.0)
    assert times.deviation == pytest.approx(0.0)


def test_first_observations_have_equal_weights():
    times = MeanDeviation(9.0, 0.05)
    for value in (1.0, 2.0, 3.0, 6.0):
        times.observe(value)
    assert times.mean == pytest.approx(3.0)


def test_later_observations_have_the_minimum_gain_as_weight():
    times = MeanDeviation(1.0, 0.05)
    for _ in range(200):
        times.observe(1.0)
    assert times.deviation == pytest.approx(0.0, abs=1e-4)
    times.observe(2.0)
    assert times.mean == pytest.approx(1.05)
    assert times.deviation == pytest.approx(0.05 * 0.95, abs=1e-4)


def test_deviation_converges_to_the_mean_distance_from_the_mean():
    times = MeanDeviation(1.0, 0.05)
    for number in range(2000):
        times.observe(1.0 + 0.3 * (-1) ** number)
    assert times.mean == pytest.approx(1.0, abs=0.03)
    assert times.deviation == pytest.approx(0.3, rel=0.15)
