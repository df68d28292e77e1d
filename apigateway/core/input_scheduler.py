"""Divide the event loop's time for clients' input fairly among their connections.

A connection that sends without pause could otherwise keep the loop busy until other clients' requests are
past their deadlines. All frontends share one scheduler. It is a fair queue by virtual time, as in the
completely fair scheduler of Linux: the connection whose input has used the least time goes first. Time that
it was idle makes up for time that it used, and one that was idle for long is ahead by IDLE_CREDIT_S. A new
one starts beside the first that waits, so those that come without end do not hold up the others. Time for
commands that ask for no work, such as PING and invalid ones, counts BULK_COST_FACTOR times, as does that of a
connection that has sent more than is read at once.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable

from apigateway.core.interfaces import Scheduler

# Time for which queued input is handled in one iteration of the event loop.
TURN_TIME_S = 0.003
# Longest time for which one connection's input is handled before the next connection's. It is shorter, at
# least MIN_SLICE_TIME_S, while so many connections wait that a round of slices would exceed ROUND_TIME_S.
SLICE_TIME_S = 0.0005
MIN_SLICE_TIME_S = 0.0001
ROUND_TIME_S = 0.02
# Time by which a connection that was idle is ahead of those that wait.
IDLE_CREDIT_S = 0.01
BULK_COST_FACTOR = 8.0
# Time for which input is handled as it is read, without queueing, between two turns.
IMMEDIATE_TIME_S = 0.001


class ConnectionInput:
    """The received input of one connection.

    Args:
        handle_input: Handles input until a time of the scheduler's clock, at least one command if there is
            any; returns whether input is left.

    Attributes:
        virtual_time_s: The time that its input has used, counted from that of others when it was last idle;
            None before its first input.
        used_s: The time that its input has used since the last report.
        cost_factor: What the time of the slice that was handled last counts, set by `handle_input`.
        is_queued: Whether it waits for its turn. Its connection is not read meanwhile.
        queued_at: Since when it waits, by the scheduler's clock.
        idle_since: Since when it has had no input; infinite while it has some.
    """

    __slots__ = (
        "handle_input",
        "virtual_time_s",
        "used_s",
        "cost_factor",
        "is_queued",
        "queued_at",
        "idle_since",
    )

    def __init__(self, handle_input: Callable[[float], bool]) -> None:
        self.handle_input = handle_input
        self.virtual_time_s: float | None = None
        self.used_s = 0.0
        self.cost_factor = 1.0
        self.is_queued = False
        self.queued_at = 0.0
        self.idle_since = math.inf

    def close(self) -> None:
        """Drop the reference to the connection, which has ended; input that is queued is ignored."""
        self.handle_input = _ignore_input


def _ignore_input(_until: float) -> bool:
    return False


class InputScheduler:
    """Decides which connection's input is handled next, and for how long.

    Args:
        loop: The event loop.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, loop: Scheduler, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self._loop = loop
        self._queue: list[tuple[float, int, ConnectionInput]] = []  # a heap by virtual time
        self._numbers = itertools.count()
        self._virtual_time_s = 0.0  # of the connection that was handled last; the least of all that wait
        self._immediate_time_s = 0.0  # used since the last turn
        self._is_turn_scheduled = False
        self._turn_scheduled_at = 0.0
        self._queued_count = 0  # how often input was queued, since it was last taken
        self._longest_delay_s = 0.0
        self._longest_wait_s = 0.0
        self._current: ConnectionInput | None = None  # whose input is being handled

    @property
    def queue_length(self) -> int:
        """How many connections have input that waits for its turn."""
        return len(self._queue)

    def take_queued_count(self) -> int:
        """Return how often input had to wait for a turn since the last call."""
        count = self._queued_count
        self._queued_count = 0
        return count

    def take_longest_delay_s(self) -> float:
        """Return by how much turns were late at most since the last call."""
        delay_s = self._longest_delay_s
        self._longest_delay_s = 0.0
        return delay_s

    def take_longest_wait_s(self) -> float:
        """Return how long a connection's input waited for its turn at most since the last call.

        Input that still waits counts too, since when it was queued.
        """
        now = self.clock()
        waiting_s = max((now - source.queued_at for _, _, source in self._queue), default=0.0)
        wait_s = max(self._longest_wait_s, waiting_s)
        self._longest_wait_s = 0.0
        return wait_s

    def handle(self, source: ConnectionInput) -> None:
        """Handle a connection's input now, or in a later turn if there is no time now."""
        if self._queue or self._immediate_time_s >= IMMEDIATE_TIME_S:
            self.enqueue(source)
            return
        started_at = self.clock()
        source.virtual_time_s = self._start_time_s(source, started_at)
        slice_ends_at = started_at + SLICE_TIME_S
        ended_at = self._run_slice(source, source.virtual_time_s, started_at, slice_ends_at)
        # Nobody waited, so nobody has to be compensated for this time.
        self._virtual_time_s = max(self._virtual_time_s, source.virtual_time_s)
        self._immediate_time_s += ended_at - started_at
        if self._immediate_time_s >= IMMEDIATE_TIME_S:
            self._schedule_turn()

    def enqueue(self, source: ConnectionInput) -> None:
        """Handle a connection's input in a later turn."""
        if source.is_queued or source is self._current:
            return
        source.is_queued = True
        source.queued_at = self.clock()
        self._queued_count += 1
        source.virtual_time_s = self._start_time_s(source, source.queued_at)
        heapq.heappush(self._queue, (source.virtual_time_s, next(self._numbers), source))
        self._schedule_turn()

    def run_turn(self) -> None:
        """Handle queued input for TURN_TIME_S, least virtual time first."""
        self._is_turn_scheduled = False
        self._immediate_time_s = 0.0
        now = self.clock()
        self._longest_delay_s = max(self._longest_delay_s, now - self._turn_scheduled_at)
        turn_ends_at = now + TURN_TIME_S
        try:
            while self._queue and now < turn_ends_at:
                virtual_time_s, _, source = heapq.heappop(self._queue)
                self._virtual_time_s = max(self._virtual_time_s, virtual_time_s)
                source.is_queued = False
                self._longest_wait_s = max(self._longest_wait_s, now - source.queued_at)
                slice_ends_at = min(now + self._slice_time_s(), turn_ends_at)
                now = self._run_slice(source, virtual_time_s, now, slice_ends_at)
        finally:  # input that raises must not block what is queued behind it
            if self._queue:
                self._schedule_turn()

    def _run_slice(
        self, source: ConnectionInput, virtual_time_s: float, started_at: float, until: float
    ) -> float:
        """Handle a connection's input until a time, queue what is left, and return the time."""
        self._current = source
        try:
            has_more = source.handle_input(until)
        finally:
            self._current = None
        ended_at = self.clock()
        elapsed_s = ended_at - started_at
        source.used_s += elapsed_s
        source.virtual_time_s = virtual_time_s + elapsed_s * source.cost_factor
        source.idle_since = math.inf if has_more else ended_at
        if has_more:
            self.enqueue(source)
        return ended_at

    def _slice_time_s(self) -> float:
        waiting_count = len(self._queue) + 1
        return max(MIN_SLICE_TIME_S, min(SLICE_TIME_S, ROUND_TIME_S / waiting_count))

    def _start_time_s(self, source: ConnectionInput, now: float) -> float:
        if source.virtual_time_s is None:
            return self._virtual_time_s
        idle_s = max(0.0, now - source.idle_since)
        return max(source.virtual_time_s - idle_s, self._virtual_time_s - IDLE_CREDIT_S)

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._turn_scheduled_at = self.clock()
            self._loop.call_soon(self.run_turn)
