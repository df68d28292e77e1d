"""The clock of a simulation, and the random streams of its parts.

Callbacks that are due at the same time run in the order in which they were scheduled, so that a simulation
is exactly reproducible for a seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

START_TIME = 1_000_000.0  # s, Unix time; far from 0, since a host start at 0 means "long ago"


class SimulatedClock:
    """A discrete-event scheduler with the interface of an event loop's timers.

    Attributes:
        now: The simulated time, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.now = START_TIME
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled_count = 0  # orders callbacks that are due at the same time

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a time; a time in the past counts as now."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (max(when, self.now), self._scheduled_count, callback, args))

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback, *args)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due by `end`, including newly scheduled ones, and advance to `end`."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = end


def random_stream(seed: int, *names: object) -> random.Random:
    """Return the random generator of one part of a simulation.

    Each part has its own stream, so that the numbers that one part draws do not affect the others.
    """
    return random.Random("/".join(map(str, (seed, *names))))
