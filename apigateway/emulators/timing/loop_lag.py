"""Measures how late the event loop of emulators and clients runs its timers."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

PROBE_INTERVAL_S = 0.01
MIN_RECORDED_LAG_S = 0.005


class Lag(NamedTuple):
    """A time in which something was due and did not run."""

    due_at: float
    seconds: float


class LagLog:
    """The lags of one loop or process, by `time.monotonic`."""

    def __init__(self) -> None:
        self._lags: list[Lag] = []

    def record(self, lag: Lag) -> None:
        """Record a lag."""
        self._lags.append(lag)

    def longest_between(self, start: float, end: float) -> float:
        """Return the longest lag, in seconds, that overlaps a time; 0 if there was none."""
        overlapping = (
            lag.seconds for lag in self._lags if lag.due_at <= end and lag.due_at + lag.seconds >= start
        )
        return max(overlapping, default=0.0)

    def total_between(self, start: float, end: float) -> float:
        """Return how much of a time lags took up, in seconds."""
        overlaps = (min(end, lag.due_at + lag.seconds) - max(start, lag.due_at) for lag in self._lags)
        return sum(overlap for overlap in overlaps if overlap > 0.0)

    def blocked_since(self, at: float) -> float:
        """Return since when a loop that was late at a time had not run; `at` itself if it was not late.

        The turn in which a lag ends reads its sockets after its timers, so it lasts up to the next probe.
        """
        starts = (
            lag.due_at
            for lag in self._lags
            if lag.due_at <= at <= lag.due_at + lag.seconds + PROBE_INTERVAL_S
        )
        return min(starts, default=at)


class LoopLagMonitor(LagLog):
    """Records the lags of the running event loop from `start` to `stop`."""

    def __init__(self) -> None:
        super().__init__()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def was_started(self) -> bool:
        """Whether anything was measured."""
        return self._timer is not None

    def start(self) -> None:
        """Begin to measure."""
        self._schedule()

    def stop(self) -> None:
        """End the measurement."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + PROBE_INTERVAL_S
        self._timer = loop.call_at(due_at, self._probe, due_at)

    def _probe(self, due_at: float) -> None:
        seconds = time.monotonic() - due_at  # the loop's own time is that of the start of its turn
        if seconds >= MIN_RECORDED_LAG_S:
            self.record(Lag(due_at, seconds))
        self._schedule()
