"""A retry budget: each first attempt adds a fraction of a retry, up to a limit."""

from __future__ import annotations


class RetryBudget:
    """The retries that may still be made; their number may be fractional."""

    __slots__ = ("_limit", "retries")

    def __init__(self, retries: float, limit: float) -> None:
        self.retries = retries
        self._limit = limit

    def deposit(self, retries: float) -> None:
        """Add retries to the budget; what exceeds the limit is lost."""
        self.retries = min(self._limit, self.retries + retries)
