"""A gateway under load: a pool of keep-alive connections, each with one request in flight."""

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
    """A request that was started; it gets exactly one outcome.

    Attributes:
        scheduled: The request as it stands in the schedule.
        command: The encoded command.
        timer: Expires at the end of the client's timeout.
        connection: The connection that the request was sent on.
        is_over: Whether the request has its outcome.
        is_retry: Whether the request was sent again because its keep-alive connection was closed.
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
    """A keep-alive connection with at most one request in flight."""

    def __init__(self, target: Target) -> None:
        self.transport: asyncio.Transport
        self.request: OutgoingRequest | None = None
        self._target = target
        self._parser = hiredis.Reader(notEnoughData=...)
        self._answer_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and add the connection to those of the target."""
        # uvloop's transports do not derive from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self._target.connections.add(self)

    def send(self, request: OutgoingRequest) -> None:
        """Send a request; the next reply on this connection answers it."""
        self.request = request
        request.connection = self
        self.transport.write(request.command)

    def abandon(self) -> None:
        """Abort the connection: a late reply would be taken for the answer to another request."""
        self.request = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse replies, report the outcome of the request, and return the connection to the pool."""
        try:
            self._parser.feed(data)
            while (reply := self._parser.gets()) is not ...:
                request = self.request
                self.request = None
                if request is None:  # surplus answer: later replies cannot be matched to requests
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
        """Send the request in flight again if the connection was reused; otherwise report it as lost."""
        self._target.connections.discard(self)
        if self in self._target.idle:
            self._target.idle.remove(self)
        request = self.request
        self.request = None
        if request is None:
            return
        # A gateway may close a keep-alive connection between requests. A request that was sent just then is
        # sent once more on a new connection.
        was_reused = self._answer_count > 0
        if was_reused and not request.is_retry and not request.is_over and not self._target.is_closing:
            request.is_retry = True
            request.connection = None
            self._target.send_on_new_connection(request)
        else:
            self._target.on_outcome(request, Outcome.LOST)


class Target:
    """A gateway, and the connections to it.

    Attributes:
        record: Counts surplus answers and descriptor shortages.
        on_outcome: Called with each outcome, possibly more than once for a request.
        idle: Open connections without a request.
        connections: All open connections.
        is_closing: Whether the target is being closed, after which nothing is sent.
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
        """Start a task that connects and then sends a request."""
        task = asyncio.get_running_loop().create_task(self.connect(request))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def connect(self, request: OutgoingRequest) -> None:
        """Connect, and send the request unless its timeout has expired meanwhile."""
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: TargetConnection(self), *self._address)
        except OSError as error:
            # This is a limit of the generator's process, not a fault of the target.
            if error.errno in _DESCRIPTOR_SHORTAGE_ERRORS:
                self.record.descriptor_shortages += 1
            self.on_outcome(request, Outcome.UNSENT)
            return
        if request.is_over:  # another request can use the connection
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
