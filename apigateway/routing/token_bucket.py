"""An equal share of a token bucket, in which units can be reserved before they are used."""

from __future__ import annotations

import math


class TokenBucketShare:
    """One of `share_count` equal shares of a bucket of `burst` units that refills at `rate` per second.

    A rate of 0 means no limit. Reserved units are taken from `tokens` at once, and are used later or never.
    The units that are actually used are limited by a second bucket, which contains `tokens + reserved`.
    `reserved` shrinks as this second bucket fills up, and is below 0 after reserved units were used late.
    """

    __slots__ = ("_refilled_at", "burst", "rate", "reserved", "share_count", "tokens", "waiting_units")

    def __init__(self, rate: float, burst: float, share_count: int, tokens: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.share_count = share_count
        self.tokens = tokens
        self.reserved = 0.0
        self.waiting_units = 0.0  # units of the requests that wait for the bucket to refill
        self._refilled_at = now

    @property
    def capacity(self) -> float:
        """Return the units of a full share."""
        return self.burst / self.share_count

    @property
    def fill_time(self) -> float:
        """Return the seconds from empty to full; 0 without a limit."""
        return self.burst / self.rate if self.rate else 0.0

    def set_share_count(self, share_count: int) -> None:
        """Set the number of shares; units beyond the new capacity are lost."""
        self.share_count = share_count
        self.tokens = min(self.tokens, self.capacity)
        self.reserved = min(self.reserved, self.capacity - self.tokens)

    def change_limits(self, rate: float, burst: float, now: float) -> None:
        """Continue with another rate and burst; units that are used and not refilled yet stay used."""
        self.available(now)
        used_units = self.capacity - self.tokens
        self.rate = rate
        self.burst = burst
        self.tokens = self.capacity - used_units

    def available(self, now: float, from_reserved: bool = False) -> float:
        """Return the units that may be taken now; `from_reserved`: by a request that has reserved units."""
        if not self.rate:
            return math.inf
        self.add(max(0.0, now - self._refilled_at) * self.rate / self.share_count)
        self._refilled_at = max(now, self._refilled_at)
        if not self.reserved:
            return self.tokens
        return self.tokens + (self.reserved if from_reserved else min(0.0, self.reserved))

    def wait_time(self, now: float, units: float, from_reserved: bool) -> float:
        """Return the seconds until units are available in addition to `waiting_units`; inf: never."""
        missing = units + self.waiting_units - self.available(now, from_reserved)
        if units > self.capacity:
            return math.inf if missing > 0 else 0.0
        return missing * self.share_count / self.rate if missing > 0 else 0.0

    def add(self, units: float) -> None:
        """Add units, up to the capacity."""
        tokens = min(self.capacity, self.tokens + units)
        if self.reserved:
            self.reserved = min(self.capacity, self.tokens + self.reserved + units) - tokens
        self.tokens = tokens

    def charge(self, units: float, is_reserved: bool, is_reservation: bool) -> None:
        """Use units, use units that were reserved before, or reserve units for later use."""
        if is_reserved:
            self.take_reserved(units)
        elif is_reservation:
            self.reserve(units)
        else:
            self.take(units)

    def take(self, units: float) -> None:
        """Use units; the balance may become negative."""
        self.tokens -= units

    def reserve(self, units: float) -> None:
        """Reserve units for later use."""
        self.tokens -= units
        self.reserved += units

    def take_reserved(self, units: float) -> None:
        """Use units that were reserved before."""
        self.reserved -= units

    def refund(self, units: float, is_reservation: bool) -> None:
        """Return units that were taken or reserved and not needed."""
        if is_reservation:
            self.cancel_reservation(units)
        else:
            self.add(units)

    def cancel_reservation(self, units: float) -> None:
        """Return reserved units that were not used; the second bucket was never charged with them."""
        unreserved_tokens = self.tokens + self.reserved
        self.add(units)
        self.reserved = unreserved_tokens - self.tokens
