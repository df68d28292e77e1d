"""Estimates the share of requested quota units that is granted."""

from __future__ import annotations

PRIOR_WEIGHT = 2  # the prior counts as this many observations


class GrantShareEstimator:
    """The mean over all observations at first, an exponentially weighted mean once there are many."""

    def __init__(self, prior: float, min_gain: float) -> None:
        self.share = prior
        self._min_gain = min_gain
        self._observation_count = PRIOR_WEIGHT

    def observe(self, requested: float, granted: float) -> None:
        """Add one answer: the units requested and the units granted."""
        self._observation_count += 1
        gain = max(self._min_gain, 1 / self._observation_count)
        self.share += gain * (min(1.0, granted / requested) - self.share)
