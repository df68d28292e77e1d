"""An estimate of what part of the units asked for is granted."""

from __future__ import annotations

PRIOR_WEIGHT = 2  # observations that the prior counts for


class GrantShareEstimator:
    """A mean over all observations at first, and an exponentially weighted one once there are many."""

    def __init__(self, prior: float, min_gain: float) -> None:
        self.share = prior
        self._min_gain = min_gain
        self._observations = PRIOR_WEIGHT

    def observe(self, asked: float, granted: float) -> None:
        """Take up one answer: the units asked for and those that were granted."""
        self._observations += 1
        gain = max(self._min_gain, 1 / self._observations)
        self.share += gain * (min(1.0, granted / asked) - self.share)
