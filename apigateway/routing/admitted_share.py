"""A share of requests to admit, which falls fast during an overload and recovers slowly after it."""

from __future__ import annotations

import math

MAX_DECREASE_STEP_S = 1.0  # a longer time since the last update decreases the share no further


class AdmittedShare:
    """The share of requests to admit, between `min_share` and 1.

    Args:
        now: the time.
        decrease_rate: rate of the exponential decrease during an overload, per second.
        recovery_rate: linear increase after an overload, per second.
        min_share: share that is admitted even in an overload, so that the end of the overload is noticed.
    """

    __slots__ = ("_decrease_rate", "_min_share", "_recovery_rate", "_updated_at", "share")

    def __init__(self, now: float, decrease_rate: float, recovery_rate: float, min_share: float) -> None:
        self.share = 1.0
        self._updated_at = now
        self._decrease_rate = decrease_rate
        self._recovery_rate = recovery_rate
        self._min_share = min_share

    def update(self, now: float, is_overloaded: bool) -> float:
        """Adjust the share for the time since the last update, and return it."""
        elapsed = now - self._updated_at
        self._updated_at = now
        if is_overloaded:
            decrease = math.exp(-self._decrease_rate * min(elapsed, MAX_DECREASE_STEP_S))
            self.share = max(self._min_share, self.share * decrease)
        else:
            self.share = min(1.0, self.share + self._recovery_rate * elapsed)
        return self.share
