"""Since when the event loop may not have read its sockets.

After a pause of the process (a machine short of CPU, a collection of garbage) a request may have waited
unread, and its client's time has passed meanwhile.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from apigateway.core.interfaces import Scheduler
from apigateway.event_loop import call_after_poll

# Interval of the timer that notices pauses, which is also by how much their begin is uncertain.
HEARTBEAT_INTERVAL_S = 0.05
# A heartbeat that is late by more shows a pause.
MIN_LAG_S = 0.02


class LoopLag:
    """Notices pauses of the event loop by a heartbeat.

    Args:
        loop: Timers of the event loop.
        clock: Monotonic clock in seconds.

    Attributes:
        last_beat_at: When the heartbeat ran last.
    """

    def __init__(self, loop: Scheduler, clock: Callable[[], float] = time.monotonic) -> None:
        self._paused_since: float | None = None  # until the sockets are polled after a pause
        self._loop = loop
        self._clock = clock
        self.last_beat_at = math.inf  # before the start

    def start(self) -> None:
        """Start the heartbeat, which runs until the loop ends."""
        self.last_beat_at = self._clock()
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def unread_since(self, now: float) -> float | None:
        """Return since when sockets that are read now may not have been read; None if there was no pause."""
        if self._paused_since is not None:
            return self._paused_since
        return self.last_beat_at if self._is_overdue(now) else None

    def _is_overdue(self, now: float) -> bool:
        return now - self.last_beat_at > HEARTBEAT_INTERVAL_S + MIN_LAG_S

    def _beat(self) -> None:
        """Notice a pause. A timer may run before the sockets are polled after it, or later."""
        now = self._clock()
        if self._is_overdue(now):
            self._paused_since = self.last_beat_at
            call_after_poll(self._loop, self._on_polled)
        self.last_beat_at = now
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _on_polled(self) -> None:
        self._paused_since = None
