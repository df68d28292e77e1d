"""How late this gateway's core is, measured, and told to what decides what is turned away (overload.py).

Clients that send without end would keep the loop reading: in one turn it reads for a while only, and what was
read beyond that waits, connection by connection, while answers of hosts are read between. How long commands
wait so is the lag; and by how much the loop comes late to a beat, whatever kept it."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from apigateway.core.interfaces import Scheduler

BEAT = 0.02  # s
QUIET = 2.0  # s without any shedding, after which an overload is over for the log
QUANTUM = 0.002  # s that one turn of the loop reads commands for


log = logging.getLogger(__name__)


class Gate(Protocol):
    """The decision: overload.Gate."""

    shed: int
    passed: int
    lag: float

    @property
    def tight(self) -> bool: ...

    def late(self, now: float, lag: float) -> None: ...

    def turned_away(self, now: float, waited: float, worth: int, customer: str, left: float) -> float: ...

    def told(self, now: float, customer: str, wait: float) -> None: ...


class Door:
    """One for all fronts, asked once about each request, before it is taken. A front that sees `over` lets
    what it has read wait its turn."""

    def __init__(self, gate: Gate, loop: Scheduler, clock: Callable[[], float] = time.monotonic) -> None:
        self.gate, self.loop, self.clock = gate, loop, clock
        self.reading = 0.0  # since when this turn reads commands; 0: it has read none
        self.over = False  # it has read for long enough
        self.waiting: deque[Callable[[], None]] = deque()  # fronts' connections that have more, in order
        self.due = 0.0
        self.beating = self.used = False
        self.since = self.tight_at = 0.0  # of an overload: its begin, 0: there is none; when last shed
        self.before = (0, 0)  # shed and passed, at its begin

    def turned_away(self, worth: int, customer: str, left: float, came: float) -> float:
        """As overload.Gate.turned_away. `came`: when it was read, by `clock`."""
        now, self.used = self.clock(), True
        if not self.reading:
            self.reading = now
            self.loop.call_soon(self.turned)
            if not self.beating:
                self.beating = True
                self.beat_at(now + BEAT)
        elif now - self.reading > QUANTUM:
            self.over = True
        return self.gate.turned_away(now, now - came, worth, customer, left)

    def turned(self) -> None:
        """A new turn of the loop: those that wait go on, one after another."""
        self.reading, self.over = 0.0, False
        try:
            while self.waiting and not self.over:
                self.waiting.popleft()()
        finally:  # one that raises must not leave those behind it unread
            if self.waiting and not self.reading:
                self.loop.call_soon(self.turned)

    def told(self, customer: str, wait: float) -> None:
        if self.gate.tight:
            self.gate.told(self.clock(), customer, wait)

    def beat_at(self, at: float) -> None:
        self.due = at
        self.loop.call_later(at - self.clock(), self.beat)

    def beat(self) -> None:
        now = self.clock()
        self.gate.late(now, max(0.0, now - self.due))
        self.note(now)
        if self.used or self.gate.tight or self.since:
            self.used = False
            self.beat_at(now + BEAT)
        else:  # nobody asked: at rest it costs nothing
            self.beating = False

    def note(self, now: float) -> None:
        """Tells the log when an overload begins and ends."""
        gate = self.gate
        if gate.tight:
            self.tight_at = now
            if not self.since:
                self.since, self.before = now, (gate.shed, gate.passed)
                log.warning(
                    "overload: requests wait %.0f ms for the core; what is worth least is turned away",
                    gate.lag * 1000,
                )
        elif self.since and now - self.tight_at > QUIET:
            log.warning(
                "overload over after %.1f s: %d turned away, %d passed",
                self.tight_at - self.since,
                gate.shed - self.before[0],
                gate.passed - self.before[1],
            )
            self.since = 0.0
