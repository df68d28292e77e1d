"""A simulated quota counter: partitions with limited capacity, each of which answers calls in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from apigateway.messages import CounterCallResult
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.scenario import CounterSettings

MAX_QUEUEING_DELAY_S = 2.0  # calls that would wait longer are rejected


class CounterReply(NamedTuple):
    """The answer of the counter: the result of the call and the total of the key."""

    result: CounterCallResult
    total: float


class CounterEntry(NamedTuple):
    """The total of one key and the time at which the counter removes it."""

    total: float
    expires_at: float


NO_ENTRY = CounterEntry(total=0.0, expires_at=0.0)
OVERLOADED = CounterReply(result=CounterCallResult.REJECTED, total=0.0)


class QuotaCounter:
    """Adds to totals by key; each partition serves its calls in order.

    Attributes:
        is_silent: While set, no call is answered; calls that were accepted before are still counted.
        entries: Totals by key.
        call_count: Calls received while not silent.
    """

    def __init__(self, clock: SimulatedClock, settings: CounterSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._partition_free_at = [clock.now] * settings.parts
        self.is_silent = False
        self.entries: dict[int, CounterEntry] = {}
        self.call_count = 0

    def add(self, key: int, amount: float, lifetime: float, reply: Callable[[CounterReply], None]) -> None:
        """Add to a key, and reply with its total or, if the queue of its partition is too long, a rejection.

        Args:
            key: The counter key.
            amount: Amount to add.
            lifetime: Seconds after which a new key is removed.
            reply: Called once with the answer, unless the counter is silent.
        """
        if self.is_silent:
            return
        settings = self._settings
        partition = key % settings.parts
        now = self._clock.now
        start = max(now, self._partition_free_at[partition])
        self.call_count += 1
        if start - now > MAX_QUEUEING_DELAY_S:
            self._clock.call_later(settings.call, reply, OVERLOADED)
            return
        self._partition_free_at[partition] = start + settings.parts / settings.capacity
        self._clock.call_at(start + settings.call, self._count, key, amount, lifetime, reply)

    def _count(self, key: int, amount: float, lifetime: float, reply: Callable[[CounterReply], None]) -> None:
        entry = self.entries.get(key, NO_ENTRY)
        if entry.expires_at <= self._clock.now:
            entry = CounterEntry(total=0.0, expires_at=self._clock.now + lifetime)
        entry = CounterEntry(entry.total + amount, entry.expires_at)
        self.entries[key] = entry
        if not self.is_silent:
            reply(CounterReply(CounterCallResult.OK, entry.total))
