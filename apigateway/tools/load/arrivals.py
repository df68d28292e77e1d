"""Arrival times of the requests of a stream, from its rate over time. Deterministic for a seed, without I/O.

`poisson_arrivals` draws by thinning (Lewis and Shedler 1979): it draws candidates at the shape's highest rate
and keeps each with the probability rate / highest rate. `even_arrivals` places the n-th arrival where the
integral of the rate reaches n.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Iterator

from apigateway.tools.load.shapes import Shape

_MIN_STEP_S = 0.001  # step of the numerical integration for even arrivals
_MAX_STEPS = 1_000_000  # of the integration; a longer run has longer steps


def seeded_random(seed: int, *purpose: object) -> random.Random:
    """Return a generator for one purpose; more draws for one purpose leave the others unchanged."""
    text = "\x1f".join(str(part) for part in (seed, *purpose)).encode()
    return random.Random(int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big"))


def poisson_arrivals(shape: Shape, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the times of a Poisson process, in seconds from the start."""
    max_rate = shape.max_rate()
    time = 0.0
    while max_rate > 0:
        time -= math.log(1.0 - rng.random()) / max_rate
        if time >= seconds:
            return
        if rng.random() * max_rate < shape.rate_at(time):
            yield time


def even_arrivals(shape: Shape, seconds: float) -> Iterator[float]:
    """Yield evenly spaced times, in seconds from the start."""
    if shape.max_rate() <= 0:
        return
    # Value of the integral at the next arrival; the first one comes as soon as the rate is above 0.
    next_arrival = 0.0
    integral = 0.0
    step_length = max(_MIN_STEP_S, seconds / _MAX_STEPS)
    for step in range(math.ceil(seconds / step_length)):
        start = step * step_length
        end = min(seconds, start + step_length)
        increase = (shape.rate_at(start) + shape.rate_at(end)) / 2 * (end - start)
        while increase > 0 and next_arrival < integral + increase:
            yield start + (next_arrival - integral) / increase * (end - start)
            next_arrival += 1.0
        integral += increase
