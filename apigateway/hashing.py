"""Hashes of names that are the same at all gateways, and a filter of customers that were evicted."""

from __future__ import annotations

import hashlib
import math

EVICTED_FOR = 30.0  # s for which an evicted customer is remembered at least; twice that at most
BITS_PER_CUSTOMER = 64
MIN_CUSTOMERS = 64
HASH_COUNT = 3
HASH_BITS = 21  # of a 63-bit hash, for each of the three


def stable_hash(*parts: object) -> int:
    """Return a hash of 63 bits that does not depend on the process or the machine."""
    text = "\x1f".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


class RecentlyEvictedFilter:
    """Remembers which customers were evicted within their windows.

    It takes 16 bytes for each customer that may be known at once: two Bloom filters, of which the older is
    emptied in turn. Harm: a new customer that looks like an evicted one is asked about for nothing.
    """

    def __init__(self, max_customers: int) -> None:
        self._bit_count = BITS_PER_CUSTOMER * max(max_customers, MIN_CUSTOMERS)
        self._current = bytearray(self._bit_count // 8)
        self._previous = bytearray(self._bit_count // 8)
        self._rotated_at = -math.inf
        self._has_entries = False

    def add(self, now: float, name: str) -> None:
        """Remember a customer that is evicted now."""
        if now - self._rotated_at > EVICTED_FOR:
            self._previous = self._current
            self._current = bytearray(self._bit_count // 8)
            self._rotated_at = now
        for place in self._places(name):
            self._current[place >> 3] |= 1 << (place & 7)
        self._has_entries = True

    def may_contain(self, now: float, name: str) -> bool:
        """Return whether this customer may have been evicted lately."""
        if not self._has_entries or now - self._rotated_at > 2 * EVICTED_FOR:
            self._has_entries = False
            return False
        places = self._places(name)
        return any(
            all(bits[place >> 3] >> (place & 7) & 1 for place in places)
            for bits in (self._current, self._previous)
        )

    def _places(self, name: str) -> tuple[int, ...]:
        known = stable_hash(name)
        return tuple((known >> HASH_BITS * number) % self._bit_count for number in range(HASH_COUNT))
