"""gRPC over HTTP/2 as a server speaks it, apart from I/O: bytes in, events out; responses in, bytes out.

Frames, header compression and flow control are h2's. Here is what gRPC makes of them (`upstream/rpc.py`, its
"gRPC over HTTP2" page): calls of one message and one response, and, for the given paths, streams of
either side. Everything that a client may send without end is bounded: streams at once, headers, a message,
partial messages together, what waits for a window that it does not open.
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
    http_error,
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

# Streams of one connection at once.
MAX_CONCURRENT_STREAMS = 128
# Bytes of one message.
MAX_MESSAGE_BYTES = 256 * 1024
# Bytes of messages of one connection that are not whole.
MAX_PARTIAL_BYTES = 1024 * 1024
# Bytes of one header list.
MAX_HEADER_LIST_BYTES = 16 * 1024
# Bytes of responses of one connection that wait for windows.
MAX_UNSENT_BYTES = 1024 * 1024

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # RFC 9113, 3.4
MAX_STREAM_ID = 2**31 - 1
DRAIN_PING_DATA = b"the last"  # of the PING behind the first GOAWAY of a shutdown; eight bytes

_MESSAGE_PREFIX_BYTES = 5  # before a message: whether it is compressed, and its length


@dataclass(slots=True)
class _IncomingCall:
    """A call whose client has not ended its sending."""

    path: str
    timeout: float | None  # seconds
    messages: MessageBuffer
    is_streaming: bool  # its messages are given out one by one


class ServerSession:
    """One connection. After each call of its methods `data_to_send` gives what is to be written.

    Attributes:
        streaming_paths: Paths whose calls are streams.
        partial_bytes: Of messages that are not whole.
        must_close: Once `data_to_send` is written the connection is to be closed.
        is_finished: It came to a good end, and its client is to close it.
    """

    def __init__(self, streaming_paths: Container[str] = ()) -> None:
        self.streaming_paths = streaming_paths
        self.partial_bytes = 0
        self.must_close = False
        self.is_finished = False
        self._connection = _create_connection()
        self.responses = ResponseWriter(self._connection)
        self._goaway_filter = GoAwayFilter(CLIENT_PREFACE)
        self.incoming: dict[int, _IncomingCall] = {}
        self._open_calls: set[int] = set()  # given out, without a status
        self._started_streams: set[int] = set()  # those of them whose response headers are sent
        self._raw_frames: list[bytes] = []  # that h2 does not write
        self._last_stream_id = 0  # the highest that was taken
        self._is_draining = False  # no more calls are wanted
        self._is_ending = False  # no more calls are taken

    def data_to_send(self) -> bytes:
        """Return the bytes to write, and forget them."""
        data = self._connection.data_to_send()
        if self._raw_frames:
            data += b"".join(self._raw_frames)
            self._raw_frames = []
        if self._is_ending and self.is_idle:
            self.is_finished = True
        return data

    @property
    def is_idle(self) -> bool:
        """Whether no call is open."""
        return not (self.incoming or self._open_calls or self.responses.pending)

    # What comes in

    def receive(self, data: bytes) -> list[SessionEvent]:
        """Take received bytes and return what they say."""
        events: list[SessionEvent] = []
        data, last_stream_id = self._goaway_filter.feed(data)
        if last_stream_id is not None:  # the client opens no more streams; what it asked it waits for
            self._is_ending = True
        try:
            h2_events = self._connection.receive_data(data) if data else []
        except (h2.exceptions.ProtocolError, ValueError, IndexError):  # lost: h2 has written the GOAWAY
            self.must_close = True
            return self.on_connection_lost()
        for event in h2_events:
            self._on_h2_event(event, events)
        return events

    def on_connection_lost(self) -> list[SessionEvent]:
        """Forget all calls and return their cancellations: the connection is gone."""
        cancelled: list[SessionEvent] = [CallCancelled(stream_id) for stream_id in sorted(self._open_calls)]
        self.incoming.clear()
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
                self._on_drain_acknowledged()

    def _on_request(self, event: h2.events.RequestReceived, events: list[SessionEvent]) -> None:
        """Take a call's headers."""
        stream_id = event.stream_id or 0
        headers = dict(event.headers or ())
        if self._is_ending and stream_id > self._last_stream_id:
            self._reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self._last_stream_id = max(self._last_stream_id, stream_id)
        http_status = http_error(headers)
        if http_status is not None:
            with suppress(*CLOSED_STREAM_ERRORS):
                self._connection.send_headers(stream_id, [(b":status", http_status)], end_stream=True)
            self._stop_reading(stream_id)
            return
        try:
            timeout = call_timeout(headers)
        except RpcError as error:
            self._send_status_alone(stream_id, error.status, str(error))
            self._stop_reading(stream_id)
            return
        path = headers.get(b":path", b"").decode("ascii", "replace")
        is_streaming = path in self.streaming_paths
        self.incoming[stream_id] = _IncomingCall(
            path, timeout, MessageBuffer(MAX_MESSAGE_BYTES), is_streaming
        )
        if is_streaming:
            self._open_calls.add(stream_id)
            events.append(StreamOpened(stream_id, path))

    def _on_data(self, event: h2.events.DataReceived, events: list[SessionEvent]) -> None:
        """Take a part of a call's messages."""
        stream_id = event.stream_id or 0
        length = event.flow_controlled_length or 0
        if length:
            self._connection.acknowledge_received_data(length, stream_id)
        call = self.incoming.get(stream_id)
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
            self._forget_incoming(stream_id)
            if stream_id in self._open_calls:  # it streams: whoever answers it is notified of the end
                self._open_calls.discard(stream_id)
                events.append(CallCancelled(stream_id))
            self._send_status_alone(stream_id, error.status, str(error))
            if not is_ended:
                self._stop_reading(stream_id)

    def _on_half_closed(self, stream_id: int | None, events: list[SessionEvent]) -> None:
        """Give a unary call out: its client has sent all."""
        stream_id = stream_id or 0
        call = self._forget_incoming(stream_id)
        if call is None:
            return
        if call.is_streaming:
            if stream_id in self._open_calls:
                events.append(StreamHalfClosed(stream_id))
            return
        try:
            message = call.messages.single_message()
        except RpcError as error:
            self._send_status_alone(stream_id, error.status, str(error))
            return
        self._open_calls.add(stream_id)
        events.append(UnaryCall(stream_id, call.path, message, call.timeout))

    def _on_reset(self, stream_id: int | None, events: list[SessionEvent]) -> None:
        """Forget a call that its client cancelled."""
        stream_id = stream_id or 0
        self._forget_incoming(stream_id)
        self.responses.discard(stream_id)
        if stream_id in self._open_calls:
            self._open_calls.discard(stream_id)
            self._started_streams.discard(stream_id)
            events.append(CallCancelled(stream_id))

    def _forget_incoming(self, stream_id: int) -> _IncomingCall | None:
        """Read no more of a call's messages; return what there was of it."""
        call = self.incoming.pop(stream_id, None)
        if call is not None:
            self.partial_bytes -= len(call.messages.data)
        return call

    # What goes out

    def send_response(
        self, stream_id: int, message: bytes, headers: Iterable[tuple[bytes, bytes]] = ()
    ) -> None:
        """Answer a unary call. One that was cancelled since gets nothing."""
        if stream_id not in self._open_calls:
            return
        self._open_calls.discard(stream_id)
        self._connection.send_headers(stream_id, [*RESPONSE_HEADERS, *headers])
        self._write(stream_id, frame_message(message), OK_TRAILERS)

    def send_message(self, stream_id: int, message: bytes) -> None:
        """Send one message of a stream."""
        if stream_id not in self._open_calls:
            return
        if stream_id not in self._started_streams:
            self._started_streams.add(stream_id)
            self._connection.send_headers(stream_id, RESPONSE_HEADERS)
        self._write(stream_id, frame_message(message), None)

    def send_status(self, stream_id: int, status: int, text: str) -> None:
        """End a call or a stream with a gRPC status; OK ends a stream well."""
        if stream_id not in self._open_calls:
            return
        self._open_calls.discard(stream_id)
        has_unread_messages = self._forget_incoming(stream_id) is not None
        if stream_id in self._started_streams:
            self._started_streams.discard(stream_id)
            self._write(stream_id, b"", status_headers(status, text))
        else:
            self._send_status_alone(stream_id, status, text)
        if has_unread_messages and stream_id not in self.responses.pending:
            self._stop_reading(stream_id)

    def _send_status_alone(self, stream_id: int, status: int, text: str) -> None:
        """Answer with a status and no message."""
        with suppress(*CLOSED_STREAM_ERRORS):  # cancelled in what was read with it
            self._connection.send_headers(
                stream_id, [*RESPONSE_HEADERS, *status_headers(status, text)], end_stream=True
            )

    def _stop_reading(self, stream_id: int) -> None:
        """Ask for no more of a call (RFC 9113, 8.1: a whole response, then NO_ERROR)."""
        self._reset_stream(stream_id, h2.errors.ErrorCodes.NO_ERROR)

    def _reset_stream(self, stream_id: int, code: h2.errors.ErrorCodes) -> None:
        with suppress(*CLOSED_STREAM_ERRORS):  # all of it has come already, or its reset
            self._connection.reset_stream(stream_id, code)

    def _write(self, stream_id: int, data: bytes, trailers: Headers | None) -> None:
        self.responses.write(stream_id, data, trailers)
        if self.responses.unsent_bytes > MAX_UNSENT_BYTES:  # the client opens no window and asks on
            self._connection.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.must_close = True

    # Shutdown

    def start_draining(self) -> None:
        """Take no new calls; once those that were taken are answered, it is finished.

        In two steps (RFC 9113, 6.8): the client is told to open no more, and what it had opened before it
        read that is taken; its answer to a PING behind it says that nothing more can come. h2 itself knows
        only an end at once.
        """
        if not (self._is_draining or self._is_ending):
            self._is_draining = True
            self._raw_frames.append(GoAwayFrame(0, last_stream_id=MAX_STREAM_ID, error_code=0).serialize())
            self._raw_frames.append(PingFrame(0, opaque_data=DRAIN_PING_DATA).serialize())

    def _on_drain_acknowledged(self) -> None:
        """Tell the client the last stream that was taken."""
        if self._is_draining and not self._is_ending:
            self._is_ending = True
            goaway = GoAwayFrame(0, last_stream_id=self._last_stream_id, error_code=0)
            self._raw_frames.append(goaway.serialize())


def _create_connection() -> h2.connection.H2Connection:
    """Return h2's side of a connection, with our limits announced to the client."""
    # What a client may not say in headers h2 still checks; ours are written here.
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
