"""Decides whether a plug-in is called now, by its CPU share and its failures in a row. Pure.

Times are in seconds of any clock that does not step back.
"""

from __future__ import annotations

import enum

from apigateway.plugins.interfaces import Budget

_OPEN_TIME_FACTOR = 2  # how much longer the breaker stays open after each failed trial


class CircuitState(enum.StrEnum):
    """The values are those of statuses."""

    CLOSED = "in"
    OPEN = "out"
    HALF_OPEN = "on trial"  # one call decides


# Globals, for they are needed at each call: a member costs more to look up on its class.
_OPEN = CircuitState.OPEN
_HALF_OPEN = CircuitState.HALF_OPEN


class SkipReason(enum.StrEnum):
    """Why a plug-in was not called. The values are those of statuses."""

    CIRCUIT_OPEN = "out"
    CPU_SHARE = "share"
    CHAIN_TIME = "chain"  # those before it took the time that all plug-ins together have for a request


class CpuShare:
    """A token bucket of CPU seconds, which a long call may overdraw.

    Attributes:
        credit: CPU seconds left; below 0 after a call that took more than there were.
    """

    def __init__(self, share: float, window: float, now: float) -> None:
        """Start full: `share` of a core over `window` seconds."""
        self.share = share
        self.capacity = share * window
        self.credit = self.capacity
        self._updated_at = now

    def refill(self, now: float) -> None:
        """Add what was gained since the last call."""
        elapsed = max(0.0, now - self._updated_at)
        self.credit = min(self.capacity, self.credit + elapsed * self.share)
        self._updated_at = max(self._updated_at, now)

    def spend(self, now: float, seconds: float) -> None:
        """Take what a call used."""
        self.refill(now)
        self.credit -= seconds

    def time_until_available(self) -> float:
        """Return the seconds until there is credit again, 0 where none is ever gained."""
        return max(0.0, -self.credit / self.share) if self.share else 0.0


class CircuitBreaker:
    """Takes a plug-in out of service that fails too often or uses more than its CPU share.

    Attributes:
        open_time: How long the breaker is open the next time.
        open_until: When an open breaker lets a trial call through.
    """

    def __init__(self, budget: Budget, now: float) -> None:
        """Start closed, with the whole CPU share."""
        self.budget = budget
        self.cpu_share = CpuShare(budget.cpu_share, budget.cpu_share_window, now)
        self.state = CircuitState.CLOSED
        self.open_time = budget.open_time
        self.open_until = 0.0
        self._consecutive_failures = 0

    def check(self, now: float) -> SkipReason | None:
        """Return why the plug-in must not be called now, None if it may be.

        A breaker whose open time is over becomes half open by this call.
        """
        if self.state is _OPEN:
            if now < self.open_until:
                return SkipReason.CIRCUIT_OPEN
            self.state = _HALF_OPEN
        if self.cpu_share.credit > 0:  # the usual case: what was gained since changes nothing
            return None
        self.cpu_share.refill(now)
        return None if self.cpu_share.credit > 0 else SkipReason.CPU_SHARE

    def record_call(self, now: float, cpu_seconds: float, failed: bool) -> None:
        """Account for a call that was made. What it used past its share it has to wait for."""
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
        """Return the seconds until the plug-in may be called again, 0 if it may now."""
        if self.state is _OPEN and now < self.open_until:
            return self.open_until - now
        return self.cpu_share.time_until_available()
