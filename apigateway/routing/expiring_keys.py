"""Keys with expiry times, limited in number."""

from __future__ import annotations


class ExpiringKeys(dict[str, float]):
    """Expiry times by key.

    Args:
        limit: maximum number of keys; adding a key when there are as many clears all others first.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def add(self, key: str, until: float) -> None:
        """Add a key that expires at `until`."""
        if len(self) >= self._limit:
            self.clear()
        self[key] = until

    def remaining_time(self, key: str, now: float) -> float:
        """Return the seconds until a key expires; 0 if it has expired or is unknown."""
        return max(0.0, self.get(key, 0.0) - now)
