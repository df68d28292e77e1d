"""The quota counter as a simulated service: partitions, each with a capacity, answering in turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from apigateway.messages import CounterCallResult
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.scenario import CounterSettings

MAX_QUEUEING_DELAY_S = 2.0  # calls that would wait longer are rejected


class CounterReply(NamedTuple):
    """What the counter answers: the result of the call and the key's total."""

    result: CounterCallResult
    total: float


class CounterEntry(NamedTuple):
    """The total of one key and the time at which the counter drops it."""

    total: float
    expires_at: float


NO_ENTRY = CounterEntry(total=0.0, expires_at=0.0)
OVERLOADED = CounterReply(result=CounterCallResult.REJECTED, total=0.0)


class QuotaCounter:
    """Adds to totals by key; a call waits until its partition has served those before it.

    Attributes:
        is_silent: While set, calls are still counted but none is answered.
        entries: The totals by key.
        calls: Calls that have reached it.
    """

    def __init__(self, clock: SimulatedClock, settings: CounterSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._free_at = [clock.now] * settings.parts
        self.is_silent = False
        self.entries: dict[int, CounterEntry] = {}
        self.calls = 0

    def add(self, key: int, amount: float, lifetime: float, reply: Callable[[CounterReply], None]) -> None:
        """Add to a key and reply with its total, or with FULL if the partition's queue is too long.

        Args:
            key: The counter key.
            amount: What is added.
            lifetime: Seconds after which a new key is dropped.
            reply: Called once with the answer, unless the counter is silent.
        """
        if self.is_silent:
            return
        settings = self._settings
        partition = key % settings.parts
        now = self._clock.now
        start = max(now, self._free_at[partition])
        self.calls += 1
        if start - now > MAX_QUEUEING_DELAY_S:
            self._clock.call_later(settings.call, reply, OVERLOADED)
            return
        self._free_at[partition] = start + settings.parts / settings.capacity
        self._clock.call_at(start + settings.call, self._count, key, amount, lifetime, reply)

    def _count(self, key: int, amount: float, lifetime: float, reply: Callable[[CounterReply], None]) -> None:
        entry = self.entries.get(key, NO_ENTRY)
        if entry.expires_at <= self._clock.now:
            entry = CounterEntry(total=0.0, expires_at=self._clock.now + lifetime)
        entry = CounterEntry(entry.total + amount, entry.expires_at)
        self.entries[key] = entry
        if not self.is_silent:
            reply(CounterReply(CounterCallResult.OK, entry.total))
