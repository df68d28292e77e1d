"""A fair queue of flows by virtual time, with a priority queue that may use half of the time.

It is self-clocked fair queueing (Golestani, 1994) with the policed priority queue of low-latency queueing:

- Every waiting flow has a start tag, and the flow with the least tag is next. Virtual time is the tag of the
  flow that was taken last. A flow that begins to wait is tagged a quantum after it, or with the end of the
  service that it was charged for, whichever is later. So each time flows that come or return are served,
  virtual time moves on by a quantum at least, and no number of them holds up a flow that waits.
- A flow has MAX_CREDIT_S of credit when it is idle for the first time after a service that was charged once.
  It earns more while it is idle: the virtual time that passes, or CREDIT_RATE of the real time if that is
  more. A waiting flow with credit for a quantum also waits in the priority queue, most credit first, and its
  service there is paid from credit. The priority queue may use PRIORITY_BURST_S, and then as much time as the
  others are given meanwhile.

Bound of the wait: when at most n other flows wait at a time, they are given at most
2 * n * (d + q + c * (1 + d / r)) + PRIORITY_BURST_S + q + c seconds before a flow that waits is taken. Here d
is the most that a service to the flow was charged, but at least its quantum; q and r are the longest and the
shortest quantum, and c is by how much a service exceeds its quantum at most. A service is charged for at most
MAX_CHARGED_QUANTA quanta, times its cost factor, since a pause of the process may fall into it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

# Most credit of a flow that was idle.
MAX_CREDIT_S = 0.01
# Share of real time that an idle flow earns as credit at least, however many wait.
CREDIT_RATE = 0.02
# Time that the priority queue may use while other flows wait and are given none.
PRIORITY_BURST_S = 0.01
# Quanta for which a service is charged at most, however long it takes.
MAX_CHARGED_QUANTA = 4.0
# Size of a heap below which entries of flows that no longer wait there are left in it.
MIN_HEAP_SIZE = 64


class Flow:
    """One sender's place in a `FairQueue`.

    Attributes:
        is_queued: Whether it waits.
        queued_at: Since when it waits, by the clock of the queue's owner.
        quantum_s: The time that it may be given when it is taken.
        credit_s: The time that it may be given by priority.
        cost_factor: How many times a service to it is charged.
    """

    __slots__ = (
        "is_queued",
        "queued_at",
        "quantum_s",
        "credit_s",
        "cost_factor",
        "_start_tag_s",
        "_finish_tag_s",
        "_idle_since_s",
        "_idle_since_tag_s",
        "_is_established",
        "_entry_number",
    )

    def __init__(self) -> None:
        self.is_queued = False
        self.queued_at = 0.0
        self.quantum_s = 0.0
        self.credit_s = 0.0
        self.cost_factor = 1.0
        self._start_tag_s = 0.0
        self._finish_tag_s = 0.0
        self._idle_since_s: float | None = None  # None while it waits or is served, and before that
        self._idle_since_tag_s = 0.0  # the virtual time then
        self._is_established = False  # it has been idle after a service that was charged once
        self._entry_number = 0  # of its latest entries in the heaps

    def add_credit(self, now: float, virtual_time_s: float) -> None:
        """Add what the flow has earned while it was idle to its credit."""
        if self._idle_since_s is None:
            return
        earned_s = max(virtual_time_s - self._idle_since_tag_s, CREDIT_RATE * (now - self._idle_since_s))
        self.credit_s = min(MAX_CREDIT_S, self.credit_s + earned_s)
        self._idle_since_s = None

    def start(self, earliest_tag_s: float, entry_number: int) -> None:
        """Set the tag of the next service, no earlier than a tag and the end of the last service."""
        self._start_tag_s = max(earliest_tag_s, self._finish_tag_s)
        self._entry_number = entry_number

    @property
    def has_priority(self) -> bool:
        """Whether its credit pays for a quantum."""
        return self.credit_s >= self.quantum_s * self.cost_factor

    def charge_tag(self, cost_s: float) -> None:
        """Move the tag on by a service's cost."""
        self._finish_tag_s = self._start_tag_s + cost_s

    def charge_credit(self, cost_s: float, virtual_time_s: float) -> None:
        """Pay a service from credit. What credit does not cover counts from the virtual time."""
        unpaid_s = max(0.0, cost_s - self.credit_s)
        self.credit_s -= cost_s - unpaid_s
        self._finish_tag_s = max(self._start_tag_s, virtual_time_s + unpaid_s)

    def on_idle(self, now: float, virtual_time_s: float) -> None:
        """Record that the flow has nothing to wait for; see the module for its first credit."""
        self._idle_since_s = now
        self._idle_since_tag_s = virtual_time_s
        if not self._is_established and self.cost_factor <= 1.0:
            self._is_established = True
            self.credit_s = MAX_CREDIT_S


AnyFlow = TypeVar("AnyFlow", bound=Flow)


class _FlowHeap(Generic[AnyFlow]):
    """Waiting flows by a key; entries of flows that no longer wait are skipped."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, AnyFlow]] = []

    def push(self, key: float, flow: AnyFlow, waiting_count: int) -> None:
        """Add a flow. At most `waiting_count` entries are of flows that wait."""
        heapq.heappush(self._entries, (key, flow._entry_number, flow))
        if len(self._entries) > MIN_HEAP_SIZE + 2 * waiting_count:
            self._entries = [entry for entry in self._entries if _is_waiting(entry)]
            heapq.heapify(self._entries)

    def peek(self) -> AnyFlow | None:
        """Return the flow with the least key; of equal ones, the one that was added first."""
        while self._entries and not _is_waiting(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0][2] if self._entries else None

    def __iter__(self) -> Iterator[AnyFlow]:
        return (entry[2] for entry in self._entries if _is_waiting(entry))


def _is_waiting(entry: tuple[float, int, AnyFlow]) -> bool:
    _, number, flow = entry
    return flow.is_queued and flow._entry_number == number


class FairQueue(Generic[AnyFlow]):
    """Flows that wait; see the module for who is next, and for how long a flow may wait."""

    def __init__(self) -> None:
        self._virtual_time_s = 0.0
        self._by_tag: _FlowHeap[AnyFlow] = _FlowHeap()
        self._by_credit: _FlowHeap[AnyFlow] = _FlowHeap()
        self._count = 0
        self._empty_since = 0.0  # since when no flow waits, while none does
        self._numbers = itertools.count(1)
        self._priority_time_s = PRIORITY_BURST_S  # that the priority queue may use now
        self._is_priority = False  # whether the flow taken last was taken by priority

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[AnyFlow]:
        """Iterate over the flows that wait."""
        return iter(self._by_tag)

    def push(self, flow: AnyFlow, now: float, quantum_s: float, is_returning: bool) -> None:
        """Have a flow wait.

        Args:
            flow: A flow that does not wait.
            now: The time, in seconds.
            quantum_s: For how long it may be served when it is taken.
            is_returning: Whether it was idle, or never waited; otherwise more is left after a service.
        """
        virtual_time_s = self._update_virtual_time(now)
        earliest_tag_s = virtual_time_s
        if is_returning:
            flow.add_credit(now, virtual_time_s)
            earliest_tag_s += quantum_s
        flow.start(earliest_tag_s, next(self._numbers))
        flow.is_queued = True
        flow.queued_at = now
        flow.quantum_s = quantum_s
        self._count += 1
        self._by_tag.push(flow._start_tag_s, flow, self._count)
        if flow.has_priority:
            self._by_credit.push(-flow.credit_s, flow, self._count)

    def pop(self, now: float) -> AnyFlow:
        """Remove and return the flow that is next. Raises IndexError if none waits."""
        flow = self._by_credit.peek() if self._priority_time_s > 0.0 else None
        self._is_priority = flow is not None
        if flow is None:
            flow = self._by_tag.peek()
            if flow is None:
                raise IndexError("no flow waits")
            self._virtual_time_s = max(self._virtual_time_s, flow._start_tag_s)
        flow.is_queued = False
        self._count -= 1
        if not self._count:
            self._empty_since = now
        return flow

    def charge(self, flow: AnyFlow, service_s: float) -> None:
        """Charge the flow that was taken last for its service, if others waited meanwhile."""
        if not self._count:
            return
        cost_s = min(service_s, MAX_CHARGED_QUANTA * flow.quantum_s) * flow.cost_factor
        if self._is_priority:
            flow.charge_credit(cost_s, self._virtual_time_s)
            self._priority_time_s -= service_s
        else:
            flow.charge_tag(cost_s)
            self._priority_time_s = min(PRIORITY_BURST_S, self._priority_time_s + service_s)

    def on_idle(self, flow: AnyFlow, now: float) -> None:
        """Record that a flow that was served has nothing left to wait for."""
        virtual_time_s = self._update_virtual_time(now)
        flow.add_credit(now, virtual_time_s)  # it was idle before, if it was served at once
        flow.on_idle(now, virtual_time_s)

    def _update_virtual_time(self, now: float) -> float:
        """Return the virtual time. While no flow waits it passes like real time."""
        if not self._count:
            self._virtual_time_s += max(0.0, now - self._empty_since)
            self._empty_since = now
        return self._virtual_time_s
