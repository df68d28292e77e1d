"""Names of customers, hosts and counts: hashes, the same at all gateways, and which were forgotten."""

from __future__ import annotations

import hashlib
import math

FORGOTTEN_FOR = 30.0  # s that a customer who was forgotten within its windows is asked about first, at least


def stable_hash(*parts: object) -> int:
    text = "\x1f".join(str(p) for p in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


class Forgotten:
    """Which customers were forgotten within their windows, in 16 bytes for each that is known: two filters
    (Bloom), of which the older one is emptied in turn. Harm: a new one that looks like one of them is asked
    about for nothing."""

    def __init__(self, most: int) -> None:
        self.bits = 64 * max(most, 64)
        self.now, self.before = bytearray(self.bits // 8), bytearray(self.bits // 8)
        self.since, self.any = -math.inf, False

    def places(self, name: str) -> tuple[int, ...]:
        known = stable_hash(name)
        return tuple((known >> 21 * n) % self.bits for n in range(3))

    def add(self, now: float, name: str) -> None:
        if now - self.since > FORGOTTEN_FOR:
            self.before, self.now, self.since = self.now, bytearray(self.bits // 8), now
        for place in self.places(name):
            self.now[place >> 3] |= 1 << (place & 7)
        self.any = True

    def has(self, now: float, name: str) -> bool:
        if not self.any or now - self.since > 2 * FORGOTTEN_FOR:
            self.any = False
            return False
        places = self.places(name)
        return any(all(bits[p >> 3] >> (p & 7) & 1 for p in places) for bits in (self.now, self.before))
