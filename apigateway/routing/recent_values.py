"""The latest values of a series, and the rank of a value among them."""

from __future__ import annotations

from collections import deque


class RecentValues:
    """A sliding window over the latest `size` values."""

    __slots__ = ("_values",)

    def __init__(self, size: int) -> None:
        self._values: deque[float] = deque(maxlen=size)

    def __len__(self) -> int:
        return len(self._values)

    def add(self, value: float) -> None:
        """Add a value; when the window is full, the oldest one is dropped."""
        self._values.append(value)

    def rank(self, value: float, share_of_equals: float) -> float:
        """Return how many values are below this one, plus a share (0 to 1) of those equal to it."""
        return share_of_equals * self._values.count(value) + sum(other < value for other in self._values)
