"""State that a plug-in keeps between calls, limited in size: key-value store, counters, log rate; no I/O."""

from __future__ import annotations

import math

MAX_COUNTERS = 64
MAX_COUNTER_NAME_LENGTH = 64  # characters
KEY_OVERHEAD_BYTES = 64  # charged for each key in addition to its own length and that of its value

_LOG_BURST_S = 5  # a burst may have the lines of this many seconds
_MIN_LOG_BURST_LINES = 1.0  # if the rate is not 0


class KeyValueStore:
    """A key-value store of at most `max_bytes`; a value that does not fit is not stored.

    Attributes:
        used_bytes: Total size of keys, values and overheads.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.values: dict[bytes, bytes] = {}

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value; None if there is none."""
        return self.values.get(key)

    def put(self, key: bytes, value: bytes) -> bool:
        """Set a key's value, or remove the key if the value is empty; return whether it fits."""
        old_value = self.values.get(key)
        used_by_others = self.used_bytes
        if old_value is not None:
            used_by_others -= len(key) + len(old_value) + KEY_OVERHEAD_BYTES
        if not value:
            self.values.pop(key, None)
            self.used_bytes = used_by_others
            return True
        used_bytes = used_by_others + len(key) + len(value) + KEY_OVERHEAD_BYTES
        if used_bytes > self.max_bytes:
            return False
        self.values[key] = value
        self.used_bytes = used_bytes
        return True


class Counters:
    """A plug-in's own counters by name, at most MAX_COUNTERS."""

    def __init__(self) -> None:
        self.values: dict[str, float] = {}
        self.dropped = 0  # additions that were not counted

    def add(self, name: str, amount: float) -> bool:
        """Add to a counter, which starts at 0; return whether the addition was counted."""
        if not (name in self.values or self._can_create(name)) or not math.isfinite(amount):
            self.dropped += 1
            return False
        self.values[name] = self.values.get(name, 0.0) + amount
        return True

    def _can_create(self, name: str) -> bool:
        is_valid_name = 0 < len(name) <= MAX_COUNTER_NAME_LENGTH and name.isprintable()
        return len(self.values) < MAX_COUNTERS and is_valid_name


class LogRateLimiter:
    """A token bucket of log lines, whose bursts are limited to the lines of five seconds."""

    def __init__(self, lines_per_second: float) -> None:
        self.rate = lines_per_second
        self.capacity = max(_MIN_LOG_BURST_LINES, _LOG_BURST_S * self.rate) if self.rate else 0.0
        self.dropped = 0
        self._tokens = self.capacity
        self._updated_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be logged at time `now`, in seconds, and count it if it may not."""
        if self._updated_at:
            elapsed = max(0.0, now - self._updated_at)
            self._tokens = min(self.capacity, self._tokens + elapsed * self.rate)
        self._updated_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True
