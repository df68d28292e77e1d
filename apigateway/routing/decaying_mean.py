"""A mean whose memory fades with time, and with each observation, whichever is faster."""

from __future__ import annotations

import math


class DecayingMean:
    """A mean of observations over about `span` seconds.

    An observation has a weight of at least `min_gain`, so that many at once move the mean too, and of at most
    `max_gain`, so that one after a long silence does not replace it.
    """

    __slots__ = ("_max_gain", "_min_gain", "_span", "observed_at", "value")

    def __init__(self, span: float, min_gain: float, max_gain: float) -> None:
        self.value = 0.0
        self.observed_at = 0.0  # s
        self._span = span
        self._min_gain = min_gain
        self._max_gain = max_gain

    def observe(self, now: float, observation: float) -> None:
        """Take up one observation."""
        gain = max(self._min_gain, 1 - math.exp((self.observed_at - now) / self._span))
        self.value += min(gain, self._max_gain) * (observation - self.value)
        self.observed_at = now

    def value_at(self, now: float, trusted_for: float) -> float:
        """Return the mean, which fades once nothing has been observed for `trusted_for` seconds."""
        return self.value * math.exp(min(0.0, (self.observed_at + trusted_for - now) / self._span))
