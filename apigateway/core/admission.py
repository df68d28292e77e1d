"""Admission control: measure how late the event loop is, and ask the overload gate what to shed.

Clients that send without end would keep the loop reading. In one turn of the loop commands are read for a
time slice only; what arrived beyond it waits, connection by connection, while endpoints' answers are read in
between. How long commands wait so is one measure of overload; how late the loop comes to a periodic probe,
whatever kept it, is the other. What is shed is decided in `policy.overload_gate`.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from apigateway.core.interfaces import Scheduler
from apigateway.core.overload_log import LoadSheddingCounts, OverloadLog

# Seconds between two probes of the loop's lateness.
LAG_PROBE_INTERVAL_S = 0.02
# Seconds for which one turn of the loop reads commands.
READ_TIME_SLICE_S = 0.002


class LoadSheddingPolicy(LoadSheddingCounts, Protocol):
    """The decision of what to shed: `policy.overload_gate`.

    All times are in seconds. It does no I/O, reads no clock, and may raise nothing.
    """

    def on_loop_lag(self, now: float, lag: float) -> None:
        """Record that the loop came `lag` late to a probe.

        Called every LAG_PROBE_INTERVAL_S while requests come or an overload lasts.
        """

    def retry_after_if_shed(
        self, now: float, waited: float, step: int, customer: str, remaining: float
    ) -> float:
        """Return the Retry-After of a request that is shed, 0 for none; below 0: it may pass.

        Called once for each command, before anything is done for it.

        Args:
            now: By the controller's clock.
            waited: Time since the request was read.
            step: Of its priority, on the gate's scale.
            customer: Whose it is.
            remaining: The time that it has.
        """

    def on_retry_after(self, now: float, customer: str, retry_after: float) -> None:
        """Record the Retry-After that the decision module gave a customer.

        Called while the gateway is overloaded.
        """


class AdmissionController:
    """Ask the gate about each request before it is accepted; one controller for all frontends.

    A frontend that sees `is_time_slice_used_up` puts its connection's continuation on `deferred_connections`,
    and what it has read waits for the next turn of the loop.

    Args:
        gate: Decides what to shed.
        loop: The event loop's timers.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, gate: LoadSheddingPolicy, loop: Scheduler, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.gate = gate
        self.loop = loop
        self.clock = clock
        self.time_slice_started_at = 0.0  # when this turn began to read commands; 0: it has read none
        self.is_time_slice_used_up = False
        self.deferred_connections: deque[Callable[[], None]] = deque()  # those that have more, in order
        self._overload_log = OverloadLog(gate)
        self._probe_due_at = 0.0
        self._is_probing = False
        self._was_asked = False  # since the last probe

    def retry_after_if_shed(
        self, priority_step: int, customer: str, remaining: float, arrived_at: float
    ) -> float:
        """Return the Retry-After, in seconds, of a request to be shed, 0 for none; below 0: it is admitted.

        Args:
            priority_step: Its priority weight, on the gate's scale.
            customer: Whose it is.
            remaining: The seconds that it has.
            arrived_at: When it was read, by `clock`.
        """
        now = self.clock()
        self._was_asked = True
        if not self.time_slice_started_at:
            self._start_slice(now)
        elif now - self.time_slice_started_at > READ_TIME_SLICE_S:
            self.is_time_slice_used_up = True
        return self.gate.retry_after_if_shed(now, now - arrived_at, priority_step, customer, remaining)

    def start_iteration(self) -> None:
        """Begin a new turn of the loop: deferred connections go on, one after another."""
        self.time_slice_started_at = 0.0
        self.is_time_slice_used_up = False
        try:
            while self.deferred_connections and not self.is_time_slice_used_up:
                self.deferred_connections.popleft()()
        finally:  # one that raises must not leave those behind it unread
            if self.deferred_connections and not self.time_slice_started_at:
                self.loop.call_soon(self.start_iteration)

    def on_retry_after(self, customer: str, retry_after: float) -> None:
        """Record the Retry-After, in seconds, that the decision module gave a customer."""
        if self.gate.is_overloaded:
            self.gate.on_retry_after(self.clock(), customer, retry_after)

    def _start_slice(self, now: float) -> None:
        self.time_slice_started_at = now
        self.loop.call_soon(self.start_iteration)
        if not self._is_probing:
            self._is_probing = True
            self._schedule_probe(now + LAG_PROBE_INTERVAL_S)

    def _schedule_probe(self, due_at: float) -> None:
        self._probe_due_at = due_at
        self.loop.call_later(due_at - self.clock(), self._probe_lag)

    def _probe_lag(self) -> None:
        now = self.clock()
        self.gate.on_loop_lag(now, max(0.0, now - self._probe_due_at))
        self._overload_log.update(now)
        if self._was_asked or self.gate.is_overloaded or self._overload_log.is_overloaded:
            self._was_asked = False
            self._schedule_probe(now + LAG_PROBE_INTERVAL_S)
        else:  # nobody asked: at rest it costs nothing
            self._is_probing = False
