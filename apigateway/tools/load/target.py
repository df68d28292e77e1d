"""One gateway that load is sent to: kept connections with one request on each at a time."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import cast

import hiredis

from apigateway.tools.load.recorder import LoadRecord, Outcome
from apigateway.tools.load.resp import read_outcome
from apigateway.tools.load.schedule import ScheduledRequest
from apigateway.upstream.address import Address

_DESCRIPTOR_SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE)


class OutgoingRequest:
    """A request that was begun; it comes to one outcome.

    Attributes:
        scheduled: What is due.
        command: Its bytes.
        timer: Ends it when its client's time is over.
        connection: The connection that it was sent on.
        is_over: It has come to its outcome.
        is_retry: It was sent on a kept connection that ended, and is sent once more.
    """

    __slots__ = ("scheduled", "command", "timer", "connection", "is_over", "is_retry")

    def __init__(self, scheduled: ScheduledRequest, command: bytes) -> None:
        self.scheduled = scheduled
        self.command = command
        self.timer: asyncio.TimerHandle | None = None
        self.connection: TargetConnection | None = None
        self.is_over = False
        self.is_retry = False


OutcomeCallback = Callable[[OutgoingRequest, Outcome], None]


class TargetConnection(asyncio.Protocol):
    """A kept connection with one request on it at a time."""

    def __init__(self, target: Target) -> None:
        self.transport: asyncio.Transport
        self.request: OutgoingRequest | None = None
        self._target = target
        self._parser = hiredis.Reader(notEnoughData=...)
        self._answer_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take note of the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has no base in common with asyncio's
        self._target.connections.add(self)

    def send(self, request: OutgoingRequest) -> None:
        """Send a request; its answer is the next reply."""
        self.request = request
        request.connection = self
        self.transport.write(request.command)

    def abandon(self) -> None:
        """Give up the request: what still comes here would be taken for another's answer."""
        self.request = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """End the request with its answer, and keep the connection."""
        try:
            self._parser.feed(data)
            while (reply := self._parser.gets()) is not ...:
                request = self.request
                self.request = None
                if request is None:  # an answer too many: nothing that follows can be told apart
                    self._target.record.surplus_answers += 1
                    self.transport.abort()
                    return
                self._answer_count += 1
                self._target.on_outcome(request, read_outcome(reply))
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if self.request is None and not self.transport.is_closing():
            self._target.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request, or send it once more if the connection had been idle before it."""
        self._target.connections.discard(self)
        if self in self._target.idle:
            self._target.idle.remove(self)
        request = self.request
        self.request = None
        if request is None:
            return
        # A gateway may close a connection between requests; one that crosses that is sent once more.
        was_kept = self._answer_count > 0
        if was_kept and not request.is_retry and not request.is_over and not self._target.is_closing:
            request.is_retry = True
            request.connection = None
            self._target.send_on_new_connection(request)
        else:
            self._target.on_outcome(request, Outcome.LOST)


class Target:
    """A gateway, and the connections to it.

    Attributes:
        record: Counts what no request's outcome tells.
        on_outcome: Called with each outcome, maybe more than once for a request.
        idle: Connections without a request.
        connections: All that are up.
        is_closing: Nothing is sent any more.
    """

    def __init__(self, address: Address, record: LoadRecord, on_outcome: OutcomeCallback) -> None:
        self.record = record
        self.on_outcome = on_outcome
        self.idle: list[TargetConnection] = []
        self.connections: set[TargetConnection] = set()
        self.is_closing = False
        self._address = address
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def send(self, request: OutgoingRequest) -> None:
        """Send a request on an idle connection, or on a new one."""
        if self.idle:
            self.idle.pop().send(request)
        else:
            self.send_on_new_connection(request)

    def send_on_new_connection(self, request: OutgoingRequest) -> None:
        """Connect, and send a request then."""
        task = asyncio.get_running_loop().create_task(self.connect(request))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def connect(self, request: OutgoingRequest) -> None:
        """Connect, and send the request unless its time ran out meanwhile."""
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: TargetConnection(self), *self._address)
        except OSError as error:
            if error.errno in _DESCRIPTOR_SHORTAGE_ERRORS:  # the generator's own, no fault of the target's
                self.record.descriptor_shortages += 1
            self.on_outcome(request, Outcome.UNSENT)
            return
        if request.is_over:  # others can use the connection
            self.idle.append(connection)
        else:
            connection.send(request)

    def close(self) -> None:
        """Close all connections at once."""
        self.is_closing = True
        for task in list(self._connect_tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
