"""One connection of a channel: the client session on a socket, and the calls that were sent on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol, cast

from apigateway.external_ratelimit.client_session import CallEnded, ClientSession

ResponseCallback = Callable[[int, str, bytes], None]
"""Called with the gRPC status, its text and the response message."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that is waiting for a connection or for its response.

    Attributes:
        path: The method's path.
        message: The request.
        deadline: When it is given up, on the monotonic clock in seconds.
        on_response: Notified once, unless the call is cancelled.
        connection: The connection that it was sent on; None while it waits for one.
        stream_id: Its stream on that connection.
        attempts: How often it was sent.
        is_over: It has ended or was cancelled.
        deadline_timer: Ends it at its deadline.
    """

    path: str
    message: bytes
    deadline: float
    on_response: ResponseCallback
    connection: GrpcConnection | None = None
    stream_id: int = 0
    attempts: int = 0
    is_over: bool = False
    deadline_timer: asyncio.TimerHandle | None = None


class ConnectionOwner(Protocol):
    """What a connection tells its channel."""

    def on_connected(self, connection: GrpcConnection) -> None:
        """Take note that the connection is up."""

    def on_server_responded(self) -> None:
        """Take note that the server has processed a call."""

    def on_call_ended(self, call: PendingCall, ended: CallEnded) -> None:
        """Take the end of a call."""

    def on_capacity(self) -> None:
        """Send waiting calls: the connection may take more now."""

    def on_draining(self, connection: GrpcConnection) -> None:
        """Use another connection from now on: this one takes no more calls."""

    def on_lost(self, connection: GrpcConnection) -> None:
        """Forget the connection; its calls end after this."""


class GrpcConnection(asyncio.Protocol):
    """A connection, and the calls that were sent on it.

    Attributes:
        transport: The socket's transport, once it is up.
        session: The state of HTTP/2.
        calls: Calls that have not ended, by stream id.
        is_connected: Whether the socket is open.
    """

    def __init__(self, owner: ConnectionOwner, session: ClientSession) -> None:
        self.transport: asyncio.Transport
        self.session = session
        self.calls: dict[int, PendingCall] = {}
        self.is_connected = False
        self._owner = owner
        self._is_write_blocked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the preface of HTTP/2."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has no base in common with asyncio's
        self.is_connected = True
        self._owner.on_connected(self)
        self.flush()

    def data_received(self, data: bytes) -> None:
        """End the calls that the bytes end."""
        ended = self.session.receive(data)
        if any(call.is_processed for call in ended):
            self._owner.on_server_responded()
        self._end_calls(ended)
        self.flush()
        if self.session.is_draining:
            self._owner.on_draining(self)
        else:
            self._owner.on_capacity()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all calls."""
        self.is_connected = False
        self._owner.on_lost(self)
        self._end_calls(self.session.connection_lost("the connection ended"))

    def pause_writing(self) -> None:
        """Take no more calls: the socket's buffer is full."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Take calls again."""
        self._is_write_blocked = False
        self._owner.on_capacity()

    def available_streams(self) -> int:
        """Return how many more calls may be started now."""
        if not self.is_connected or self._is_write_blocked:
            return 0
        return self.session.available_streams()

    def start_call(self, call: PendingCall) -> None:
        """Start a call; a stream has to be available. It is written by the next `flush`."""
        call.stream_id = self.session.start_call(call.path, call.message, call.deadline - monotonic())
        call.connection = self
        self.calls[call.stream_id] = call

    def cancel(self, call: PendingCall) -> None:
        """Give up a call, unless it has ended here."""
        if self.calls.pop(call.stream_id, None) is not None:
            self.session.cancel(call.stream_id)
            self.flush()

    def flush(self) -> None:
        """Write what the session has to send, and close the connection once it is finished."""
        if self.transport.is_closing():
            return
        data = self.session.data_to_send()
        if data:
            self.transport.write(data)
        if self.session.is_finished:
            self.transport.close()

    def _end_calls(self, ended: list[CallEnded]) -> None:
        for end in ended:
            call = self.calls.pop(end.stream_id, None)
            if call is not None:
                self._owner.on_call_ended(call, end)
