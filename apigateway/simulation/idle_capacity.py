"""Measures cores that are idle while work waits at other hosts, which better load balancing could use."""

from __future__ import annotations

from typing import NamedTuple

from apigateway.simulation.clock import SimulatedClock

MIN_CORE_SECONDS = 1e-9  # avoids a division by zero for an interval without cores


class HostUsage(NamedTuple):
    """The contribution of one host to the totals of the fleet, in cores."""

    cores: float
    busy: float
    waiting: float  # cores that the waiting requests could use


class IdleCapacityMeter:
    """Integrates over time the idle cores of the fleet, up to the cores that waiting work could use."""

    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self._cores = 0.0
        self._busy = 0.0
        self._waiting = 0.0
        self._idle_core_seconds = 0.0
        self._total_core_seconds = 0.0
        self._updated_at = clock.now

    def reset(self) -> None:
        """Begin a new measurement."""
        self._idle_core_seconds = 0.0
        self._total_core_seconds = 0.0
        self._updated_at = self._clock.now

    def replace_usage(self, previous: HostUsage, current: HostUsage) -> None:
        """Update the totals for a host whose usage has changed."""
        self._accumulate()
        self._cores += current.cores - previous.cores
        self._busy += current.busy - previous.busy
        self._waiting += current.waiting - previous.waiting

    def idle_share(self) -> float:
        """Return the share of all core time since the reset that was idle while as much work waited."""
        self._accumulate()
        return self._idle_core_seconds / max(MIN_CORE_SECONDS, self._total_core_seconds)

    def _accumulate(self) -> None:
        seconds = self._clock.now - self._updated_at
        self._updated_at = self._clock.now
        self._idle_core_seconds += seconds * min(self._cores - self._busy, self._waiting)
        self._total_core_seconds += seconds * self._cores
