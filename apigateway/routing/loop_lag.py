"""How late an event loop is, as the mean of short windows."""

from __future__ import annotations

import math


class LoopLag:
    """The greater of two means of a window: of how late timers ran, and of how long what was read had waited.

    A window lasts `span` seconds at least, and as long as the last one's lag: only then has what waits been
    looked at.
    """

    __slots__ = ("_late_count", "_late_sum", "_span", "_wait_count", "_wait_sum", "_window_began", "seconds")

    def __init__(self, span: float) -> None:
        self.seconds = 0.0  # of the last window
        self._span = span
        self._window_began = -math.inf
        self._late_sum = 0.0
        self._late_count = 0
        self._wait_sum = 0.0
        self._wait_count = 0

    def record_wait(self, seconds: float) -> None:
        """Take up how long something that was read had waited."""
        self._wait_sum += seconds
        self._wait_count += 1

    def record_lateness(self, now: float, seconds: float) -> bool:
        """Take up how late a timer ran, and return whether that ends a window."""
        self._late_sum += seconds
        self._late_count += 1
        if now - self._window_began < max(self._span, self.seconds):
            return False
        self._window_began = now
        self.seconds = max(self._late_sum / self._late_count, self._wait_sum / max(1, self._wait_count))
        self._late_sum = 0.0
        self._late_count = 0
        self._wait_sum = 0.0
        self._wait_count = 0
        return True
