"""A share of requests that is admitted: it falls fast in overload, and comes back slowly after it."""

from __future__ import annotations

import math

MAX_STEP = 1.0  # s; more time than this since the last update lowers the share no further


class AdmittedShare:
    """A share from `least` to 1.

    Args:
        now: the time.
        decrease_rate: how fast it falls, exponentially, a second.
        recovery_rate: how much it grows a second.
        least: what is admitted whatever the overload, so that its end is seen.
    """

    __slots__ = ("_decrease_rate", "_least", "_recovery_rate", "_updated_at", "share")

    def __init__(self, now: float, decrease_rate: float, recovery_rate: float, least: float) -> None:
        self.share = 1.0
        self._updated_at = now
        self._decrease_rate = decrease_rate
        self._recovery_rate = recovery_rate
        self._least = least

    def update(self, now: float, is_overloaded: bool) -> float:
        """Let it fall or grow for the time since the last update, and return it."""
        step = now - self._updated_at
        self._updated_at = now
        if is_overloaded:
            decrease = math.exp(-self._decrease_rate * min(step, MAX_STEP))
            self.share = max(self._least, self.share * decrease)
        else:
            self.share = min(1.0, self.share + self._recovery_rate * step)
        return self.share
