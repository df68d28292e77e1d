"""Arrivals: as many as the rate over time has, random or even."""

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
def test_arrivals_are_as_many_as_the_integral_of_the_rate(shape):
    many = Product(of=[shape, Constant(rate=50.0)])
    for begin, end in ((0.0, 4.0), (4.0, 12.0)):
        expected = integral(many, begin, end)
        counts = [
            sum(begin <= t < end for t in poisson_arrivals(many, 12.0, seeded_random(n, "x")))
            for n in range(10)
        ]
        assert abs(sum(counts) / 10 - expected) <= 5 * math.sqrt(expected / 10) + 1
        exact = sum(begin <= t < end for t in even_arrivals(many, 12.0))
        assert abs(exact - expected) <= 3  # of what is due at once at an edge


def test_even_arrivals_are_evenly_spaced():
    times = list(even_arrivals(Constant(rate=8.0), 10.0))
    assert len(times) == 80 and all(b - a == pytest.approx(0.125) for a, b in pairwise(times))


def test_poisson_gaps_are_exponential():
    times = list(poisson_arrivals(Constant(rate=1000.0), 20.0, seeded_random(3, "x")))
    gaps = sorted(b - a for a, b in pairwise(times))
    for part in (0.1, 0.5, 0.9):
        assert gaps[int(part * len(gaps))] == pytest.approx(-math.log(1 - part) / 1000, rel=0.1)
