"""gRPC over HTTP/2 as a server speaks it, apart from I/O: bytes in, calls out; answers in, bytes out.

Frames, header compression and flow control are h2's. Here is what gRPC makes of them (its "gRPC over HTTP2"
page): unary calls whose message has a 5-byte head, a time-out in a header, a status in trailers. Everything
that a client may send without end is bounded: streams at once, headers, a message, what waits for a window
that it does not open. """

from __future__ import annotations

import re
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import quote

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

MOST_STREAMS = 128  # of one connection at once
MOST_MESSAGE = 256 * 1024  # bytes of one
MOST_HEADERS = 16 * 1024  # bytes of one list
MOST_WAITING = 1024 * 1024  # bytes of answers of one connection that wait for windows
LAST = 2 ** 31 - 1
OK, CANCELLED, UNKNOWN, INVALID_ARGUMENT, DEADLINE_EXCEEDED, RESOURCE_EXHAUSTED = 0, 1, 2, 3, 4, 8
UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 12, 13, 14
TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
# What h2 raises for a stream that it has closed, or closed and forgotten.
CALLED_OFF = (h2.exceptions.NoSuchStreamError, h2.exceptions.StreamIDTooLowError)
UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
TEXT = "".join(chr(n) for n in range(0x20, 0x7F) if chr(n) != "%")  # what grpc-message has as it is


@dataclass(slots=True)
class Call:
    """A whole unary call. `timeout` in seconds; None: the client told none."""

    stream: int
    path: str
    message: bytes
    timeout: float | None


@dataclass(frozen=True, slots=True)
class Gone:
    """The client called this one off, or reset it."""

    stream: int


@dataclass(slots=True)
class Stream:
    path: str
    timeout: float | None
    data: bytearray = field(default_factory=bytearray)


class Refused(Exception):
    """Why a call cannot be taken: a gRPC status and a text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_timeout(text: bytes | None) -> float | None:
    """Raises Refused."""
    if text is None:
        return None
    found = TIMEOUT.fullmatch(text)
    if not found:
        raise Refused(INTERNAL, "odd grpc-timeout")
    return int(found[1]) * UNITS[found[2]]


class Session:
    """One connection. After each call of its methods `take` gives what is to be written; `over`: then it is
    to be closed."""

    def __init__(self) -> None:
        told = h2.config.H2Configuration(client_side=False, header_encoding=None)
        self.conn = h2.connection.H2Connection(told)
        self.conn.local_settings = h2.settings.Settings(client=False, initial_values={
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MOST_STREAMS,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MOST_HEADERS})
        self.conn.max_inbound_frame_size = self.conn.local_settings.max_frame_size
        self.conn.initiate_connection()
        self.coming: dict[int, Stream] = {}  # whose message is not whole
        self.calls: set[int] = set()  # given out, not answered
        self.waiting: dict[int, tuple[bytes, list[tuple[bytes, bytes]]]] = {}  # answers without a window
        self.more: list[bytes] = []
        self.last = 0  # highest stream that was taken
        self.over = self.ending = False

    def take(self) -> bytes:
        out = self.conn.data_to_send()
        if self.more:
            out, self.more = out + b"".join(self.more), []
        if self.ending and not (self.coming or self.calls or self.waiting):
            self.over = True
        return out

    @property
    def idle(self) -> bool:
        return not (self.coming or self.calls or self.waiting)

    # In

    def receive(self, data: bytes) -> list[Call | Gone]:
        told: list[Call | Gone] = []
        try:
            events = self.conn.receive_data(data)
        except (h2.exceptions.ProtocolError, ValueError, IndexError):  # lost: h2 has written the GOAWAY
            self.over = True
            return self.lost()
        for event in events:
            match event:
                case h2.events.RequestReceived():
                    self.begun(event)
                    if event.stream_ended is not None:
                        told += self.whole(event.stream_id)
                case h2.events.DataReceived():
                    self.data(event)
                    if event.stream_ended is not None:
                        told += self.whole(event.stream_id)
                case h2.events.TrailersReceived():
                    told += self.whole(event.stream_id)
                case h2.events.StreamReset():
                    told += self.reset(event.stream_id)
                case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                    self.flush()
                case h2.events.ConnectionTerminated():
                    self.ending = True
        return told

    def begun(self, event: h2.events.RequestReceived) -> None:
        number = event.stream_id or 0
        headers = dict(event.headers or ())
        if self.ending and number > self.last:
            with suppress(*CALLED_OFF):
                self.conn.reset_stream(number, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self.last = max(self.last, number)
        kind = headers.get(b"content-type", b"")
        if headers.get(b":method") != b"POST" or not kind.startswith(b"application/grpc"):
            status = b"415" if headers.get(b":method") == b"POST" else b"405"
            with suppress(*CALLED_OFF):
                self.conn.send_headers(number, [(b":status", status)], end_stream=True)
            self.stop_reading(number)
            return
        try:
            if headers.get(b"grpc-encoding", b"identity") != b"identity":
                raise Refused(UNIMPLEMENTED, "messages are not compressed here")
            timeout = read_timeout(headers.get(b"grpc-timeout"))
        except Refused as err:
            self.refuse(number, err.status, str(err))
            self.stop_reading(number)
            return
        path = headers.get(b":path", b"").decode("ascii", "replace")
        self.coming[number] = Stream(path, timeout)

    def data(self, event: h2.events.DataReceived) -> None:
        number, length = event.stream_id or 0, event.flow_controlled_length or 0
        if length:
            self.conn.acknowledge_received_data(length, number)
        stream = self.coming.get(number)
        if stream is None:
            return
        stream.data += event.data or b""
        if len(stream.data) >= 5:
            size = int.from_bytes(stream.data[1:5], "big")
            why = None
            if size > MOST_MESSAGE:
                why = Refused(RESOURCE_EXHAUSTED, f"a message of {size} bytes: {MOST_MESSAGE} at most")
            elif stream.data[0]:
                why = Refused(UNIMPLEMENTED, "messages are not compressed here")
            elif len(stream.data) > 5 + size:
                why = Refused(INTERNAL, "more than one message")
            if why is not None:
                del self.coming[number]
                self.refuse(number, why.status, str(why))
                if event.stream_ended is None:
                    self.stop_reading(number)

    def whole(self, number: int | None) -> list[Call | Gone]:
        stream = self.coming.pop(number or 0, None)
        if stream is None or number is None:
            return []
        if len(stream.data) < 5 or len(stream.data) != 5 + int.from_bytes(stream.data[1:5], "big"):
            self.refuse(number, INTERNAL, "a message that is not whole")
            return []
        self.calls.add(number)
        return [Call(number, stream.path, bytes(stream.data[5:]), stream.timeout)]

    def reset(self, number: int | None) -> list[Call | Gone]:
        number = number or 0
        self.coming.pop(number, None)
        self.waiting.pop(number, None)
        if number not in self.calls:
            return []
        self.calls.discard(number)
        return [Gone(number)]

    def lost(self) -> list[Call | Gone]:
        """The connection is gone, and all calls on it."""
        gone: list[Call | Gone] = [Gone(number) for number in sorted(self.calls)]
        self.coming.clear()
        self.calls.clear()
        self.waiting.clear()
        return gone

    # Out

    def answer(self, number: int, message: bytes, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """The answer of a call that was given out. One that was called off since gets none."""
        if number not in self.calls:
            return
        self.calls.discard(number)
        self.conn.send_headers(number, [(b":status", b"200"), (b"content-type", b"application/grpc"),
                                        *headers])
        self.waiting[number] = (b"\0" + len(message).to_bytes(4, "big") + message, [(b"grpc-status", b"0")])
        self.flush()

    def fail(self, number: int, status: int, text: str) -> None:
        """Likewise, with a status other than OK."""
        if number in self.calls:
            self.calls.discard(number)
            self.refuse(number, status, text)

    def refuse(self, number: int, status: int, text: str) -> None:
        with suppress(*CALLED_OFF):  # called off in what was read with it
            self.conn.send_headers(number, [
                (b":status", b"200"), (b"content-type", b"application/grpc"),
                (b"grpc-status", b"%d" % status), (b"grpc-message", quote(text, safe=TEXT).encode())],
                end_stream=True)

    def stop_reading(self, number: int) -> None:
        """What still comes on it is not wanted (RFC 9113, 8.1: a whole answer, then NO_ERROR)."""
        with suppress(*CALLED_OFF):  # it has come already
            self.conn.reset_stream(number, h2.errors.ErrorCodes.NO_ERROR)

    def flush(self) -> None:
        """Sends what windows let through. A client that opens none, and asks on, is cut off."""
        for number, (data, trailers) in list(self.waiting.items()):
            try:
                while data and (room := self.room(number)) > 0:
                    self.conn.send_data(number, data[:room])
                    data = data[room:]
                self.waiting[number] = data, trailers
                if not data:
                    del self.waiting[number]
                    self.conn.send_headers(number, trailers, end_stream=True)
            except CALLED_OFF:  # its reset was read with what opened the window
                self.waiting.pop(number, None)
        if sum(len(data) for data, _ in self.waiting.values()) > MOST_WAITING:
            self.conn.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.over = True

    def room(self, number: int) -> int:
        return int(min(self.conn.local_flow_control_window(number), self.conn.max_outbound_frame_size))

    def finish(self) -> None:
        """No new calls: those that were taken are answered, then it is over. h2 itself knows only an end at
        once."""
        if not self.ending:
            self.ending = True
            self.more.append(GoAwayFrame(0, last_stream_id=self.last, error_code=0).serialize())
