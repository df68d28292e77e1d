"""The one clock of a simulation, and the random streams of its parts.

Callbacks that are due at one moment run in the order in which they were scheduled, so that a simulation is
the same to the byte for one seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

START_TIME = 1_000_000.0  # s; Unix time at which a simulation begins, far from the 0 that means "long ago"


class SimulatedClock:
    """A discrete-event scheduler with the interface of an event loop's timers.

    Attributes:
        now: The simulated time, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.now = START_TIME
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0  # breaks ties between callbacks that are due at the same moment

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a time; a time that has passed counts as now."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(when, self.now), self._scheduled, callback, args))

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback, *args)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due by `end`, those that they schedule included, and stop there."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = end


def random_stream(seed: int, *names: object) -> random.Random:
    """Return the random generator of one part of a simulation.

    Each part has a stream of its own: what one part draws changes nothing for the others.
    """
    return random.Random("/".join(map(str, (seed, *names))))
