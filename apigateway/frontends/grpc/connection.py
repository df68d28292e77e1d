"""One gRPC client connection: passes socket data to the session, events to methods and responses back."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from time import monotonic
from typing import Protocol, cast

from apigateway.core.input_scheduler import ConnectionInput, InputScheduler
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
from apigateway.frontends.read_buffer import READ_BUFFER
from apigateway.upstream import socket_state
from apigateway.upstream.rpc import GrpcStatus

# How long to wait for the client to close a finished connection.
CLIENT_CLOSE_TIMEOUT_S = 0.5
# Input that is handled before the next look at the clock. A frame can be as short as nine bytes.
INPUT_PIECE_BYTES = 1024

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs from its frontend."""

    @property
    def input_scheduler(self) -> InputScheduler:
        """Divides the time for input among the connections of all frontends."""

    @property
    def methods(self) -> Mapping[str, UnaryMethod]:
        """The unary methods by path."""

    @property
    def streams(self) -> Mapping[str, StreamingMethod]:
        """The streaming methods by path."""

    @property
    def is_draining(self) -> bool:
        """Whether new connections must start draining at once."""

    @property
    def is_drain_over(self) -> bool:
        """Whether new connections must not open any call."""

    def on_connected(self, connection: GrpcConnection) -> None:
        """Register a new connection."""

    def on_disconnected(self, connection: GrpcConnection) -> None:
        """Remove a closed connection."""

    def on_write_blocked(self, connection: GrpcConnection) -> None:
        """Record that the write buffer is full because the client does not read."""

    def on_write_resumed(self, connection: GrpcConnection) -> None:
        """Record that the client reads again."""

    def on_draining(self, connection: GrpcConnection) -> None:
        """Record that a connection accepts no new calls."""

    def update_partial_bytes(self, connection: GrpcConnection) -> bool:
        """Update the total of partial message bytes; return False if it exceeds the limit."""

    def count_memory(self, size: int) -> None:
        """Add to the memory that connections use, or subtract from it."""


class GrpcConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one client connection."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self.transport: asyncio.Transport
        self.session = ServerSession(owner.streams)
        self.open_calls: dict[int, OpenCall] = {}  # by stream id
        self._stream_handlers: dict[int, StreamHandler] = {}  # the streaming calls among them
        self.partial_bytes = 0  # of partial messages, as last counted by the owner
        self._counted_bytes = 0  # of the memory for clients: received, partial and not written
        self.last_received_at = monotonic()
        self._input = ConnectionInput(self._handle_input)
        self._received = bytearray()  # waits for its turn
        self._is_write_blocked = False
        self._is_reading = False  # responses set while reading are written together afterwards
        self._is_close_scheduled = False

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, once TLS is established."""
        self.transport = cast(asyncio.Transport, transport)
        self._owner.on_connected(self)
        self.write()
        if self._owner.is_draining:  # the shutdown began during the TLS handshake
            self.start_draining()
        if self._owner.is_drain_over:
            self.finish_draining()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all open calls."""
        self._owner.on_disconnected(self)
        self.session.on_connection_lost()
        self._received.clear()
        self._count_memory()
        open_calls = self.open_calls
        self.open_calls = {}
        self._stream_handlers = {}
        for call in open_calls.values():
            call.on_cancelled()
        self._input.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which limits how much is read at once."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read, and handle it now or once it is this connection's turn."""
        self.last_received_at = monotonic()
        self._received += READ_BUFFER[:nbytes]
        self._owner.input_scheduler.handle(self._input)
        if self._received and not self.transport.is_closing():
            self.transport.pause_reading()

    def _handle_input(self, until: float) -> bool:
        """Handle received bytes until a time, and return whether some are left."""
        while self._received and not self.transport.is_closing():
            piece = bytes(self._received[:INPUT_PIECE_BYTES])
            del self._received[:INPUT_PIECE_BYTES]
            self._receive(piece)
            if self._received and self._owner.input_scheduler.clock() >= until:
                break
        if self.transport.is_closing():
            self._received.clear()
        if not self._received:
            self._resume_reading()
        self._count_memory()
        return bool(self._received)

    def _count_memory(self) -> None:
        session = self.session
        held_bytes = len(self._received) + session.partial_bytes + session.responses.unsent_bytes
        if held_bytes != self._counted_bytes:
            self._owner.count_memory(held_bytes - self._counted_bytes)
            self._counted_bytes = held_bytes

    def _receive(self, data: bytes) -> None:
        """Parse received bytes and dispatch the calls to their methods."""
        self._is_reading = True
        try:
            for event in self.session.receive(data):
                self._on_event(event)
        except Exception:  # a fault on one connection must not affect the others
            log.exception("failed to process received data; aborting the connection")
            self.transport.abort()
            return
        finally:
            self._is_reading = False
        if self.session.partial_bytes != self.partial_bytes and not self._owner.update_partial_bytes(self):
            log.warning("partial messages of all connections exceed the memory limit; aborting a connection")
            self.transport.abort()
            return
        self.write()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read; the frontend aborts it after a timeout."""
        self._is_write_blocked = True
        self._owner.on_write_blocked(self)
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from a client that reads its responses again."""
        self._is_write_blocked = False
        self._owner.on_write_resumed(self)
        if not self._received:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if not self._is_write_blocked and not self.transport.is_closing():
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
                call = self.remove_call(event.stream_id)
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

    def remove_call(self, stream_id: int) -> OpenCall | None:
        """Remove and return a call that has its status or was cancelled."""
        self._stream_handlers.pop(stream_id, None)
        return self.open_calls.pop(stream_id, None)

    # Writing and closing

    def write(self) -> None:
        """Write pending session output, and close the connection once the session is finished."""
        if self._is_reading or self.transport.is_closing():
            return
        data = self.session.data_to_send()
        if data:
            self.transport.write(data)
        self._count_memory()
        if self.session.must_close:
            self.transport.close()
        elif self.session.is_finished and not self._is_close_scheduled:
            # Closing a socket with unread bytes resets the connection, which can discard the last responses.
            self._is_close_scheduled = True
            asyncio.get_running_loop().call_later(CLIENT_CLOSE_TIMEOUT_S, self.transport.close)

    @property
    def has_unread_data(self) -> bool:
        """Whether received bytes wait to be read from the socket or to be handled."""
        if self.transport.is_closing():
            return False
        return bool(self._received) or socket_state.has_unread_data(self.transport.get_extra_info("socket"))

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether responses wait for the client to read or to open its flow control window."""
        return bool(self.session.responses.pending or self.transport.get_write_buffer_size())

    def start_draining(self) -> None:
        """Ask the client to open no more calls, and end streaming calls, which have no natural end."""
        self._end_streaming_calls()
        self._owner.on_draining(self)
        self.session.start_draining()
        self.write()

    def finish_draining(self) -> None:
        """Accept no more calls, and close the connection once the unary calls are answered."""
        self._end_streaming_calls()
        self.session.finish_draining()
        self.write()

    def _end_streaming_calls(self) -> None:
        for stream_id, handler in list(self._stream_handlers.items()):
            self.remove_call(stream_id)
            handler.on_cancelled()
            self.session.send_status(stream_id, GrpcStatus.UNAVAILABLE, "this server ends")


class _UnaryResponse:
    """Implements `UnaryResponder` for one call."""

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
    """Implements `StreamResponder` for one call."""

    __slots__ = ("_connection", "_stream_id")

    def __init__(self, connection: GrpcConnection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id

    def send(self, message: bytes) -> None:
        self._connection.session.send_message(self._stream_id, message)
        self._connection.write()

    def end(self, status: int, text: str = "") -> None:
        self._connection.remove_call(self._stream_id)
        self._connection.session.send_status(self._stream_id, status, text)
        self._connection.write()
