"""A budget of retries: what first attempts allow for, saved up to a limit."""

from __future__ import annotations


class RetryBudget:
    """Retries that may be made, in parts."""

    __slots__ = ("_limit", "retries")

    def __init__(self, retries: float, limit: float) -> None:
        self.retries = retries
        self._limit = limit

    def deposit(self, retries: float) -> None:
        """Save up a part of a retry; what is beyond the limit is lost."""
        self.retries = min(self._limit, self.retries + retries)
