"""Token buckets in which the simulation keeps quotas and ceilings exactly, at one place."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_REMEMBERED_TAKES = 256  # enough for readers that see the bucket a few seconds late


class TokenBucket:
    """A bucket that fills at `rate` tokens a second up to `burst`; it starts full.

    Attributes:
        level: The tokens in it at the last refill; below 0 if more was taken than there was.
    """

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.refilled_at = now

    def refill(self, now: float) -> float:
        """Add what has come in since the last refill, and return the level."""
        self.level = min(self.burst, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        return self.level

    def take(self, tokens: float = 1.0) -> None:
        """Take tokens, whether or not they are there."""
        self.level -= tokens


class TakenTokens(NamedTuple):
    """What a bucket held after something was taken from it."""

    at: float
    level: float


class RecordingTokenBucket(TokenBucket):
    """A token bucket that can tell what it held a while ago."""

    __slots__ = ("_takes",)

    def __init__(self, rate: float, burst: float, now: float) -> None:
        super().__init__(rate, burst, now)
        self._takes: deque[TakenTokens] = deque(maxlen=MAX_REMEMBERED_TAKES)

    def take(self, tokens: float = 1.0) -> None:
        """Take tokens, whether or not they are there, and remember it."""
        super().take(tokens)
        self._takes.append(TakenTokens(self.refilled_at, self.level))

    def level_at(self, when: float) -> float:
        """Return what it held then; the burst for times before the first take that it remembers."""
        for taken in reversed(self._takes):
            if taken.at <= when:
                return min(self.burst, taken.level + (when - taken.at) * self.rate)
        return self.burst
