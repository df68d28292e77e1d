"""A heap of keys by the time when they are due, from which what is no longer of interest is dropped late."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container
from typing import Generic, TypeVar

TIMER_TOLERANCE_S = 1e-6  # s; a clock that comes so much early counts as on time

Key = TypeVar("Key", bound=str)


class PendingTimer:
    """The one timer that is out, for what is due next."""

    __slots__ = ("_due_at",)

    def __init__(self) -> None:
        self._due_at = math.inf

    def schedule(self, due_at: float) -> bool:
        """Note that something is due, and return whether a timer is needed for it, as it is the first."""
        if due_at >= self._due_at:
            return False
        self._due_at = due_at
        return True

    def expire(self, now: float) -> None:
        """Note that a timer has expired, which may be an older one."""
        if now >= self._due_at - TIMER_TOLERANCE_S:
            self._due_at = math.inf


class TimerHeap(Generic[Key]):
    """Keys and the times when they are due; a key may be in it several times."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, Key]] = []

    def push(self, due_at: float, key: Key) -> None:
        """Add a key that is due at this time."""
        heapq.heappush(self._heap, (due_at, key))

    def pop_due(self, now: float) -> Key | None:
        """Remove and return the key that has been due longest; None if none is due."""
        if self._heap and self._heap[0][0] <= now + TIMER_TOLERANCE_S:
            return heapq.heappop(self._heap)[1]
        return None

    def next_due(self, live: Container[Key]) -> float:
        """Return when the first key is due, after dropping those before it that are not live; inf: never."""
        while self._heap and self._heap[0][1] not in live:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf
