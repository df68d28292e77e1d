"""Slow start: a new endpoint has reduced capacity, and its request rate is limited by tokens."""

from __future__ import annotations


def slow_start_factor(started_at: float, now: float, duration: float, initial: float) -> float:
    """Return the usable share of an endpoint's capacity: `initial` at its start, 1 after `duration` seconds.

    A start time of 0 means that the endpoint started long ago.
    """
    age = max(0.0, now - started_at)
    if started_at <= 0 or age >= duration:
        return 1.0
    return initial + (1 - initial) * age / duration


class SlowStartTokens:
    """A token bucket that limits the requests to an endpoint in slow start."""

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self._tokens = tokens
        self._refilled_at = now

    def refill(self, now: float, rate: float, limit: float) -> float:
        """Add the tokens since the last refill, up to a limit, and return how many there are."""
        self._tokens = min(self._tokens + (now - self._refilled_at) * rate, limit)
        self._refilled_at = now
        return self._tokens

    def take(self) -> None:
        """Use a token. The balance may become negative, as some requests are sent without one."""
        self._tokens -= 1.0
