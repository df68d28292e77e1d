"""Estimates how many requests a host processes concurrently, from the load reports of hosts.

The settings do not give the size of hosts, and a load that is high for a host with four cores is half the
load of one with sixteen. Where reports contain both the requests in flight and the CPU utilisation, their
ratio is the number of cores: below full utilisation no request waits for a core, so each one in flight
occupies one.
"""

from __future__ import annotations

from collections.abc import Mapping

MIN_UTILISATION = 0.1  # a report below this utilisation carries little information
MAX_UTILISATION = 0.8  # above this utilisation some requests wait for a core
DECAY_PER_REPORT = 0.99  # factor of the weight of earlier reports with each new one
MIN_REPORTS = 4  # low, as each gateway of a large fleet gets few reports and sheds load until then
MIN_RELATIVE_CHANGE = 0.15  # smaller changes do not trigger a recomputation of what depends on the scale


class CapacityEstimator:
    """Estimates how much larger hosts are than assumed by default.

    Args:
        default_concurrency: requests that a host is assumed to process concurrently without any report.
    """

    def __init__(self, default_concurrency: float) -> None:
        self.scale = 1.0  # at least 1: limits that suit small hosts are not lowered
        self._default_concurrency = default_concurrency
        self._in_flight_sum = 0.0
        self._utilisation_sum = 0.0
        self._report_count = 0

    def observe(self, report: Mapping[str, float]) -> bool:
        """Add a load report, and return whether `scale` has changed."""
        in_flight = report.get("inflight", 0.0)
        utilisation = report.get("util", 0.0)
        if not (in_flight > 0 and MIN_UTILISATION <= utilisation <= MAX_UTILISATION):
            return False
        self._in_flight_sum = self._in_flight_sum * DECAY_PER_REPORT + in_flight
        self._utilisation_sum = self._utilisation_sum * DECAY_PER_REPORT + utilisation
        self._report_count += 1
        if self._report_count < MIN_REPORTS:
            return False
        scale = max(1.0, self._in_flight_sum / self._utilisation_sum / self._default_concurrency)
        if abs(scale - self.scale) < MIN_RELATIVE_CHANGE * self.scale:
            return False
        self.scale = scale
        return True
