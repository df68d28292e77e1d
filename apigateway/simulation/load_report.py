"""The load reports of a simulated host: sampled periodically, with noise, and published with a delay."""

from __future__ import annotations

import random

from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.scenario import HostSettings

MAX_RELATIVE_NOISE = 0.07  # of a sample, in either direction


class LoadReporter:
    """Samples a host's load, and publishes it after a delay.

    Attributes:
        report: The report that the host currently sends with its answers.
        reports_idle: While set, new reports falsely state that the host is idle.
        extra_delay: Additional delay of reports, in seconds.
    """

    def __init__(
        self, clock: SimulatedClock, settings: HostSettings, cores: float, rng: random.Random
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._cores = cores
        self._rng = rng
        self._busy_cores = 0.0
        self._busy_core_seconds = 0.0  # since the last sample
        self._busy_updated_at = clock.now
        self.report: dict[str, float] = {}
        self.reports_idle = False
        self.extra_delay = 0.0

    def set_busy_cores(self, busy_cores: float) -> None:
        """Set the number of cores that are busy from now on."""
        self._accumulate()
        self._busy_cores = busy_cores

    def sample(self, queued: int, in_flight: int) -> None:
        """Take a sample, and publish it after the delay."""
        self._accumulate()
        settings = self._settings
        utilization = self._busy_core_seconds / settings.report_period / self._cores
        self._busy_core_seconds = 0.0
        noise = 1 + MAX_RELATIVE_NOISE * (2 * self._rng.random() - 1)
        values = {
            "queue": round(queued * noise),
            "util": min(1.0, utilization * noise),
            "inflight": round(in_flight * noise),
        }
        report = {
            name: 0.0 if self.reports_idle else float(value)
            for name, value in values.items()
            if name in settings.reports
        }
        self._clock.call_later(settings.report_delay + self.extra_delay, self._publish, report)

    def _accumulate(self) -> None:
        self._busy_core_seconds += self._busy_cores * (self._clock.now - self._busy_updated_at)
        self._busy_updated_at = self._clock.now

    def _publish(self, report: dict[str, float]) -> None:
        self.report = report
