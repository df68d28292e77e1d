"""An exponentially weighted mean and mean deviation, as TCP uses for round-trip times (RFC 6298)."""

from __future__ import annotations


class MeanDeviation:
    """The mean over all observations at first, an exponentially weighted mean once there are many."""

    __slots__ = ("_min_gain", "_observation_count", "deviation", "mean")

    def __init__(self, prior: float, min_gain: float) -> None:
        self.mean = prior
        self.deviation = prior  # equal to the mean until the first observation
        self._min_gain = min_gain
        self._observation_count = 0

    def observe(self, value: float) -> None:
        """Add an observation; the first one replaces the prior mean."""
        self._observation_count += 1
        gain = max(1 / self._observation_count, self._min_gain)
        error = value - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) * (1 - gain) - self.deviation)
