"""Server side of gRPC over HTTP/2, without I/O: bytes in, events out; responses in, bytes out.

h2 handles frames, header compression and flow control. This module adds the gRPC protocol (see
`upstream/rpc.py` and the "gRPC over HTTP2" specification): unary calls and, for the given paths, streaming
calls. Everything that a client could grow without limit is bounded: concurrent streams, headers, each
message, all partial messages together, and responses that wait for a flow control window.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from contextlib import suppress
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame, PingFrame

from apigateway.frontends.grpc.call_headers import (
    OK_TRAILERS,
    RESPONSE_HEADERS,
    Headers,
    call_timeout,
    http_error_status,
    status_headers,
)
from apigateway.frontends.grpc.events import (
    CallCancelled,
    SessionEvent,
    StreamHalfClosed,
    StreamMessage,
    StreamOpened,
    UnaryCall,
)
from apigateway.frontends.grpc.response_writer import CLOSED_STREAM_ERRORS, ResponseWriter
from apigateway.upstream.rpc import (
    GoAwayFilter,
    GrpcStatus,
    MessageBuffer,
    RpcError,
    frame_message,
)

# Concurrent streams per connection.
MAX_CONCURRENT_STREAMS = 128
# Size limit of one message.
MAX_MESSAGE_BYTES = 256 * 1024
# Limit for the partial messages of one connection together.
MAX_PARTIAL_BYTES = 1024 * 1024
# Size limit of one header list.
MAX_HEADER_LIST_BYTES = 16 * 1024
# Limit for the responses of one connection that wait for flow control.
MAX_UNSENT_BYTES = 1024 * 1024

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # RFC 9113, 3.4
MAX_STREAM_ID = 2**31 - 1
DRAIN_PING_DATA = b"the last"  # payload of the PING after the first GOAWAY of a shutdown; eight bytes

_MESSAGE_PREFIX_BYTES = 5  # compression flag and length


@dataclass(slots=True)
class _IncomingCall:
    """A call whose client has not half-closed the stream."""

    path: str
    timeout: float | None  # seconds
    messages: MessageBuffer
    is_streaming: bool  # each message is reported as an event of its own


class ServerSession:
    """State of one connection.

    Write the result of `data_to_send` to the socket after each call of another method.

    Attributes:
        streaming_paths: The paths of streaming methods.
        partial_bytes: The bytes of partial messages.
        must_close: Whether to close the connection after writing `data_to_send`.
        is_finished: Whether the connection has ended gracefully, so that the client should close it.
        is_drain_acknowledged: Whether the client has acknowledged the PING after the first GOAWAY.
    """

    def __init__(self, streaming_paths: Container[str] = ()) -> None:
        self.streaming_paths = streaming_paths
        self.partial_bytes = 0
        self.must_close = False
        self.is_finished = False
        self.is_drain_acknowledged = False
        self._connection = _create_connection()
        self.responses = ResponseWriter(self._connection)
        self._goaway_filter = GoAwayFilter(CLIENT_PREFACE)
        self.incoming_calls: dict[int, _IncomingCall] = {}
        self._open_calls: set[int] = set()  # reported by an event, without a status yet
        self._started_streams: set[int] = set()  # the open calls whose response headers are sent
        self._raw_frames: list[bytes] = []  # frames to send that h2 cannot create
        self._last_stream_id = 0  # the highest accepted one
        self._is_draining = False  # the client was asked to open no more calls
        self._rejects_new_calls = False

    def data_to_send(self) -> bytes:
        """Return the bytes to write and clear them."""
        data = self._connection.data_to_send()
        if self._raw_frames:
            data += b"".join(self._raw_frames)
            self._raw_frames = []
        if self._rejects_new_calls and self.is_idle:
            self.is_finished = True
        return data

    @property
    def is_idle(self) -> bool:
        """Whether no call is open."""
        return not (self.incoming_calls or self._open_calls or self.responses.pending)

    # Receiving

    def receive(self, data: bytes) -> list[SessionEvent]:
        """Parse received bytes and return their events."""
        events: list[SessionEvent] = []
        data, last_stream_id = self._goaway_filter.feed(data)
        # A client that sent GOAWAY opens no more streams, but expects responses to its open calls.
        if last_stream_id is not None:
            self._rejects_new_calls = True
        try:
            h2_events = self._connection.receive_data(data) if data else []
        except (h2.exceptions.ProtocolError, ValueError, IndexError):  # h2 has already queued the GOAWAY
            self.must_close = True
            return self.on_connection_lost()
        for event in h2_events:
            self._on_h2_event(event, events)
        return events

    def on_connection_lost(self) -> list[SessionEvent]:
        """Remove all calls and return their cancellations."""
        cancelled: list[SessionEvent] = [CallCancelled(stream_id) for stream_id in sorted(self._open_calls)]
        self.incoming_calls.clear()
        self._open_calls.clear()
        self._started_streams.clear()
        self.responses.clear()
        self.partial_bytes = 0
        return cancelled

    def _on_h2_event(self, event: h2.events.Event, events: list[SessionEvent]) -> None:
        match event:
            case h2.events.DataReceived():
                self._on_data(event, events)
                if event.stream_ended is not None:
                    self._on_half_closed(event.stream_id, events)
            case h2.events.RequestReceived():
                self._on_request(event, events)
                if event.stream_ended is not None:
                    self._on_half_closed(event.stream_id, events)
            case h2.events.TrailersReceived():
                self._on_half_closed(event.stream_id, events)
            case h2.events.StreamReset():
                self._on_reset(event.stream_id, events)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                self.responses.flush()
            case h2.events.PingAckReceived() if event.ping_data == DRAIN_PING_DATA:
                self.is_drain_acknowledged = True

    def _on_request(self, event: h2.events.RequestReceived, events: list[SessionEvent]) -> None:
        """Handle the headers of a call."""
        stream_id = event.stream_id or 0
        headers = dict(event.headers or ())
        if self._rejects_new_calls and stream_id > self._last_stream_id:
            self._reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self._last_stream_id = max(self._last_stream_id, stream_id)
        http_status = http_error_status(headers)
        if http_status is not None:
            with suppress(*CLOSED_STREAM_ERRORS):
                self._connection.send_headers(stream_id, [(b":status", http_status)], end_stream=True)
            self._stop_reading(stream_id)
            return
        try:
            timeout = call_timeout(headers)
        except RpcError as error:
            self._send_trailers_only(stream_id, error.status, str(error))
            self._stop_reading(stream_id)
            return
        path = headers.get(b":path", b"").decode("ascii", "replace")
        is_streaming = path in self.streaming_paths
        self.incoming_calls[stream_id] = _IncomingCall(
            path, timeout, MessageBuffer(MAX_MESSAGE_BYTES), is_streaming
        )
        if is_streaming:
            self._open_calls.add(stream_id)
            events.append(StreamOpened(stream_id, path))

    def _on_data(self, event: h2.events.DataReceived, events: list[SessionEvent]) -> None:
        """Handle received data of a call."""
        stream_id = event.stream_id or 0
        length = event.flow_controlled_length or 0
        if length:
            self._connection.acknowledge_received_data(length, stream_id)
        call = self.incoming_calls.get(stream_id)
        if call is None:
            return
        is_ended = event.stream_ended is not None
        data = event.data or b""
        self.partial_bytes += len(data)
        try:
            call.messages.feed(data)
            if call.is_streaming:
                for message in call.messages.take_messages():
                    self.partial_bytes -= len(message) + _MESSAGE_PREFIX_BYTES
                    events.append(StreamMessage(stream_id, message))
            elif self.partial_bytes > MAX_PARTIAL_BYTES and not is_ended:
                raise RpcError(
                    GrpcStatus.RESOURCE_EXHAUSTED,
                    f"over {MAX_PARTIAL_BYTES} bytes of messages that are not whole",
                )
        except RpcError as error:
            self._remove_incoming_call(stream_id)
            if stream_id in self._open_calls:  # a streaming call: notify its handler
                self._open_calls.discard(stream_id)
                events.append(CallCancelled(stream_id))
            self._send_final_status(stream_id, error.status, str(error), is_fully_read=is_ended)

    def _on_half_closed(self, stream_id: int | None, events: list[SessionEvent]) -> None:
        """Handle the half-close of a stream: report a unary call or the end of a client stream."""
        stream_id = stream_id or 0
        call = self._remove_incoming_call(stream_id)
        if call is None:
            return
        if call.is_streaming:
            if stream_id in self._open_calls:
                events.append(StreamHalfClosed(stream_id))
            return
        try:
            message = call.messages.single_message()
        except RpcError as error:
            self._send_trailers_only(stream_id, error.status, str(error))
            return
        self._open_calls.add(stream_id)
        events.append(UnaryCall(stream_id, call.path, message, call.timeout))

    def _on_reset(self, stream_id: int | None, events: list[SessionEvent]) -> None:
        """Handle a call that the client cancelled."""
        stream_id = stream_id or 0
        self._remove_incoming_call(stream_id)
        self.responses.discard(stream_id)
        if stream_id in self._open_calls:
            self._open_calls.discard(stream_id)
            self._started_streams.discard(stream_id)
            events.append(CallCancelled(stream_id))

    def _remove_incoming_call(self, stream_id: int) -> _IncomingCall | None:
        """Stop reading messages of a call and return it; None if it was fully read."""
        call = self.incoming_calls.pop(stream_id, None)
        if call is not None:
            self.partial_bytes -= len(call.messages.data)
        return call

    # Sending

    def send_response(
        self, stream_id: int, message: bytes, headers: Iterable[tuple[bytes, bytes]] = ()
    ) -> None:
        """Respond to a unary call, unless it was cancelled."""
        if stream_id not in self._open_calls:
            return
        self._open_calls.discard(stream_id)
        self._connection.send_headers(stream_id, [*RESPONSE_HEADERS, *headers])
        self._write(stream_id, frame_message(message), OK_TRAILERS)

    def send_message(self, stream_id: int, message: bytes) -> None:
        """Send one message of a streaming call."""
        if stream_id not in self._open_calls:
            return
        if stream_id not in self._started_streams:
            self._started_streams.add(stream_id)
            self._connection.send_headers(stream_id, RESPONSE_HEADERS)
        self._write(stream_id, frame_message(message), None)

    def send_status(self, stream_id: int, status: int, text: str) -> None:
        """End a unary or streaming call with a gRPC status."""
        if stream_id not in self._open_calls:
            return
        self._open_calls.discard(stream_id)
        is_fully_read = self._remove_incoming_call(stream_id) is None
        self._send_final_status(stream_id, status, text, is_fully_read)

    def _send_final_status(self, stream_id: int, status: int, text: str, is_fully_read: bool) -> None:
        """Send a status: as trailers if response headers were sent before, else as the whole response."""
        if stream_id in self._started_streams:
            self._started_streams.discard(stream_id)
            with suppress(*CLOSED_STREAM_ERRORS):  # the client cancelled the call in the same bytes
                self._write(stream_id, b"", status_headers(status, text))
        else:
            self._send_trailers_only(stream_id, status, text)
        if not is_fully_read and stream_id not in self.responses.pending:
            self._stop_reading(stream_id)

    def _send_trailers_only(self, stream_id: int, status: int, text: str) -> None:
        """Send a Trailers-Only response: a status without a message."""
        with suppress(*CLOSED_STREAM_ERRORS):  # the client cancelled the call in the same bytes
            self._connection.send_headers(
                stream_id, [*RESPONSE_HEADERS, *status_headers(status, text)], end_stream=True
            )

    def _stop_reading(self, stream_id: int) -> None:
        """Make the client stop sending a request (RFC 9113, 8.1: a full response, then NO_ERROR)."""
        self._reset_stream(stream_id, h2.errors.ErrorCodes.NO_ERROR)

    def _reset_stream(self, stream_id: int, code: h2.errors.ErrorCodes) -> None:
        with suppress(*CLOSED_STREAM_ERRORS):  # fully received or reset already
            self._connection.reset_stream(stream_id, code)

    def _write(self, stream_id: int, data: bytes, trailers: Headers | None) -> None:
        self.responses.write(stream_id, data, trailers)
        # Exceeded if a client sends more calls without opening its flow control window.
        if self.responses.unsent_bytes > MAX_UNSENT_BYTES:
            self._connection.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.must_close = True

    # Shutdown

    def start_draining(self) -> None:
        """Start a graceful shutdown: ask the client to open no more streams.

        Follows the two steps of RFC 9113, 6.8. Streams are accepted until `finish_draining`. The
        acknowledgement of the PING that follows the GOAWAY does not end that: some clients acknowledge it
        before they send the HEADERS of streams that they have opened already. h2 itself supports only an
        immediate shutdown.
        """
        if not (self._is_draining or self._rejects_new_calls):
            self._is_draining = True
            self._raw_frames.append(GoAwayFrame(0, last_stream_id=MAX_STREAM_ID, error_code=0).serialize())
            self._raw_frames.append(PingFrame(0, opaque_data=DRAIN_PING_DATA).serialize())

    def finish_draining(self) -> None:
        """Send the final GOAWAY with the last accepted stream; later ones are refused.

        The session is finished once all accepted calls are answered.
        """
        if self._is_draining and not self._rejects_new_calls:
            self._rejects_new_calls = True
            goaway = GoAwayFrame(0, last_stream_id=self._last_stream_id, error_code=0)
            self._raw_frames.append(goaway.serialize())


def _create_connection() -> h2.connection.H2Connection:
    """Return an h2 connection that announces the limits of this module to the client."""
    # h2 still validates inbound headers; outbound headers come from this package and need no validation.
    config = h2.config.H2Configuration(
        client_side=False,
        header_encoding=None,
        validate_outbound_headers=False,
        normalize_outbound_headers=False,
    )
    connection = h2.connection.H2Connection(config)
    connection.local_settings = h2.settings.Settings(
        client=False,
        initial_values={
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CONCURRENT_STREAMS,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        },
    )
    connection.max_inbound_frame_size = connection.local_settings.max_frame_size
    connection.initiate_connection()
    return connection
