"""Admission control: measure the lag of the event loop, and ask the overload gate which requests to shed.

Clients that send without pause could keep the event loop busy with reading. Each iteration of the loop
therefore reads commands for one time slice only. The remaining commands wait, connection by connection,
until the loop has also read the responses of endpoints. Overload is measured by how long commands wait and
by the lag of a periodic probe. `policy.overload_gate` decides which requests are shed.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from apigateway.core.interfaces import Scheduler
from apigateway.core.overload_log import LoadSheddingCounts, OverloadLog

# Interval between two measurements of the event loop's lag.
LAG_PROBE_INTERVAL_S = 0.02
# Time for which one iteration of the event loop reads commands.
READ_TIME_SLICE_S = 0.002


class LoadSheddingPolicy(LoadSheddingCounts, Protocol):
    """Decides which requests are shed; implemented by `policy.overload_gate`.

    All times are in seconds. An implementation does no I/O, reads no clock and must not raise.
    """

    def on_loop_lag(self, now: float, lag: float) -> None:
        """Record that a probe ran `lag` after its due time.

        Called every LAG_PROBE_INTERVAL_S while requests arrive or the gateway is overloaded.
        """

    def retry_after_if_shed(
        self, now: float, waited: float, step: int, customer: str, remaining: float
    ) -> float:
        """Return the Retry-After of a request to shed, 0 if unknown; below 0: admit the request.

        Called once for each command, before any other work is done for it.

        Args:
            now: Current time of the controller's clock.
            waited: Time since the request was read.
            step: Priority of the request, on the gate's scale.
            customer: Customer that sent the request.
            remaining: Time until the request's deadline.
        """

    def on_retry_after(self, now: float, customer: str, retry_after: float) -> None:
        """Record the Retry-After that the decision module sent to a customer.

        Called while the gateway is overloaded.
        """


class AdmissionController:
    """Asks the overload gate about each request before it is accepted; all frontends share one controller.

    When `is_time_slice_used_up` is set, a frontend appends a callback that resumes its connection to
    `deferred_connections`. Commands that it has already read wait for a later iteration of the event loop.

    Args:
        gate: Decides which requests are shed.
        loop: Timers of the event loop.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, gate: LoadSheddingPolicy, loop: Scheduler, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.gate = gate
        self.loop = loop
        self.clock = clock
        self.time_slice_started_at = 0.0  # when this iteration began to read commands; 0 if it has not
        self.is_time_slice_used_up = False
        self.deferred_connections: deque[Callable[[], None]] = deque()  # callbacks that resume reading
        self._overload_log = OverloadLog(gate)
        self._probe_due_at = 0.0
        self._is_probing = False
        self._has_new_requests = False  # since the last probe

    def retry_after_if_shed(
        self, priority_step: int, customer: str, remaining: float, arrived_at: float
    ) -> float:
        """Return the Retry-After in seconds of a request to shed, 0 if unknown; below 0: admit it.

        Args:
            priority_step: Priority of the request, on the gate's scale.
            customer: Customer that sent the request.
            remaining: Seconds until the request's deadline.
            arrived_at: Time of `clock` at which the request was read.
        """
        now = self.clock()
        self._has_new_requests = True
        if not self.time_slice_started_at:
            self._start_slice(now)
        elif now - self.time_slice_started_at > READ_TIME_SLICE_S:
            self.is_time_slice_used_up = True
        return self.gate.retry_after_if_shed(now, now - arrived_at, priority_step, customer, remaining)

    def start_iteration(self) -> None:
        """Start a new time slice and resume the deferred connections, one after another."""
        self.time_slice_started_at = 0.0
        self.is_time_slice_used_up = False
        try:
            while self.deferred_connections and not self.is_time_slice_used_up:
                self.deferred_connections.popleft()()
        finally:  # a connection that raises must not block the connections queued behind it
            if self.deferred_connections and not self.time_slice_started_at:
                self.loop.call_soon(self.start_iteration)

    def on_retry_after(self, customer: str, retry_after: float) -> None:
        """Record the Retry-After, in seconds, that the decision module sent to a customer."""
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
        if self._has_new_requests or self.gate.is_overloaded or self._overload_log.is_overloaded:
            self._has_new_requests = False
            self._schedule_probe(now + LAG_PROBE_INTERVAL_S)
        else:  # an idle gateway runs no probes
            self._is_probing = False
