"""Response times: mean and deviation by class of requests, and a typical time of all."""

from __future__ import annotations

from collections.abc import Mapping

from apigateway.routing.mean_deviation import MeanDeviation

TYPICAL_TIME_GAIN = 0.15  # weight of a new time in the typical one; follows a change within a few responses
MIN_RESPONSE_TIME_S = 1e-4  # above 0, as the typical time is used as a divisor
MIN_MEAN_S = 1e-6  # above 0, as the mean is used as a divisor
MAX_RATIO = 10.0  # of a time to the mean of its class; limits the effect of an outlier


class ResponseTimes(dict[str, MeanDeviation]):
    """Response times in seconds, by class.

    Args:
        priors: initial mean of each class.
        min_gain: weight of a new time in the mean once there are many.
    """

    def __init__(self, priors: Mapping[str, float], min_gain: float) -> None:
        super().__init__((name, MeanDeviation(prior, min_gain)) for name, prior in priors.items())
        self.typical = max(priors.values())  # over all classes

    def observe(self, class_name: str, elapsed: float) -> float:
        """Record a response time, and return its ratio to the mean of its class."""
        self.typical += TYPICAL_TIME_GAIN * (max(elapsed, MIN_RESPONSE_TIME_S) - self.typical)
        times = self[class_name]
        ratio = min(elapsed / max(times.mean, MIN_MEAN_S), MAX_RATIO)
        times.observe(elapsed)
        return ratio
