"""Probabilities of the Poisson distribution."""

from __future__ import annotations

import math


def poisson_tail_probability(count: int, mean: float) -> float:
    """Return the probability that a Poisson-distributed number with this mean is at least `count`."""
    probability_below = sum(mean**n * math.exp(-mean) / math.factorial(n) for n in range(count))
    return 1 - probability_below
