"""Keys that are remembered until some time, not more than a number of them."""

from __future__ import annotations


class ExpiringKeys(dict[str, float]):
    """Times until which keys are remembered, by key.

    Args:
        limit: keys remembered at once; when there are as many, all are forgotten.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def add(self, key: str, until: float) -> None:
        """Remember a key."""
        if len(self) >= self._limit:
            self.clear()
        self[key] = until

    def remaining_time(self, key: str, now: float) -> float:
        """Return the seconds for which a key is still remembered; 0: it is not."""
        return max(0.0, self.get(key, 0.0) - now)
