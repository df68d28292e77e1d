"""An exponentially weighted mean with its mean deviation, as TCP keeps for round-trip times (RFC 6298)."""

from __future__ import annotations


class MeanDeviation:
    """A mean over all observations at first, and an exponentially weighted one once there are many."""

    __slots__ = ("_min_gain", "_observations", "deviation", "mean")

    def __init__(self, prior: float, min_gain: float) -> None:
        self.mean = prior
        self.deviation = prior  # as wide as the mean, until something is seen
        self._min_gain = min_gain
        self._observations = 0

    def observe(self, value: float) -> None:
        """Take up one observation; the first one replaces the prior mean."""
        self._observations += 1
        gain = max(1 / self._observations, self._min_gain)
        error = value - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) * (1 - gain) - self.deviation)
