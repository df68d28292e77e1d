"""How many requests an endpoint holds, by one's own attempts and by load reports that age."""

from __future__ import annotations

import math

REPORT_HALF_LIFE_S = 1.0  # s; a load report says half as much after it
WEIGHT_LIFE = 0.05  # s that the weight of a report is taken for the same


AttemptTimes = dict[tuple[str, int], float]  # when attempts were sent, by request id and number


class LoadEstimate:
    """One's own attempts at an endpoint, and the requests of others by its last report.

    What the report no longer tells is taken for the mean of all endpoints.
    """

    def __init__(self, attempts_in_flight: AttemptTimes) -> None:
        self.attempts_in_flight = attempts_in_flight
        self.reported_load = 0.0  # requests of others
        self.reported_at = -math.inf
        self.report_weight = 0.0  # 0 to 1
        self._weighed_until = 0.0

    def record_report(self, now: float, held: float, own_attempts: int) -> None:
        """Take up a report of the requests held, among them so many of one's own."""
        self.reported_load = max(0.0, held - own_attempts)
        self.reported_at = now
        self._weighed_until = 0.0

    def load(self, now: float, mean: float) -> float:
        """Return the requests held, where `mean` is that of all endpoints."""
        if now >= self._weighed_until:
            self.report_weight = 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
            self._weighed_until = now + WEIGHT_LIFE
        weight = self.report_weight
        return len(self.attempts_in_flight) + weight * self.reported_load + (1 - weight) * mean
