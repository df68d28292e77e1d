"""What a plug-in keeps between calls, each bounded: keys with values, counters, and its ration of the log.
Pure."""

from __future__ import annotations

import math

MOST_COUNTERS = 64
MOST_NAME = 64  # characters of a counter's name
KEY_COST = 64  # bytes that a key costs beside itself and its value


class Keys:
    """`most` bytes of keys and values together; what does not fit is not taken."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.values = most, 0, dict[bytes, bytes]()

    def get(self, key: bytes) -> bytes | None:
        return self.values.get(key)

    def put(self, key: bytes, value: bytes) -> bool:
        """An empty value takes the key away."""
        old = self.values.get(key)
        held = self.held - (len(key) + len(old) + KEY_COST if old is not None else 0)
        if not value:
            self.values.pop(key, None)
            self.held = held
            return True
        if held + len(key) + len(value) + KEY_COST > self.most:
            return False
        self.values[key] = value
        self.held = held + len(key) + len(value) + KEY_COST
        return True


class Counters:
    def __init__(self) -> None:
        self.values: dict[str, float] = {}
        self.dropped = 0

    def add(self, name: str, amount: float) -> bool:
        known = name in self.values
        room = known or (
            len(self.values) < MOST_COUNTERS and 0 < len(name) <= MOST_NAME and name.isprintable()
        )
        if not room or not math.isfinite(amount):
            self.dropped += 1
            return False
        self.values[name] = self.values.get(name, 0.0) + amount
        return True


class Ration:
    """`rate` lines a second, as many at once as come in 5 s. `now` in seconds."""

    def __init__(self, rate: float) -> None:
        self.rate, self.credit, self.at, self.dropped = rate, max(1.0, 5 * rate) if rate else 0.0, 0.0, 0

    def may(self, now: float) -> bool:
        if self.at:
            most = max(1.0, 5 * self.rate) if self.rate else 0.0
            self.credit = min(most, self.credit + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.credit < 1:
            self.dropped += 1
            return False
        self.credit -= 1
        return True
