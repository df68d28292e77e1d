"""Sends each request over RESP2 at the time it is due, whatever the targets do.

This is an open loop: a request that waits for its connection or for a stalled target delays no other request.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import time
from collections.abc import Iterator, Sequence

from apigateway.tools.load.recorder import LoadRecord, Outcome
from apigateway.tools.load.resp import encode_request
from apigateway.tools.load.scenario import ClassSection
from apigateway.tools.load.schedule import US_PER_S, ScheduledRequest
from apigateway.tools.load.target import OutgoingRequest, Target
from apigateway.upstream.address import Address

_TIMER_RESOLUTION_S = 0.0015  # event loop timers count in ms, so the end of a wait polls the loop instead
# Requests started in one iteration of the event loop; a limit lets answers be read in between.
_MAX_STARTED_AT_ONCE = 64


class Sender:
    """Sends the requests of a run, or the part of them that one process sends.

    Attributes:
        record: Outcomes of the requests.
        targets: The gateways, by their index.
        started_at: Start of the run on the monotonic clock.
    """

    def __init__(
        self,
        requests: Iterator[ScheduledRequest],
        classes: dict[str, ClassSection],
        addresses: Sequence[Address],
    ) -> None:
        """Create a sender for `requests`, which must be in order of due time."""
        self.record = LoadRecord()
        self.targets = [Target(address, self.record, self._on_outcome) for address in addresses]
        self.started_at = 0.0
        self._requests = requests
        self._classes = classes
        self._stop_requested = asyncio.Event()
        self._outstanding = 0  # requests without an outcome yet
        self._none_outstanding = asyncio.Event()

    @property
    def is_stopped(self) -> bool:
        """Whether `stop` was called."""
        return self._stop_requested.is_set()

    def stop(self) -> None:
        """Start no more requests; those already started run to their outcome."""
        self._stop_requested.set()

    async def run(self) -> LoadRecord:
        """Send all requests, or those due before `stop` is called, and wait for their outcomes.

        The garbage collector is off during the run, since a collection would pause the generator.
        """
        gc.collect()
        gc.freeze()
        gc.disable()
        try:
            self.started_at = time.monotonic()
            await self._send_all()
            if self.is_stopped:
                self.record.played_s = time.monotonic() - self.started_at
            while self._outstanding:
                self._none_outstanding.clear()
                await self._none_outstanding.wait()
        finally:
            gc.enable()
            gc.unfreeze()
            for target in self.targets:
                target.close()
        return self.record

    async def _send_all(self) -> None:
        started_at_once = 0
        for request in self._requests:
            if await self._wait_until(self.started_at + request.due_us / US_PER_S):
                started_at_once = 0
            if self.is_stopped:
                return
            self._start(request)
            started_at_once += 1
            if started_at_once >= _MAX_STARTED_AT_ONCE:
                started_at_once = 0
                await asyncio.sleep(0)
            self.record.played_s = request.due_us / US_PER_S

    async def _wait_until(self, due_at: float) -> bool:
        """Wait until a time or until `stop` is called; return whether the event loop ran meanwhile."""
        has_waited = False
        while not self.is_stopped and (remaining := due_at - time.monotonic()) > 0:
            has_waited = True
            if remaining > _TIMER_RESOLUTION_S:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(remaining - _TIMER_RESOLUTION_S):
                        await self._stop_requested.wait()
            else:
                await asyncio.sleep(0)
        return has_waited

    def _start(self, scheduled: ScheduledRequest) -> None:
        service_class = self._classes[scheduled.service_class]
        request = OutgoingRequest(scheduled, encode_request(scheduled, service_class))
        self._outstanding += 1
        late_us = self._elapsed_us(scheduled)
        self.record.record_start(late_us)
        # The client's timeout starts when the request is due.
        remaining = service_class.wait - late_us / US_PER_S
        loop = asyncio.get_running_loop()
        request.timer = loop.call_later(max(0.0, remaining), self._on_timeout, request)
        self.targets[scheduled.gateway_index % len(self.targets)].send(request)

    def _elapsed_us(self, scheduled: ScheduledRequest) -> int:
        """Return the time since a request was due, in microseconds."""
        return int((time.monotonic() - self.started_at) * US_PER_S) - scheduled.due_us

    def _on_timeout(self, request: OutgoingRequest) -> None:
        """Record a request as lost when its client's timeout expires, and abort its connection."""
        connection = request.connection
        self._on_outcome(request, Outcome.LOST)
        if connection is not None and connection.request is request:
            connection.abandon()

    def _on_outcome(self, request: OutgoingRequest, outcome: Outcome) -> None:
        """Record the outcome of a request, unless it already has one."""
        if request.is_over:
            return
        request.is_over = True
        if request.timer is not None:
            request.timer.cancel()
        scheduled = request.scheduled
        self.record.record_outcome(
            scheduled.due_us,
            scheduled.service_class,
            scheduled.plan,
            outcome,
            self._elapsed_us(scheduled),
        )
        self._outstanding -= 1
        if not self._outstanding:
            self._none_outstanding.set()
