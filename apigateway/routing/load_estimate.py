"""Estimates the load of an endpoint from this gateway's own attempts and from load reports."""

from __future__ import annotations

import math

REPORT_HALF_LIFE_S = 1.0  # of the weight of a load report
WEIGHT_CACHE_TIME_S = 0.05  # for which a computed report weight is reused


AttemptTimes = dict[tuple[str, int], float]  # send times by request id and attempt number


class LoadEstimate:
    """This gateway's attempts at an endpoint, plus the requests of other gateways by its latest report.

    As the report ages, its weight passes to the mean load of all endpoints.
    """

    def __init__(self, attempts_in_flight: AttemptTimes) -> None:
        self.attempts_in_flight = attempts_in_flight
        self.reported_load = 0.0  # requests of other gateways
        self.reported_at = -math.inf
        self.report_weight = 0.0  # 0 to 1
        self._weight_valid_until = 0.0

    def record_report(self, now: float, in_flight: float, own_attempts: int) -> None:
        """Record a report of `in_flight` requests, of which `own_attempts` come from this gateway."""
        self.reported_load = max(0.0, in_flight - own_attempts)
        self.reported_at = now
        self._weight_valid_until = 0.0

    def load(self, now: float, mean_load: float) -> float:
        """Return the estimated number of requests in flight; `mean_load` is that of all endpoints."""
        if now >= self._weight_valid_until:
            self.report_weight = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
            self._weight_valid_until = now + WEIGHT_CACHE_TIME_S
        weight = self.report_weight
        return len(self.attempts_in_flight) + weight * self.reported_load + (1 - weight) * mean_load
