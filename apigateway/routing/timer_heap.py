"""A heap of keys by due time with lazy deletion, and the timer for the earliest one."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container
from typing import Generic, TypeVar

TIMER_TOLERANCE_S = 1e-6  # a timer that expires early by less than this counts as on time

Key = TypeVar("Key", bound=str)


class PendingTimer:
    """The timer that is currently set, for the earliest due time."""

    __slots__ = ("_due_at",)

    def __init__(self) -> None:
        self._due_at = math.inf

    def schedule(self, due_at: float) -> bool:
        """Set the due time if it is earlier than the current one, and return whether it was."""
        if due_at >= self._due_at:
            return False
        self._due_at = due_at
        return True

    def expire(self, now: float) -> None:
        """Record that a timer has expired, which may be one that an earlier timer superseded."""
        if now >= self._due_at - TIMER_TOLERANCE_S:
            self._due_at = math.inf


class TimerHeap(Generic[Key]):
    """Keys and their due times; a key may be in the heap several times."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, Key]] = []

    def push(self, due_at: float, key: Key) -> None:
        """Add a key with its due time."""
        heapq.heappush(self._heap, (due_at, key))

    def pop_due(self, now: float) -> Key | None:
        """Remove and return the key with the earliest due time, or None if none is due."""
        if self._heap and self._heap[0][0] <= now + TIMER_TOLERANCE_S:
            return heapq.heappop(self._heap)[1]
        return None

    def next_due(self, live_keys: Container[Key]) -> float:
        """Return the earliest due time of a live key, or inf if there is none; drop dead keys before it."""
        while self._heap and self._heap[0][1] not in live_keys:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf
