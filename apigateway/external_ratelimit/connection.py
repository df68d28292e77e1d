"""One connection of a channel: a client session on a socket and the calls sent on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol, cast

from apigateway.external_ratelimit.client_session import CallEnded, ClientSession

ResponseCallback = Callable[[int, str, bytes], None]
"""Called with the gRPC status code, the status message and the response message."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for a connection or for its response.

    Attributes:
        path: The path of the method.
        message: The encoded request.
        deadline: When the call fails, in seconds of the monotonic clock.
        on_response: Called once, unless the call is cancelled.
        connection: The connection that carries the call; None while it waits for one.
        stream_id: The stream of the call on that connection.
        attempts: How many times the call was sent.
        is_done: Whether the call has ended or was cancelled.
        deadline_timer: The timer that ends the call at its deadline.
    """

    path: str
    message: bytes
    deadline: float
    on_response: ResponseCallback
    connection: GrpcConnection | None = None
    stream_id: int = 0
    attempts: int = 0
    is_done: bool = False
    deadline_timer: asyncio.TimerHandle | None = None


class ConnectionOwner(Protocol):
    """Callbacks that a connection makes to its channel."""

    def on_connected(self, connection: GrpcConnection) -> None:
        """Handle a connection that is established."""

    def on_server_responded(self) -> None:
        """Handle a call that the server has processed."""

    def on_call_ended(self, call: PendingCall, ended: CallEnded) -> None:
        """Handle the end of a call."""

    def on_capacity_available(self) -> None:
        """Handle a connection that may have room for more calls."""

    def on_draining(self, connection: GrpcConnection) -> None:
        """Handle a connection that accepts no more calls."""

    def on_connection_lost(self, connection: GrpcConnection) -> None:
        """Handle a lost connection. Its calls are reported as ended afterwards."""


class GrpcConnection(asyncio.Protocol):
    """A connection and the calls sent on it.

    Attributes:
        transport: The transport of the socket, set once connected.
        session: The HTTP/2 state.
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
        """Send the HTTP/2 connection preface."""
        # A cast, because uvloop's transports share no base class with asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.is_connected = True
        self._owner.on_connected(self)
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and complete the calls that they end."""
        ended = self.session.receive(data)
        if any(call.is_processed for call in ended):
            self._owner.on_server_responded()
        self._end_calls(ended)
        self.flush()
        if self.session.is_draining:
            self._owner.on_draining(self)
        else:
            self._owner.on_capacity_available()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all calls."""
        self.is_connected = False
        self._owner.on_connection_lost(self)
        self._end_calls(self.session.connection_lost("connection lost"))

    def pause_writing(self) -> None:
        """Stop starting calls: the write buffer is full."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Allow new calls again: the write buffer has drained."""
        self._is_write_blocked = False
        self._owner.on_capacity_available()

    def available_streams(self) -> int:
        """Return the number of calls that may be started now."""
        if not self.is_connected or self._is_write_blocked:
            return 0
        return self.session.available_streams()

    def start_call(self, call: PendingCall) -> None:
        """Start a call, which the next `flush` writes. Requires an available stream."""
        call.stream_id = self.session.start_call(call.path, call.message, call.deadline - monotonic())
        call.connection = self
        self.calls[call.stream_id] = call

    def cancel(self, call: PendingCall) -> None:
        """Cancel a call, unless it has ended on this connection."""
        if self.calls.pop(call.stream_id, None) is not None:
            self.session.cancel(call.stream_id)
            self.flush()

    def flush(self) -> None:
        """Write pending session output, and close the connection once the session is finished."""
        if self.transport.is_closing():
            return
        data = self.session.data_to_send()
        if data:
            self.transport.write(data)
        if self.session.is_finished:
            self.transport.close()

    def _end_calls(self, ended: list[CallEnded]) -> None:
        for call_ended in ended:
            call = self.calls.pop(call_ended.stream_id, None)
            if call is not None:
                self._owner.on_call_ended(call, call_ended)
