"""Slow start: a fresh endpoint bears a part of its load, and gets requests by tokens that are saved up."""

from __future__ import annotations


def slow_start_factor(started_at: float, now: float, duration: float, initial: float) -> float:
    """Return the part of its capacity that an endpoint has: `initial` at its start, all after `duration` s.

    A start at 0 was long ago.
    """
    age = max(0.0, now - started_at)
    if started_at <= 0 or age >= duration:
        return 1.0
    return initial + (1 - initial) * age / duration


class SlowStartTokens:
    """Tokens for requests that an endpoint may get."""

    __slots__ = ("_filled_at", "_tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self._tokens = tokens
        self._filled_at = now

    def refill(self, now: float, rate: float, limit: float) -> float:
        """Add tokens by the rate since the last refill, up to a limit, and return how many there are."""
        self._tokens = min(self._tokens + (now - self._filled_at) * rate, limit)
        self._filled_at = now
        return self._tokens

    def take(self) -> None:
        """Use a token; there may be none, as for what is sent all the same."""
        self._tokens -= 1.0
