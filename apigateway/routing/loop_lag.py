"""Measures the lag of an event loop as a mean over short windows."""

from __future__ import annotations

import math


class LoopLag:
    """The lag of a window: the mean lateness of timers or the mean wait of data that was read, if greater.

    A window lasts at least `min_window` seconds, and at least as long as the lag of the last one: only then
    has the data that was waiting been processed.
    """

    __slots__ = (
        "_lateness_count",
        "_lateness_sum",
        "_min_window",
        "_wait_count",
        "_wait_sum",
        "_window_started_at",
        "seconds",
    )

    def __init__(self, min_window: float) -> None:
        self.seconds = 0.0  # lag of the last window
        self._min_window = min_window
        self._window_started_at = -math.inf
        self._lateness_sum = 0.0
        self._lateness_count = 0
        self._wait_sum = 0.0
        self._wait_count = 0

    def record_wait(self, seconds: float) -> None:
        """Record how long data waited before it was read."""
        self._wait_sum += seconds
        self._wait_count += 1

    def record_lateness(self, now: float, seconds: float) -> bool:
        """Record how late a timer ran, and return whether this ended a window."""
        self._lateness_sum += seconds
        self._lateness_count += 1
        if now - self._window_started_at < max(self._min_window, self.seconds):
            return False
        self._window_started_at = now
        self.seconds = max(
            self._lateness_sum / self._lateness_count, self._wait_sum / max(1, self._wait_count)
        )
        self._lateness_sum = 0.0
        self._lateness_count = 0
        self._wait_sum = 0.0
        self._wait_count = 0
        return True
