"""Counts by level that decay, and which levels make up the top part of them."""

from __future__ import annotations

NEGLIGIBLE = 0.01  # a count that has decayed below this is dropped


class DecayingCounts:
    """How often each level was seen, with a weight that decays step by step."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, level: int) -> None:
        """Count a level once."""
        self._counts[level] = self._counts.get(level, 0.0) + 1.0

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor."""
        for level in list(self._counts):
            self._counts[level] *= factor
            if self._counts[level] < NEGLIGIBLE:
                del self._counts[level]

    def top_share_threshold(self, part: float) -> tuple[int, float] | None:
        """Return the lowest level that the top `part` (0 to 1) of all counts has, and how much of it is in.

        None: all levels are in it.
        """
        remaining = part * sum(self._counts.values())
        for level in sorted(self._counts, reverse=True):
            count = self._counts[level]
            if count >= remaining:
                return level, remaining / count
            remaining -= count
        return None
