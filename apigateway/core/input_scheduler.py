"""Divide the event loop's time for clients' input fairly among their connections.

A connection that sends without pause could otherwise keep the loop busy until other clients' requests are
past their deadlines. All frontends share one scheduler, which handles input in turns, a slice of each
connection's at a time, in the order of a `FairQueue`: its module tells for how long input may wait. Time for
commands that ask for no work, such as PING and invalid ones, counts BULK_COST_FACTOR times, as does that of a
connection that has sent more than is read at once.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from apigateway.core.fair_queue import MAX_CREDIT_S, FairQueue, Flow
from apigateway.core.interfaces import Scheduler

# Time for which queued input is handled in one iteration of the event loop.
TURN_TIME_S = 0.003
# Longest time for which one connection's input is handled before the next connection's. It is shorter, at
# least MIN_SLICE_TIME_S, while so many connections wait that a round of slices would exceed ROUND_TIME_S.
SLICE_TIME_S = 0.0005
MIN_SLICE_TIME_S = 0.0001
ROUND_TIME_S = 0.02
# Time for which input of a connection that was idle goes before that of others.
IDLE_CREDIT_S = MAX_CREDIT_S
BULK_COST_FACTOR = 8.0
# Time for which input is handled as it is read, without queueing, between two turns.
IMMEDIATE_TIME_S = 0.001


class ConnectionInput(Flow):
    """The received input of one connection.

    While it is queued, its connection is not read. `handle_input` sets its cost factor.

    Args:
        handle_input: Handles input until a time of the scheduler's clock, at least one command if there is
            any; returns whether input is left.

    Attributes:
        used_s: The time that its input has used since the last report.
    """

    __slots__ = ("handle_input", "used_s")

    def __init__(self, handle_input: Callable[[float], bool]) -> None:
        super().__init__()
        self.handle_input = handle_input
        self.used_s = 0.0

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
        self._queue: FairQueue[ConnectionInput] = FairQueue()
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
        waiting_s = max((now - source.queued_at for source in self._queue), default=0.0)
        wait_s = max(self._longest_wait_s, waiting_s)
        self._longest_wait_s = 0.0
        return wait_s

    def handle(self, source: ConnectionInput) -> None:
        """Handle a connection's input now, or in a later turn if there is no time now."""
        if self._queue or self._immediate_time_s >= IMMEDIATE_TIME_S:
            self.enqueue(source)
            return
        started_at = self.clock()
        ended_at = self._run_slice(source, started_at, started_at + SLICE_TIME_S, is_taken=False)
        self._immediate_time_s += ended_at - started_at
        if self._immediate_time_s >= IMMEDIATE_TIME_S:
            self._schedule_turn()

    def enqueue(self, source: ConnectionInput) -> None:
        """Handle a connection's input in a later turn."""
        if source.is_queued or source is self._current:
            return
        self._push(source, is_returning=True)

    def _push(self, source: ConnectionInput, is_returning: bool) -> None:
        self._queued_count += 1
        self._queue.push(source, self.clock(), self._slice_time_s(), is_returning)
        self._schedule_turn()

    def run_turn(self) -> None:
        """Handle queued input for TURN_TIME_S."""
        self._is_turn_scheduled = False
        self._immediate_time_s = 0.0
        now = self.clock()
        self._longest_delay_s = max(self._longest_delay_s, now - self._turn_scheduled_at)
        turn_ends_at = now + TURN_TIME_S
        try:
            while self._queue and now < turn_ends_at:
                source = self._queue.pop(now)
                self._longest_wait_s = max(self._longest_wait_s, now - source.queued_at)
                slice_time_s = min(source.quantum_s, self._slice_time_s())
                slice_ends_at = min(now + slice_time_s, turn_ends_at)
                now = self._run_slice(source, now, slice_ends_at, is_taken=True)
        finally:  # input that raises must not block what is queued behind it
            if self._queue:
                self._schedule_turn()

    def _run_slice(self, source: ConnectionInput, started_at: float, until: float, is_taken: bool) -> float:
        """Handle a connection's input until a time, queue what is left, and return the time.

        It is charged if it was taken from the queue: others may have waited for it.
        """
        self._current = source
        try:
            has_more = source.handle_input(until)
        finally:
            self._current = None
        ended_at = self.clock()
        source.used_s += ended_at - started_at
        if is_taken:
            self._queue.charge(source, ended_at - started_at)
        if has_more:
            self._push(source, is_returning=not is_taken)
        else:
            self._queue.on_idle(source, ended_at)
        return ended_at

    def _slice_time_s(self) -> float:
        waiting_count = len(self._queue) + 1
        return max(MIN_SLICE_TIME_S, min(SLICE_TIME_S, ROUND_TIME_S / waiting_count))

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._turn_scheduled_at = self.clock()
            self._loop.call_soon(self.run_turn)
