"""One even part of a token bucket, with units that are reserved before they are used."""

from __future__ import annotations

import math


class TokenBucketShare:
    """One of `parts` even parts of a bucket that holds `burst` units and fills by `rate` units a second.

    Units that are reserved leave `tokens` at once and are used later, or never. What is used is limited by a
    bucket of its own: `reserved` says by how much it is fuller than `tokens`, as far as it has not filled up
    meanwhile; below 0 where reserved units were used late. A rate of 0 means no limit.
    """

    __slots__ = ("_filled_at", "burst", "share_count", "waiting_units", "rate", "reserved", "tokens")

    def __init__(self, rate: float, burst: float, share_count: int, tokens: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.share_count = share_count
        self.tokens = tokens
        self.reserved = 0.0
        self.waiting_units = 0.0  # units of those that wait for the bucket to fill
        self._filled_at = now

    @property
    def capacity(self) -> float:
        """Units that this part holds when it is full."""
        return self.burst / self.share_count

    @property
    def fill_time(self) -> float:
        """Seconds from empty to full; 0 without a limit."""
        return self.burst / self.rate if self.rate else 0.0

    def set_share_count(self, share_count: int) -> None:
        """Make this part smaller: what it holds beyond its new capacity is lost."""
        self.share_count = share_count
        self.tokens = min(self.tokens, self.capacity)
        self.reserved = min(self.reserved, self.capacity - self.tokens)

    def available(self, now: float, from_reserved: bool = False) -> float:
        """Return the units that may be taken now; `from_reserved`: by one that has reserved them before."""
        if not self.rate:
            return math.inf
        self.add(max(0.0, now - self._filled_at) * self.rate / self.share_count)
        self._filled_at = max(now, self._filled_at)
        if not self.reserved:
            return self.tokens
        return self.tokens + (self.reserved if from_reserved else min(0.0, self.reserved))

    def wait_time(self, now: float, units: float, from_reserved: bool) -> float:
        """Return the seconds until units are available behind those waiting_units; inf: never."""
        lack = units + self.waiting_units - self.available(now, from_reserved)
        if units > self.capacity:
            return math.inf if lack > 0 else 0.0
        return lack * self.share_count / self.rate if lack > 0 else 0.0

    def add(self, units: float) -> None:
        """Add units, up to the capacity."""
        tokens = min(self.capacity, self.tokens + units)
        if self.reserved:
            self.reserved = min(self.capacity, self.tokens + self.reserved + units) - tokens
        self.tokens = tokens

    def charge(self, units: float, is_reserved: bool, is_reservation: bool) -> None:
        """Use units, or those that were reserved for this use before, or reserve them for a later one."""
        if is_reserved:
            self.take_reserved(units)
        elif is_reservation:
            self.reserve(units)
        else:
            self.take(units)

    def take(self, units: float) -> None:
        """Use units; more than there are leave a debt."""
        self.tokens -= units

    def reserve(self, units: float) -> None:
        """Set units aside for a later use."""
        self.tokens -= units
        self.reserved += units

    def take_reserved(self, units: float) -> None:
        """Use units that were reserved before."""
        self.reserved -= units

    def refund(self, units: float, is_reservation: bool) -> None:
        """Add units that were used, or reserved, in vain."""
        if is_reservation:
            self.cancel_reservation(units)
        else:
            self.add(units)

    def cancel_reservation(self, units: float) -> None:
        """Add units that were reserved and not used: what is used was never charged with them."""
        used = self.tokens + self.reserved
        self.add(units)
        self.reserved = used - self.tokens
