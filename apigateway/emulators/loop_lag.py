"""Measures how late the event loop of emulators and clients runs its timers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

PROBE_INTERVAL_S = 0.01
MIN_RECORDED_LAG_S = 0.005


class Lag(NamedTuple):
    """A timer that ran late."""

    due_at: float
    seconds: float


class LoopLagMonitor:
    """Records the lags of the running event loop from `start` to `stop`."""

    def __init__(self) -> None:
        self._lags: list[Lag] = []
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to measure."""
        self._schedule()

    def stop(self) -> None:
        """End the measurement."""
        if self._timer is not None:
            self._timer.cancel()

    def longest_between(self, start: float, end: float) -> float:
        """Return the longest lag, in seconds, that overlaps a time; 0 if there was none."""
        overlapping = (
            lag.seconds for lag in self._lags if lag.due_at <= end and lag.due_at + lag.seconds >= start
        )
        return max(overlapping, default=0.0)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + PROBE_INTERVAL_S
        self._timer = loop.call_at(due_at, self._probe, due_at)

    def _probe(self, due_at: float) -> None:
        seconds = asyncio.get_running_loop().time() - due_at
        if seconds >= MIN_RECORDED_LAG_S:
            self._lags.append(Lag(due_at, seconds))
        self._schedule()
