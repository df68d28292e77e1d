"""The mean with its mean deviation."""

import pytest

from apigateway.routing.mean_deviation import MeanDeviation


def test_the_prior_stands_until_something_is_observed():
    times = MeanDeviation(0.2, 0.05)
    assert (times.mean, times.deviation) == (0.2, 0.2)


def test_the_first_observation_replaces_the_prior():
    times = MeanDeviation(0.2, 0.05)
    times.observe(1.0)
    assert times.mean == pytest.approx(1.0)
    assert times.deviation == pytest.approx(0.0)


def test_the_first_observations_are_averaged_evenly():
    times = MeanDeviation(9.0, 0.05)
    for value in (1.0, 2.0, 3.0, 6.0):
        times.observe(value)
    assert times.mean == pytest.approx(3.0)


def test_later_observations_weigh_as_much_as_the_least_gain():
    times = MeanDeviation(1.0, 0.05)
    for _ in range(200):
        times.observe(1.0)
    assert times.deviation == pytest.approx(0.0, abs=1e-4)
    times.observe(2.0)
    assert times.mean == pytest.approx(1.05)
    assert times.deviation == pytest.approx(0.05 * 0.95, abs=1e-4)


def test_the_deviation_comes_to_the_mean_distance_from_the_mean():
    times = MeanDeviation(1.0, 0.05)
    for number in range(2000):
        times.observe(1.0 + 0.3 * (-1) ** number)
    assert times.mean == pytest.approx(1.0, abs=0.03)
    assert times.deviation == pytest.approx(0.3, rel=0.15)
