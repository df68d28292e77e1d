"""An exponentially decaying estimate of an event rate."""

from __future__ import annotations

import math


class EventRate:
    """Events per second, weighted by an exponential decay with a time constant of `span` seconds."""

    __slots__ = ("_observed_at", "_rate", "_span")

    def __init__(self, span: float) -> None:
        self._span = span
        self._rate = 0.0
        self._observed_at = 0.0

    def rate_at(self, now: float) -> float:
        """Return the rate, decayed until now."""
        return self._rate * math.exp((self._observed_at - now) / self._span)

    def observe(self, now: float) -> float:
        """Count an event, and return the updated rate."""
        self._rate = self.rate_at(now) + 1.0 / self._span
        self._observed_at = now
        return self._rate
