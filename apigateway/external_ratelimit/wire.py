"""gRPC over HTTP/2 as a client speaks it, apart from I/O: calls in, bytes out; bytes in, what became of
them (net/rpc.py; frames and flow control are h2's)."""

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
    INTERNAL,
    OK,
    UNAVAILABLE,
    UNKNOWN,
    GoAwayFilter,
    MessageBuffer,
    RpcError,
    frame_message,
    percent_decode,
    write_timeout,
)

MOST_MESSAGE = 1024 * 1024  # bytes of an answer
MOST_HEADERS = 16 * 1024
GONE = (h2.exceptions.NoSuchStreamError, h2.exceptions.StreamClosedError, h2.exceptions.StreamIDTooLowError)


@dataclass(frozen=True, slots=True)
class Over:
    """A call has ended. `status` 0: `message` is its answer. `ran`: False, the server never looked at it, so
    it may be asked again elsewhere."""

    stream: int
    status: int
    text: str
    message: bytes = b""
    ran: bool = True


@dataclass(slots=True)
class Out:
    messages: MessageBuffer = field(default_factory=lambda: MessageBuffer(MOST_MESSAGE))
    left: bytes = b""  # of the question, without a window yet


class ClientSession:
    """One connection. After each call of its methods `take` gives what is to be written. `closing`: it takes
    no more calls; `over`: it is to be closed."""

    def __init__(self, authority: str, scheme: str = "http") -> None:
        told = h2.config.H2Configuration(
            client_side=True,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
        self.conn = h2.connection.H2Connection(told)
        self.conn.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MOST_HEADERS,
            },
        )
        self.conn.max_inbound_frame_size = self.conn.local_settings.max_frame_size
        self.conn.initiate_connection()
        self.sieve = GoAwayFilter()
        self.authority, self.scheme = authority.encode(), scheme.encode()
        self.out: dict[int, Out] = {}
        self.closing = self.over = False

    def take(self) -> bytes:
        data = self.conn.data_to_send()
        if self.closing and not self.out:
            self.over = True
        return data

    def room(self) -> int:
        """Calls that it takes now."""
        if self.closing or self.over:
            return 0
        return max(0, min(self.conn.remote_settings.max_concurrent_streams, 2**31) - len(self.out))

    # Out

    def ask(self, path: str, message: bytes, timeout: float) -> int:
        """The call's stream; there has to be `room`. `timeout` in seconds is told to the server."""
        number = self.conn.get_next_available_stream_id()
        self.conn.send_headers(
            number,
            [
                (b":method", b"POST"),
                (b":scheme", self.scheme),
                (b":path", path.encode()),
                (b":authority", self.authority),
                (b"te", b"trailers"),
                (b"content-type", b"application/grpc"),
                (b"grpc-timeout", write_timeout(timeout)),
            ],
        )
        self.out[number] = Out(left=frame_message(message))
        self.pour(number)
        if number > 2**30:  # streams are numbered to 2^31 at most
            self.closing = True
        return number

    def pour(self, number: int) -> None:
        out = self.out[number]
        try:
            while out.left:
                room = min(self.conn.local_flow_control_window(number), self.conn.max_outbound_frame_size)
                if room <= 0:
                    return
                part, out.left = out.left[:room], out.left[room:]
                self.conn.send_data(number, part, end_stream=not out.left)
        except GONE:  # its end was read with what opened the window
            out.left = b""

    def call_off(self, number: int) -> None:
        if self.out.pop(number, None) is not None:
            self.reset(number)

    def reset(self, number: int) -> None:
        with suppress(*GONE):
            self.conn.reset_stream(number, h2.errors.ErrorCodes.CANCEL)

    # In

    def receive(self, data: bytes) -> list[Over]:
        told: list[Over] = []
        data, last = self.sieve.feed(data)
        try:
            events = self.conn.receive_data(data) if data else []
        except (h2.exceptions.ProtocolError, ValueError, IndexError) as err:
            self.over = True
            return self.lost(f"not HTTP/2: {type(err).__name__}")
        for event in events:
            match event:
                case h2.events.DataReceived():
                    self.data(event, told)
                case h2.events.ResponseReceived():
                    self.headers(
                        event.stream_id or 0, event.headers or (), event.stream_ended is not None, told
                    )
                case h2.events.TrailersReceived():
                    self.headers(event.stream_id or 0, event.headers or (), True, told)
                case h2.events.StreamEnded():
                    self.end(event.stream_id or 0, UNKNOWN, "it ended without a status", told)
                case h2.events.StreamReset():
                    refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                    number = event.stream_id or 0
                    if self.out.pop(number, None) is not None:
                        told.append(Over(number, UNAVAILABLE, "it was reset", ran=not refused))
                case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                    for number in list(self.out):
                        self.pour(number)
        if last is not None:
            self.closing = True
            for number in [n for n in self.out if n > last]:
                del self.out[number]
                told.append(Over(number, UNAVAILABLE, "the server ends", ran=False))
        return told

    def data(self, event: h2.events.DataReceived, told: list[Over]) -> None:
        number, length = event.stream_id or 0, event.flow_controlled_length or 0
        if length:
            self.conn.acknowledge_received_data(length, number)
        out = self.out.get(number)
        if out is None:
            return
        try:
            out.messages.feed(event.data or b"")
        except RpcError as err:
            self.call_off(number)
            told.append(Over(number, err.status, str(err)))

    def headers(
        self, number: int, headers: Iterable[tuple[bytes, bytes]], ended: bool, told: list[Over]
    ) -> None:
        found = dict(headers)
        status = found.get(b":status", b"200")
        if status != b"200":
            self.end(number, UNAVAILABLE, f"HTTP status {status.decode('ascii', 'replace')}", told)
            if not ended:
                self.reset(number)
        elif ended:
            code, text = found.get(b"grpc-status", b""), percent_decode(found.get(b"grpc-message", b""))
            if code.isdigit() and len(code) < 4:
                self.end(number, int(code), text, told)
            else:
                self.end(number, UNKNOWN, "it ended without a status", told)

    def end(self, number: int, status: int, text: str, told: list[Over]) -> None:
        out = self.out.pop(number, None)
        if out is None:
            return
        if status != OK:
            told.append(Over(number, status, text))
            return
        try:
            told.append(Over(number, OK, text, out.messages.only()))
        except RpcError as err:
            told.append(Over(number, INTERNAL, str(err)))

    def lost(self, why: str) -> list[Over]:
        """The connection is gone."""
        self.over = self.closing = True
        told = [Over(number, UNAVAILABLE, why) for number in self.out]
        self.out.clear()
        return told
