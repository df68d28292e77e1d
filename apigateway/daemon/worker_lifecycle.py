"""Decide when a worker is started, killed or given up.

Pure: callers tell what happened and when, and act on the answer. All times are in seconds of one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RestartPolicy:
    """When a worker is taken for hung, and how soon it is started again.

    Attributes:
        watchdog_timeout_s: Without a heartbeat for so long, a worker that serves is taken for hung.
        ready_timeout_s: How long a worker may take from its start until it serves.
        backoff_s: Pause after an exit; doubles with each further failure in a row.
        max_backoff_s: The longest pause.
        stable_after_s: An exit of a worker that served for so long ends the row of failures.
        crash_loop_threshold: So many failures in a row of one worker are a crash loop.
    """

    watchdog_timeout_s: float = 10.0
    ready_timeout_s: float = 60.0
    backoff_s: float = 0.2
    max_backoff_s: float = 10.0
    stable_after_s: float = 10.0
    crash_loop_threshold: int = 5


class WorkerLifecycle:
    """The state of one worker.

    Attributes:
        next_start_at: When it is to be started, if it is not running.
        is_running: It has been started and has not exited.
        is_ready: It serves.
        ready_at: When it began to serve.
        failures_in_row: Exits since it last was stable.
        exit_count: Exits in all.
    """

    def __init__(self, policy: RestartPolicy, now: float) -> None:
        self.next_start_at = now
        self.is_running = False
        self.is_ready = False
        self.ready_at = now
        self.failures_in_row = 0
        self.exit_count = 0
        self._policy = policy
        self._started_at = now
        self._last_heartbeat_at = now

    def on_started(self, now: float) -> None:
        """Record that its process was started."""
        self.is_running = True
        self.is_ready = False
        self._started_at = now
        self._last_heartbeat_at = now

    def on_heartbeat(self, now: float, ready: bool = False) -> None:
        """Record a sign of life; `ready`: that it serves now."""
        self._last_heartbeat_at = now
        if ready and not self.is_ready:
            self.is_ready = True
            self.ready_at = now

    def on_ended(self, now: float) -> bool:
        """Record an exit.

        Returns:
            Whether it is to be started again, at `next_start_at`; False: it is in a crash loop.
        """
        was_stable = self.is_ready and now - self.ready_at >= self._policy.stable_after_s
        self.is_running = False
        self.is_ready = False
        self.exit_count += 1
        self.failures_in_row = 1 if was_stable else self.failures_in_row + 1
        if self.failures_in_row >= self._policy.crash_loop_threshold:
            return False
        backoff = self._policy.backoff_s * 2.0 ** (self.failures_in_row - 1)
        self.next_start_at = now + min(self._policy.max_backoff_s, backoff)
        return True

    def on_handed_over(self) -> None:
        """Record that a successor's worker serves in its place; only `start_again` has it started."""
        self.is_running = False
        self.is_ready = False
        self.next_start_at = math.inf

    def start_again(self, now: float) -> None:
        """Have it started at once: the successor failed."""
        self.next_start_at = now
        self.failures_in_row = 0

    def is_hung(self, now: float) -> bool:
        """Return whether it runs, but is late with its heartbeat or with getting ready."""
        if not self.is_running:
            return False
        if not self.is_ready:
            return now - self._started_at > self._policy.ready_timeout_s
        return now - self._last_heartbeat_at > self._policy.watchdog_timeout_s

    def is_due(self, now: float) -> bool:
        """Return whether it is to be started now."""
        return not self.is_running and now >= self.next_start_at
