"""One gRPC client's connection: a socket's bytes to the session, its events to methods, responses back."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from time import monotonic
from typing import Protocol, cast

from apigateway.frontends.grpc.events import (
    CallCancelled,
    SessionEvent,
    StreamHalfClosed,
    StreamMessage,
    StreamOpened,
    UnaryCall,
)
from apigateway.frontends.grpc.methods import OpenCall, StreamHandler, StreamingMethod, UnaryMethod
from apigateway.frontends.grpc.server_session import ServerSession
from apigateway.upstream.rpc import GrpcStatus

# Seconds that a client has to close a connection that has come to its end.
CLIENT_CLOSE_TIMEOUT_S = 0.5

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs of its frontend."""

    @property
    def methods(self) -> Mapping[str, UnaryMethod]:
        """Unary methods by path."""

    @property
    def streams(self) -> Mapping[str, StreamingMethod]:
        """Streaming methods by path."""

    @property
    def is_draining(self) -> bool:
        """Whether connections are to end."""

    def on_connected(self, connection: GrpcConnection) -> None:
        """Take in a new connection."""

    def on_disconnected(self, connection: GrpcConnection) -> None:
        """Forget a connection."""

    def on_write_blocked(self, connection: GrpcConnection) -> None:
        """Take in that the client does not take what is written."""

    def on_write_resumed(self, connection: GrpcConnection) -> None:
        """Take in that the client takes it again."""

    def on_draining(self, connection: GrpcConnection) -> None:
        """Take in that a connection takes no new calls."""

    def hold_partial_bytes(self, connection: GrpcConnection) -> bool:
        """Count the bytes of a connection's partial messages; False if all together are too many."""


class GrpcConnection(asyncio.Protocol):
    """The event loop's protocol of one client."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self.transport: asyncio.Transport
        self.session = ServerSession(owner.streams)
        self.open_calls: dict[int, OpenCall] = {}  # by stream id
        self._stream_handlers: dict[int, StreamHandler] = {}  # those of them that stream
        self.partial_bytes = 0  # of partial messages, as the owner has counted them
        self.last_received_at = monotonic()
        self._is_reading = False  # responses that come meanwhile are written together at the end of it
        self._waits_for_client_close = False

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is up, TLS included."""
        self.transport = cast(asyncio.Transport, transport)
        self._owner.on_connected(self)
        self.write()
        if self._owner.is_draining:  # it was in its handshake when the shutdown began
            self.start_draining()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is open: the connection has ended."""
        self._owner.on_disconnected(self)
        self.session.on_connection_lost()
        open_calls = self.open_calls
        self.open_calls = {}
        self._stream_handlers = {}
        for call in open_calls.values():
            call.on_cancelled()

    def data_received(self, data: bytes) -> None:
        """Read calls and hand them to their methods."""
        self.last_received_at = monotonic()
        self._is_reading = True
        try:
            for event in self.session.receive(data):
                self._on_event(event)
        except Exception:  # one connection must not take the others along
            log.exception("a call could not be read")
            self.transport.abort()
            return
        finally:
            self._is_reading = False
        if self.session.partial_bytes != self.partial_bytes and not self._owner.hold_partial_bytes(self):
            log.warning("half messages of all connections take too much: one is closed")
            self.transport.abort()
            return
        self.write()

    def pause_writing(self) -> None:
        """Stop reading a client that takes no responses; it ends if that lasts."""
        self._owner.on_write_blocked(self)
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read a client again that takes its responses."""
        self._owner.on_write_resumed(self)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    # Calls

    def _on_event(self, event: SessionEvent) -> None:
        match event:
            case UnaryCall():
                self._start_unary_call(event)
            case StreamOpened():
                self._start_stream(event)
            case StreamMessage():
                if event.stream_id in self._stream_handlers:
                    self._stream_handlers[event.stream_id].on_message(event.message)
            case StreamHalfClosed():
                if event.stream_id in self._stream_handlers:
                    self._stream_handlers[event.stream_id].on_half_closed()
            case CallCancelled():
                call = self.forget_call(event.stream_id)
                if call is not None:
                    call.on_cancelled()

    def _start_unary_call(self, event: UnaryCall) -> None:
        method = self._owner.methods.get(event.path)
        if method is None:
            self.session.send_status(event.stream_id, GrpcStatus.UNIMPLEMENTED, f"no method {event.path}")
            return
        try:
            call = method(event.message, event.timeout, _UnaryResponse(self, event.stream_id))
        except Exception:
            log.exception("%s failed", event.path)
            self.session.send_status(event.stream_id, GrpcStatus.INTERNAL, "it failed here")
            return
        if call is not None:
            self.open_calls[event.stream_id] = call

    def _start_stream(self, event: StreamOpened) -> None:
        handler = self._owner.streams[event.path](_StreamResponse(self, event.stream_id))
        self.open_calls[event.stream_id] = handler
        self._stream_handlers[event.stream_id] = handler

    def forget_call(self, stream_id: int) -> OpenCall | None:
        """Return a call that has its status, or was cancelled, and tell it of nothing more."""
        self._stream_handlers.pop(stream_id, None)
        return self.open_calls.pop(stream_id, None)

    # Writing and the end

    def write(self) -> None:
        """Write what the session has to say; close where it is at its end."""
        if self._is_reading or self.transport.is_closing():
            return
        data = self.session.data_to_send()
        if data:
            self.transport.write(data)
        if self.session.must_close:
            self.transport.close()
        elif self.session.is_finished and not self._waits_for_client_close:
            # Closed here with bytes unread it would be a reset, which can eat the last responses.
            self._waits_for_client_close = True
            asyncio.get_running_loop().call_later(CLIENT_CLOSE_TIMEOUT_S, self.transport.close)

    def start_draining(self) -> None:
        """Take no new calls; answer those that were taken, and end those that stream without end."""
        for stream_id, handler in list(self._stream_handlers.items()):
            self.forget_call(stream_id)
            handler.on_cancelled()
            self.session.send_status(stream_id, GrpcStatus.UNAVAILABLE, "this server ends")
        self._owner.on_draining(self)
        self.session.start_draining()
        self.write()


class _UnaryResponse:
    """The `UnaryResponder` of one call."""

    __slots__ = ("_connection", "_stream_id")

    def __init__(self, connection: GrpcConnection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id

    def respond(self, message: bytes) -> None:
        connection = self._connection
        connection.open_calls.pop(self._stream_id, None)
        connection.session.send_response(self._stream_id, message)
        connection.write()

    def fail(self, status: int, text: str) -> None:
        connection = self._connection
        connection.open_calls.pop(self._stream_id, None)
        connection.session.send_status(self._stream_id, status, text)
        connection.write()


class _StreamResponse:
    """The `StreamResponder` of one call."""

    __slots__ = ("_connection", "_stream_id")

    def __init__(self, connection: GrpcConnection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id

    def send(self, message: bytes) -> None:
        self._connection.session.send_message(self._stream_id, message)
        self._connection.write()

    def end(self, status: int, text: str = "") -> None:
        self._connection.forget_call(self._stream_id)
        self._connection.session.send_status(self._stream_id, status, text)
        self._connection.write()
