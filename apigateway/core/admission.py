"""Admission control: measure the lag of the event loop, and ask the overload gate which requests to shed.

Overload is measured by how long commands wait for their turn (see `input_scheduler`) and by the lag of a
periodic probe. `policy.overload_gate` decides which requests are shed.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from apigateway.core.interfaces import Scheduler
from apigateway.core.overload_log import LoadSheddingCounts, OverloadLog

# Interval between two measurements of the event loop's lag.
LAG_PROBE_INTERVAL_S = 0.02


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
        if not self._is_probing:
            self._is_probing = True
            self._schedule_probe(now + LAG_PROBE_INTERVAL_S)
        return self.gate.retry_after_if_shed(now, now - arrived_at, priority_step, customer, remaining)

    def on_retry_after(self, customer: str, retry_after: float) -> None:
        """Record the Retry-After, in seconds, that the decision module sent to a customer."""
        if self.gate.is_overloaded:
            self.gate.on_retry_after(self.clock(), customer, retry_after)

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
