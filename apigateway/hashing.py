"""Hashes that are the same on all gateways, and a filter that remembers recently evicted customers."""

from __future__ import annotations

import hashlib
import math

EVICTION_MEMORY_S = 30.0  # shortest time for which an evicted customer is remembered; the longest is twice it
BITS_PER_CUSTOMER = 64
MIN_CUSTOMERS = 64
HASH_COUNT = 3
BITS_PER_HASH = 21  # the 63-bit hash is split into three


def stable_hash(*parts: object) -> int:
    """Return a 63-bit hash that is the same in every process and on every machine."""
    text = "\x1f".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


class RecentlyEvictedFilter:
    """Remembers which customers were evicted recently, possibly within their current quota windows.

    It consists of two Bloom filters; the older one is replaced by an empty one in turn. Together they take 16
    bytes for each customer that the gateway can hold. A false positive costs one unnecessary call to the
    counter.
    """

    def __init__(self, max_customers: int) -> None:
        self._bit_count = BITS_PER_CUSTOMER * max(max_customers, MIN_CUSTOMERS)
        self._current = bytearray(self._bit_count // 8)
        self._previous = bytearray(self._bit_count // 8)
        self._rotated_at = -math.inf
        self._has_entries = False

    def add(self, now: float, name: str) -> None:
        """Add a customer that is being evicted."""
        if now - self._rotated_at > EVICTION_MEMORY_S:
            self._previous = self._current
            self._current = bytearray(self._bit_count // 8)
            self._rotated_at = now
        for position in self._bit_positions(name):
            self._current[position >> 3] |= 1 << (position & 7)
        self._has_entries = True

    def may_contain(self, now: float, name: str) -> bool:
        """Return whether a customer may have been evicted recently."""
        if not self._has_entries or now - self._rotated_at > 2 * EVICTION_MEMORY_S:
            self._has_entries = False
            return False
        positions = self._bit_positions(name)
        return any(
            all(bits[position >> 3] >> (position & 7) & 1 for position in positions)
            for bits in (self._current, self._previous)
        )

    def _bit_positions(self, name: str) -> tuple[int, ...]:
        name_hash = stable_hash(name)
        return tuple((name_hash >> BITS_PER_HASH * index) % self._bit_count for index in range(HASH_COUNT))
