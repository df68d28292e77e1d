"""A mean in which older observations lose weight with time and with each new observation."""

from __future__ import annotations

import math


class DecayingMean:
    """A mean of the observations of about the last `span` seconds.

    The weight of an observation is at least `min_gain`, so that many in a short time move the mean too, and
    at most `max_gain`, so that a single one after a long pause does not replace it.
    """

    __slots__ = ("_max_gain", "_min_gain", "_span", "observed_at", "value")

    def __init__(self, span: float, min_gain: float, max_gain: float) -> None:
        self.value = 0.0
        self.observed_at = 0.0  # time of the latest observation, s
        self._span = span
        self._min_gain = min_gain
        self._max_gain = max_gain

    def observe(self, now: float, observation: float) -> None:
        """Add an observation."""
        gain = max(self._min_gain, 1 - math.exp((self.observed_at - now) / self._span))
        self.value += min(gain, self._max_gain) * (observation - self.value)
        self.observed_at = now

    def value_at(self, now: float, hold_time: float) -> float:
        """Return the mean, which decays once `hold_time` seconds have passed without an observation."""
        return self.value * math.exp(min(0.0, (self.observed_at + hold_time - now) / self._span))
