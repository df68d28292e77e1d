"""The one clock of a play. What is due at one moment happens in the order in which it was asked for: a play
is the same to the byte for one seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

START = 1_000_000.0  # s; Unix time at which a play begins, far from the 0 that means long ago


class Clock:
    """`now` is in seconds; callbacks may ask for more."""

    def __init__(self) -> None:
        self.now = START
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        """A moment that has passed is taken for now."""
        self.number += 1
        heapq.heappush(self.due, (max(when, self.now), self.number, what, args))

    def after(self, seconds: float, what: Callable[..., None], *args: Any) -> None:
        self.at(self.now + seconds, what, *args)

    def run(self, until: float) -> None:
        """Until nothing is due before `until`, where the clock then stands."""
        due = self.due
        while due and due[0][0] <= until:
            self.now, _, what, args = heapq.heappop(due)
            what(*args)
        self.now = until


def stream(seed: int, *names: object) -> random.Random:
    """Random numbers of their own for each part of a play: what one part draws moves no other's."""
    return random.Random("/".join(map(str, (seed, *names))))
