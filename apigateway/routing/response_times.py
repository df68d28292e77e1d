"""Response times by class of requests: mean and deviation of each, and what is typical of all."""

from __future__ import annotations

from collections.abc import Mapping

from apigateway.routing.mean_deviation import MeanDeviation

QUICK_GAIN = 0.15  # weight of a new time in the typical one: a change must show in a few
MIN_TIME = 1e-4  # s; a typical time is a divisor
MIN_MEAN = 1e-6  # s; likewise
MAX_RATIO = 10.0  # of a time to the mean of its class: one outlier says no more


class ResponseTimes(dict[str, MeanDeviation]):
    """Times in seconds, by class.

    Args:
        priors: what is taken for the mean of each class before any response.
        min_gain: weight of a new time in the mean, once there are many.
    """

    def __init__(self, priors: Mapping[str, float], min_gain: float) -> None:
        super().__init__((name, MeanDeviation(prior, min_gain)) for name, prior in priors.items())
        self.typical = max(priors.values())  # of a response of any class

    def observe(self, name: str, elapsed: float) -> float:
        """Take up a response, and return the ratio of its time to the mean of its class."""
        self.typical += QUICK_GAIN * (max(elapsed, MIN_TIME) - self.typical)
        times = self[name]
        ratio = min(elapsed / max(times.mean, MIN_MEAN), MAX_RATIO)
        times.observe(elapsed)
        return ratio
