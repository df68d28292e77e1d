"""Random and evenly spaced arrivals follow the rate over time."""

import math
from itertools import pairwise

import pytest
from scenarios import SHAPES

from apigateway.tools.load.arrivals import even_arrivals, poisson_arrivals, seeded_random
from apigateway.tools.load.shapes import Constant, Product


def integral(shape, begin, end, steps=20_000):
    length = (end - begin) / steps
    return sum(shape.rate_at(begin + (n + 0.5) * length) for n in range(steps)) * length


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: type(shape).__name__)
def test_arrival_count_matches_the_integral_of_the_rate(shape):
    scaled = Product(of=[shape, Constant(rate=50.0)])
    for begin, end in ((0.0, 4.0), (4.0, 12.0)):
        expected = integral(scaled, begin, end)
        counts = [
            sum(begin <= time < end for time in poisson_arrivals(scaled, 12.0, seeded_random(seed, "x")))
            for seed in range(10)
        ]
        assert abs(sum(counts) / 10 - expected) <= 5 * math.sqrt(expected / 10) + 1
        even_count = sum(begin <= time < end for time in even_arrivals(scaled, 12.0))
        assert abs(even_count - expected) <= 3  # arrivals that fall on an edge of the interval


def test_even_arrivals_are_evenly_spaced():
    times = list(even_arrivals(Constant(rate=8.0), 10.0))
    assert len(times) == 80 and all(
        later - earlier == pytest.approx(0.125) for earlier, later in pairwise(times)
    )


def test_poisson_gaps_are_exponential():
    times = list(poisson_arrivals(Constant(rate=1000.0), 20.0, seeded_random(3, "x")))
    gaps = sorted(later - earlier for earlier, later in pairwise(times))
    for share in (0.1, 0.5, 0.9):
        assert gaps[int(share * len(gaps))] == pytest.approx(-math.log(1 - share) / 1000, rel=0.1)
