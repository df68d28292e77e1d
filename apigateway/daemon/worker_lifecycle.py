"""Decide when a worker is started, killed, or no longer restarted.

This module does no I/O: callers report events with their times, and act on the results. All times are in
seconds of the same clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RestartPolicy:
    """When a worker counts as hung, and how soon a failed worker is restarted.

    Attributes:
        watchdog_timeout_s: A serving worker counts as hung after this long without a heartbeat.
        ready_timeout_s: How long a worker may take from its start until it serves.
        backoff_s: Delay before a restart; doubles with each consecutive failure.
        max_backoff_s: Upper limit of the delay.
        stable_after_s: The exit of a worker that has served for at least this long resets the failure count.
        crash_loop_threshold: Number of consecutive failures of one worker that counts as a crash loop.
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
        next_start_at: When to start the worker, if it is not running.
        is_running: Whether the process has been started and has not exited.
        is_ready: Whether it serves.
        ready_at: When it began to serve.
        consecutive_failures: Number of exits since it was last stable.
        exit_count: Total number of exits.
    """

    def __init__(self, policy: RestartPolicy, now: float) -> None:
        self.next_start_at = now
        self.is_running = False
        self.is_ready = False
        self.ready_at = now
        self.consecutive_failures = 0
        self.exit_count = 0
        self._policy = policy
        self._started_at = now
        self._last_heartbeat_at = now

    def on_started(self, now: float) -> None:
        """Record the start of the process."""
        self.is_running = True
        self.is_ready = False
        self._started_at = now
        self._last_heartbeat_at = now

    def on_heartbeat(self, now: float, ready: bool = False) -> None:
        """Record a heartbeat; `ready` is True if the worker has reported that it serves."""
        self._last_heartbeat_at = now
        if ready and not self.is_ready:
            self.is_ready = True
            self.ready_at = now

    def on_exited(self, now: float) -> bool:
        """Record an exit.

        Returns:
            Whether to restart the worker, at `next_start_at`; False if it is in a crash loop.
        """
        was_stable = self.is_ready and now - self.ready_at >= self._policy.stable_after_s
        self.is_running = False
        self.is_ready = False
        self.exit_count += 1
        self.consecutive_failures = 1 if was_stable else self.consecutive_failures + 1
        if self.consecutive_failures >= self._policy.crash_loop_threshold:
            return False
        backoff = self._policy.backoff_s * 2.0 ** (self.consecutive_failures - 1)
        self.next_start_at = now + min(self._policy.max_backoff_s, backoff)
        return True

    def on_handed_over(self) -> None:
        """Record that a successor's worker has replaced it; it is restarted only after `restart_now`."""
        self.is_running = False
        self.is_ready = False
        self.next_start_at = math.inf

    def restart_now(self, now: float) -> None:
        """Schedule an immediate start, after the successor failed."""
        self.next_start_at = now
        self.consecutive_failures = 0

    def is_hung(self, now: float) -> bool:
        """Return whether it is running, but its heartbeat or its readiness is overdue."""
        if not self.is_running:
            return False
        if not self.is_ready:
            return now - self._started_at > self._policy.ready_timeout_s
        return now - self._last_heartbeat_at > self._policy.watchdog_timeout_s

    def is_due(self, now: float) -> bool:
        """Return whether to start it now."""
        return not self.is_running and now >= self.next_start_at
