"""Decides by CPU use and consecutive failures whether a plug-in may be called; without I/O.

Times are in seconds of a monotonic clock.
"""

from __future__ import annotations

import enum

from apigateway.plugins.interfaces import Budget

_OPEN_TIME_FACTOR = 2  # by which each failed trial call multiplies the open time


class CircuitState(enum.StrEnum):
    """State of a circuit breaker. The values are part of status reports."""

    CLOSED = "in"
    OPEN = "out"
    HALF_OPEN = "on trial"  # the result of one trial call closes or opens the breaker


# Module globals, because they are used at each call and an enum member is slower to look up on its class.
_OPEN = CircuitState.OPEN
_HALF_OPEN = CircuitState.HALF_OPEN


class SkipReason(enum.StrEnum):
    """Why a plug-in was not called. The values are part of status reports."""

    CIRCUIT_OPEN = "out"
    CPU_SHARE = "share"
    CHAIN_TIME = "chain"  # earlier plug-ins used up the time that all plug-ins together have for a request


class CpuShare:
    """A token bucket of CPU seconds, which a long call may overdraw.

    Attributes:
        share: CPU seconds that are added per second.
        capacity: Largest credit in CPU seconds.
        credit: CPU seconds left; negative after a call that used more than were left.
    """

    def __init__(self, share: float, window: float, now: float) -> None:
        """Start with the full capacity, which is `share` of a core over `window` seconds."""
        self.share = share
        self.capacity = share * window
        self.credit = self.capacity
        self._updated_at = now

    def refill(self, now: float) -> None:
        """Add the CPU seconds gained since the last refill."""
        elapsed = max(0.0, now - self._updated_at)
        self.credit = min(self.capacity, self.credit + elapsed * self.share)
        self._updated_at = max(self._updated_at, now)

    def spend(self, now: float, seconds: float) -> None:
        """Deduct the CPU seconds that a call used."""
        self.refill(now)
        self.credit -= seconds

    def time_until_available(self) -> float:
        """Return the seconds until the credit is no longer negative; 0 if the share is 0."""
        return max(0.0, -self.credit / self.share) if self.share else 0.0


class CircuitBreaker:
    """Blocks calls of a plug-in that fails repeatedly or exceeds its CPU share.

    Attributes:
        budget: Budget of the plug-in.
        cpu_share: CPU seconds that the plug-in may use.
        state: Current state.
        open_time: Seconds for which the breaker opens the next time.
        open_until: Time at which an open breaker allows a trial call.
    """

    def __init__(self, budget: Budget, now: float) -> None:
        """Start closed, with the full CPU share."""
        self.budget = budget
        self.cpu_share = CpuShare(budget.cpu_share, budget.cpu_share_window, now)
        self.state = CircuitState.CLOSED
        self.open_time = budget.open_time
        self.open_until = 0.0
        self._consecutive_failures = 0

    def check(self, now: float) -> SkipReason | None:
        """Return why the plug-in must not be called now; None if it may be called.

        If the open time has passed, this call makes the breaker half open.
        """
        if self.state is _OPEN:
            if now < self.open_until:
                return SkipReason.CIRCUIT_OPEN
            self.state = _HALF_OPEN
        if self.cpu_share.credit > 0:  # the usual case, in which a refill would not change the result
            return None
        self.cpu_share.refill(now)
        return None if self.cpu_share.credit > 0 else SkipReason.CPU_SHARE

    def record_call(self, now: float, cpu_seconds: float, failed: bool) -> None:
        """Record a call. CPU time beyond the share delays the next call."""
        self.cpu_share.spend(now, cpu_seconds)
        if failed:
            self._record_failure(now)
        else:
            self._record_success()

    def _record_success(self) -> None:
        if self.state is _HALF_OPEN:
            self.state = CircuitState.CLOSED
            self.open_time = self.budget.open_time
        self._consecutive_failures = 0

    def _record_failure(self, now: float) -> None:
        self._consecutive_failures += 1
        trial_failed = self.state is _HALF_OPEN
        if trial_failed:
            self.open_time = min(_OPEN_TIME_FACTOR * self.open_time, self.budget.max_open_time)
        if trial_failed or self._consecutive_failures >= self.budget.failure_threshold:
            self.state = _OPEN
            self.open_until = now + self.open_time
            self._consecutive_failures = 0

    def time_until_available(self, now: float) -> float:
        """Return the seconds until the plug-in may be called again; 0 if it may be called now."""
        if self.state is _OPEN and now < self.open_until:
            return self.open_until - now
        return self.cpu_share.time_until_available()
