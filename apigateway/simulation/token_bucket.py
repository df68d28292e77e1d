"""Token buckets for the exact quotas and ceilings of a simulation."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_RECORDED_LEVELS = 256  # enough to look back a few seconds


class TokenBucket:
    """A bucket that is refilled at `rate` tokens per second up to `burst`, and starts full.

    Attributes:
        level: Tokens at the last refill; below 0 if more were taken than available.
    """

    __slots__ = ("burst", "level", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.refilled_at = now

    def refill(self, now: float) -> float:
        """Add the tokens since the last refill, and return the level."""
        self.level = min(self.burst, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        return self.level

    def take(self, tokens: float = 1.0) -> None:
        """Take tokens, even if not enough are available."""
        self.level -= tokens


class RecordedLevel(NamedTuple):
    """The level of a bucket after tokens were taken."""

    recorded_at: float
    level: float


class RecordingTokenBucket(TokenBucket):
    """A token bucket that records its past levels."""

    __slots__ = ("_levels",)

    def __init__(self, rate: float, burst: float, now: float) -> None:
        super().__init__(rate, burst, now)
        self._levels: deque[RecordedLevel] = deque(maxlen=MAX_RECORDED_LEVELS)

    def take(self, tokens: float = 1.0) -> None:
        """Take tokens, even if not enough are available, and record the level."""
        super().take(tokens)
        self._levels.append(RecordedLevel(self.refilled_at, self.level))

    def level_at(self, when: float) -> float:
        """Return the level at a past time; `burst` for times before the first recorded level."""
        for recorded in reversed(self._levels):
            if recorded.recorded_at <= when:
                return min(self.burst, recorded.level + (when - recorded.recorded_at) * self.rate)
        return self.burst
