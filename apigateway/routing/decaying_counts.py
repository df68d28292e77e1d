"""Decaying counts by level, and the lowest level within a top share of them."""

from __future__ import annotations

MIN_COUNT = 0.01  # a count that has decayed below this is dropped


class DecayingCounts:
    """How often each level occurred; the counts decay when `decay` is called."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, level: int) -> None:
        """Count one occurrence of a level."""
        self._counts[level] = self._counts.get(level, 0.0) + 1.0

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor."""
        for level in list(self._counts):
            self._counts[level] *= factor
            if self._counts[level] < MIN_COUNT:
                del self._counts[level]

    def top_share_threshold(self, share: float) -> tuple[int, float] | None:
        """Return the lowest level in the top `share` (0 to 1) of all counts.

        The second value is the part of this level's count that belongs to the top share. Return None if all
        levels belong to it.
        """
        remaining = share * sum(self._counts.values())
        for level in sorted(self._counts, reverse=True):
            count = self._counts[level]
            if count >= remaining:
                return level, remaining / count
            remaining -= count
        return None
