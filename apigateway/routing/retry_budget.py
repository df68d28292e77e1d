"""A retry budget: first attempts deposit a part of a retry each, up to a limit."""

from __future__ import annotations


class RetryBudget:
    """The number of retries that may be made, which need not be whole."""

    __slots__ = ("_limit", "retries")

    def __init__(self, retries: float, limit: float) -> None:
        self.retries = retries
        self._limit = limit

    def deposit(self, retries: float) -> None:
        """Add retries to the budget; what exceeds the limit is lost."""
        self.retries = min(self._limit, self.retries + retries)
