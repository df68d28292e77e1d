"""Client side of gRPC over HTTP/2, without I/O: calls in, bytes out; bytes in, completed calls out.

h2 handles frames and flow control. `upstream.rpc` holds the gRPC code shared by client and server.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from apigateway.upstream.rpc import (
    GoAwayFilter,
    GrpcStatus,
    MessageBuffer,
    RpcError,
    format_timeout,
    frame_message,
    percent_decode,
)

MAX_MESSAGE_BYTES = 1024 * 1024  # per response
MAX_HEADER_BYTES = 16 * 1024  # all headers of a response together

_HTTP_OK = b"200"
_MAX_STATUS_DIGITS = 3  # of grpc-status; known codes have at most two digits
_MAX_CONCURRENT_STREAMS = 2**31  # used if the server announces more or no limit
_LAST_USED_STREAM_ID = 2**30  # later calls use a new connection; ids end at 2^31 - 1
_STREAM_CLOSED_ERRORS = (
    h2.exceptions.NoSuchStreamError,
    h2.exceptions.StreamClosedError,
    h2.exceptions.StreamIDTooLowError,
)

_Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The result of a call.

    Attributes:
        stream_id: The stream of the call.
        status: The gRPC status code.
        text: The status message.
        message: The response message; empty unless the status is OK.
        is_processed: False if the server did not process the call, so that it is safe to retry.
    """

    stream_id: int
    status: int
    text: str
    message: bytes = b""
    is_processed: bool = True


@dataclass(slots=True)
class OpenCall:
    """A call that has not ended."""

    response: MessageBuffer = field(default_factory=lambda: MessageBuffer(MAX_MESSAGE_BYTES))
    unsent_body: bytes = b""  # rest of the request body, which waits for flow control


class ClientSession:
    """State of one connection.

    Write the result of `data_to_send` to the socket after each call of another method.

    Attributes:
        open_calls: Calls that have not ended, by stream id.
        is_draining: Whether the connection accepts no more calls.
        is_finished: Whether the connection should be closed.
    """

    def __init__(self, authority: str, scheme: str = "http") -> None:
        self.open_calls: dict[int, OpenCall] = {}
        self.is_draining = False
        self.is_finished = False
        self._authority = authority.encode()
        self._scheme = scheme.encode()
        self._goaway_filter = GoAwayFilter()
        self._h2 = _create_h2_connection()
        self._h2.initiate_connection()

    def data_to_send(self) -> bytes:
        """Return the bytes to write and clear them."""
        data = self._h2.data_to_send()
        if self.is_draining and not self.open_calls:
            self.is_finished = True
        return data

    def available_streams(self) -> int:
        """Return the number of calls that may be started now."""
        if self.is_draining or self.is_finished:
            return 0
        limit = min(self._h2.remote_settings.max_concurrent_streams, _MAX_CONCURRENT_STREAMS)
        return max(0, limit - len(self.open_calls))

    def start_call(self, path: str, message: bytes, timeout: float) -> int:
        """Start a call and return its stream id. Requires an available stream.

        `timeout`, in seconds, is sent in the grpc-timeout header.
        """
        stream_id = self._h2.get_next_available_stream_id()
        self._h2.send_headers(
            stream_id,
            [
                (b":method", b"POST"),
                (b":scheme", self._scheme),
                (b":path", path.encode()),
                (b":authority", self._authority),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
                (b"grpc-timeout", format_timeout(timeout)),
            ],
        )
        self.open_calls[stream_id] = OpenCall(unsent_body=frame_message(message))
        self._send_body(stream_id)
        if stream_id > _LAST_USED_STREAM_ID:
            self.is_draining = True
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Cancel a call, unless it has ended."""
        if self.open_calls.pop(stream_id, None) is not None:
            self._reset(stream_id)

    def receive(self, data: bytes) -> list[CallEnded]:
        """Parse received bytes and return the calls that they end."""
        data, last_processed_id = self._goaway_filter.feed(data)
        try:
            events = self._h2.receive_data(data) if data else []
        except (h2.exceptions.ProtocolError, ValueError, IndexError) as error:
            return self.connection_lost(f"HTTP/2 protocol error: {type(error).__name__}")
        ended = [call for call in map(self._on_event, events) if call is not None]
        if last_processed_id is not None:
            ended += self._on_goaway(last_processed_id)
        return ended

    def connection_lost(self, reason: str) -> list[CallEnded]:
        """End all calls because the connection is lost or unusable."""
        self.is_finished = True
        self.is_draining = True
        ended = [CallEnded(stream_id, GrpcStatus.UNAVAILABLE, reason) for stream_id in self.open_calls]
        self.open_calls.clear()
        return ended

    def _send_body(self, stream_id: int) -> None:
        """Send as much of a request body as flow control allows."""
        call = self.open_calls[stream_id]
        try:
            while call.unsent_body:
                window = self._h2.local_flow_control_window(stream_id)
                size = min(window, self._h2.max_outbound_frame_size)
                if size <= 0:
                    return
                part = call.unsent_body[:size]
                call.unsent_body = call.unsent_body[size:]
                self._h2.send_data(stream_id, part, end_stream=not call.unsent_body)
        except _STREAM_CLOSED_ERRORS:  # the stream was closed by the same bytes that opened the window
            call.unsent_body = b""

    def _reset(self, stream_id: int) -> None:
        with suppress(*_STREAM_CLOSED_ERRORS):
            self._h2.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)

    def _on_event(self, event: h2.events.Event) -> CallEnded | None:
        match event:
            case h2.events.DataReceived():
                return self._on_data(event)
            case h2.events.ResponseReceived():
                is_last = event.stream_ended is not None
                return self._on_headers(event.stream_id or 0, event.headers or (), is_last)
            case h2.events.TrailersReceived():
                return self._on_headers(event.stream_id or 0, event.headers or (), is_last=True)
            case h2.events.StreamEnded():
                return self._end(
                    event.stream_id or 0, GrpcStatus.UNKNOWN, "stream ended without a gRPC status"
                )
            case h2.events.StreamReset():
                return self._on_reset(event)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream_id in list(self.open_calls):
                    self._send_body(stream_id)
        return None

    def _on_data(self, event: h2.events.DataReceived) -> CallEnded | None:
        stream_id = event.stream_id or 0
        if event.flow_controlled_length:
            self._h2.acknowledge_received_data(event.flow_controlled_length, stream_id)
        call = self.open_calls.get(stream_id)
        if call is None:
            return None
        try:
            call.response.feed(event.data or b"")
        except RpcError as error:
            self.cancel(stream_id)
            return CallEnded(stream_id, error.status, str(error))
        return None

    def _on_headers(self, stream_id: int, headers: _Headers, is_last: bool) -> CallEnded | None:
        values = dict(headers)
        http_status = values.get(b":status", _HTTP_OK)
        if http_status != _HTTP_OK:
            text = f"HTTP status {http_status.decode('ascii', 'replace')}"
            ended = self._end(stream_id, GrpcStatus.UNAVAILABLE, text)
            if not is_last:
                self._reset(stream_id)
            return ended
        if not is_last:
            return None
        status = values.get(b"grpc-status", b"")
        if not status.isdigit() or len(status) > _MAX_STATUS_DIGITS:
            return self._end(stream_id, GrpcStatus.UNKNOWN, "stream ended without a gRPC status")
        return self._end(stream_id, int(status), percent_decode(values.get(b"grpc-message", b"")))

    def _on_reset(self, event: h2.events.StreamReset) -> CallEnded | None:
        stream_id = event.stream_id or 0
        if self.open_calls.pop(stream_id, None) is None:
            return None
        is_processed = event.error_code != h2.errors.ErrorCodes.REFUSED_STREAM
        return CallEnded(
            stream_id, GrpcStatus.UNAVAILABLE, "stream was reset by the server", is_processed=is_processed
        )

    def _on_goaway(self, last_processed_id: int) -> list[CallEnded]:
        """Accept no more calls, and end those that the server will not process."""
        self.is_draining = True
        ended = []
        for stream_id in [open_id for open_id in self.open_calls if open_id > last_processed_id]:
            del self.open_calls[stream_id]
            ended.append(
                CallEnded(stream_id, GrpcStatus.UNAVAILABLE, "server sent GOAWAY", is_processed=False)
            )
        return ended

    def _end(self, stream_id: int, status: int, text: str) -> CallEnded | None:
        call = self.open_calls.pop(stream_id, None)
        if call is None:
            return None
        if status != GrpcStatus.OK:
            return CallEnded(stream_id, status, text)
        try:
            return CallEnded(stream_id, GrpcStatus.OK, text, call.response.single_message())
        except RpcError as error:
            return CallEnded(stream_id, GrpcStatus.INTERNAL, str(error))


def _create_h2_connection() -> h2.connection.H2Connection:
    config = h2.config.H2Configuration(
        client_side=True,
        header_encoding=None,
        validate_outbound_headers=False,
        normalize_outbound_headers=False,
    )
    connection = h2.connection.H2Connection(config)
    connection.local_settings = h2.settings.Settings(
        client=True,
        initial_values={
            h2.settings.SettingCodes.ENABLE_PUSH: 0,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
        },
    )
    connection.max_inbound_frame_size = connection.local_settings.max_frame_size
    return connection
