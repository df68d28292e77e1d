"""gRPC over HTTP/2 as a server speaks it, apart from I/O: bytes in, calls out; answers in, bytes out.

Frames, header compression and flow control are h2's. Here is what gRPC makes of them (net/rpc.py, its "gRPC
over HTTP2" page): calls of one message and one answer, and, for the paths that are told, streams of either
side. Everything that a client may send without end is bounded: streams at once, headers, a message, halves of
messages together, what waits for a window that it does not open."""

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

from apigateway.upstream.rpc import (
    RESOURCE_EXHAUSTED,
    UNIMPLEMENTED,
    GoAwayFilter,
    MessageBuffer,
    RpcError,
    frame_message,
    percent_encode,
    read_timeout,
)

MOST_STREAMS = 128  # of one connection at once
MOST_MESSAGE = 256 * 1024  # bytes of one
MOST_COMING = 1024 * 1024  # bytes of messages of one connection that are not whole
MOST_HEADERS = 16 * 1024  # bytes of one list
MOST_WAITING = 1024 * 1024  # bytes of answers of one connection that wait for windows
# What h2 raises for a stream that it has closed, or closed and forgotten.
CALLED_OFF = (h2.exceptions.NoSuchStreamError, h2.exceptions.StreamIDTooLowError)
LAST, LAST_WORD = 2**31 - 1, b"the last"
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # RFC 9113, 3.4
HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]


@dataclass(slots=True)
class Call:
    """A whole unary call. `timeout` in seconds; None: the client told none."""

    stream: int
    path: str
    message: bytes
    timeout: float | None


@dataclass(frozen=True, slots=True)
class Opened:
    """A call of a path that streams has begun."""

    stream: int
    path: str


@dataclass(frozen=True, slots=True)
class Heard:
    """A message on one that was Opened."""

    stream: int
    message: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The client has said all on one that was Opened."""

    stream: int


@dataclass(frozen=True, slots=True)
class Gone:
    """The client called this one off, or reset it."""

    stream: int


Event = Call | Opened | Heard | Done | Gone


@dataclass(slots=True)
class Stream:
    path: str
    timeout: float | None
    messages: MessageBuffer
    flows: bool  # its path streams: messages are given out one by one


class Session:
    """One connection. After each call of its methods `take` gives what is to be written; `over`: then it is
    to be closed; `done`: it came to a good end, and its client is to close it. `streaming`: paths whose calls
    are streams."""

    def __init__(self, streaming: Container[str] = ()) -> None:
        self.streaming = streaming
        # What a client may not say in headers h2 still checks; ours are written here.
        told = h2.config.H2Configuration(
            client_side=False,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
        self.conn = h2.connection.H2Connection(told)
        self.conn.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MOST_STREAMS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MOST_HEADERS,
            },
        )
        self.conn.max_inbound_frame_size = self.conn.local_settings.max_frame_size
        self.conn.initiate_connection()
        self.sieve = GoAwayFilter(PREFACE)
        self.coming: dict[int, Stream] = {}  # the client has not ended it
        self.held = 0  # bytes of messages that are not whole
        self.calls: set[int] = set()  # given out, not answered
        self.flowing: set[int] = set()  # those of them that stream, and were said something
        # What has no window yet: bytes, and trailers once it has ended.
        self.waiting: dict[int, tuple[bytes, list[tuple[bytes, bytes]] | None]] = {}
        self.unsent = 0  # bytes of those
        self.more: list[bytes] = []
        self.last = 0  # highest stream that was taken
        self.draining = self.ending = False  # no more calls are wanted; none is taken
        self.over = self.done = False

    def take(self) -> bytes:
        out = self.conn.data_to_send()
        if self.more:
            out, self.more = out + b"".join(self.more), []
        if self.ending and self.idle:
            self.done = True
        return out

    @property
    def idle(self) -> bool:
        return not (self.coming or self.calls or self.waiting)

    # In

    def receive(self, data: bytes) -> list[Event]:
        told: list[Event] = []
        data, last = self.sieve.feed(data)
        if last is not None:  # the client opens no more streams; what it asked it waits for
            self.ending = True
        try:
            events = self.conn.receive_data(data) if data else []
        except (h2.exceptions.ProtocolError, ValueError, IndexError):  # lost: h2 has written the GOAWAY
            self.over = True
            return self.lost()
        for event in events:
            match event:
                case h2.events.DataReceived():
                    self.data(event, told)
                    if event.stream_ended is not None:
                        self.whole(event.stream_id, told)
                case h2.events.RequestReceived():
                    self.begun(event, told)
                    if event.stream_ended is not None:
                        self.whole(event.stream_id, told)
                case h2.events.TrailersReceived():
                    self.whole(event.stream_id, told)
                case h2.events.StreamReset():
                    self.reset(event.stream_id, told)
                case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                    self.flush()
                case h2.events.PingAckReceived() if event.ping_data == LAST_WORD:
                    self.end()
        return told

    def begun(self, event: h2.events.RequestReceived, told: list[Event]) -> None:
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
                raise RpcError(UNIMPLEMENTED, "messages are not compressed here")
            timeout = read_timeout(headers.get(b"grpc-timeout"))
        except RpcError as err:
            self.refuse(number, err.status, str(err))
            self.stop_reading(number)
            return
        path = headers.get(b":path", b"").decode("ascii", "replace")
        flows = path in self.streaming
        self.coming[number] = Stream(path, timeout, MessageBuffer(MOST_MESSAGE), flows)
        if flows:
            self.calls.add(number)
            told.append(Opened(number, path))

    def data(self, event: h2.events.DataReceived, told: list[Event]) -> None:
        number, length = event.stream_id or 0, event.flow_controlled_length or 0
        if length:
            self.conn.acknowledge_received_data(length, number)
        stream = self.coming.get(number)
        if stream is None:
            return
        data = event.data or b""
        self.held += len(data)
        try:
            stream.messages.feed(data)
            if stream.flows:
                for message in stream.messages.take():
                    self.held -= len(message) + 5
                    told.append(Heard(number, message))
            elif self.held > MOST_COMING and event.stream_ended is None:
                raise RpcError(RESOURCE_EXHAUSTED, f"over {MOST_COMING} bytes of messages that are not whole")
        except RpcError as err:
            self.drop(number)
            if number in self.calls:  # it streams: whoever answers it hears that it is gone
                self.calls.discard(number)
                told.append(Gone(number))
            self.refuse(number, err.status, str(err))
            if event.stream_ended is None:
                self.stop_reading(number)

    def drop(self, number: int) -> Stream | None:
        """No more is wanted of it."""
        stream = self.coming.pop(number, None)
        if stream is not None:
            self.held -= len(stream.messages.data)
        return stream

    def whole(self, number: int | None, told: list[Event]) -> None:
        number = number or 0
        stream = self.drop(number)
        if stream is None:
            return
        if stream.flows:
            if number in self.calls:
                told.append(Done(number))
            return
        try:
            message = stream.messages.only()
        except RpcError as err:
            self.refuse(number, err.status, str(err))
            return
        self.calls.add(number)
        told.append(Call(number, stream.path, message, stream.timeout))

    def reset(self, number: int | None, told: list[Event]) -> None:
        number = number or 0
        self.drop(number)
        self.unsent -= len(self.waiting.pop(number, (b"", None))[0])
        if number in self.calls:
            self.calls.discard(number)
            self.flowing.discard(number)
            told.append(Gone(number))

    def lost(self) -> list[Event]:
        """The connection is gone, and all calls on it."""
        gone: list[Event] = [Gone(number) for number in sorted(self.calls)]
        for each in (self.coming, self.calls, self.flowing, self.waiting):
            each.clear()
        self.held = self.unsent = 0
        return gone

    # Out

    def answer(self, number: int, message: bytes, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """The answer of a call that was given out. One that was called off since gets none."""
        if number not in self.calls:
            return
        self.calls.discard(number)
        self.conn.send_headers(number, [*HEADERS, *headers])
        self.put(number, frame_message(message), [(b"grpc-status", b"0")])

    def say(self, number: int, message: bytes) -> None:
        """One message of a stream that was given out."""
        if number not in self.calls:
            return
        if number not in self.flowing:
            self.flowing.add(number)
            self.conn.send_headers(number, HEADERS)
        self.put(number, frame_message(message), None)

    def fail(self, number: int, status: int, text: str) -> None:
        """Ends a call or a stream that was given out; status 0 ends a stream well."""
        if number not in self.calls:
            return
        self.calls.discard(number)
        unread = self.drop(number) is not None
        if number in self.flowing:
            self.flowing.discard(number)
            self.put(number, b"", [(b"grpc-status", b"%d" % status), (b"grpc-message", percent_encode(text))])
        else:
            self.refuse(number, status, text)
        if unread and number not in self.waiting:
            self.stop_reading(number)

    def refuse(self, number: int, status: int, text: str) -> None:
        with suppress(*CALLED_OFF):  # called off in what was read with it
            self.conn.send_headers(
                number,
                [*HEADERS, (b"grpc-status", b"%d" % status), (b"grpc-message", percent_encode(text))],
                end_stream=True,
            )

    def stop_reading(self, number: int) -> None:
        """What still comes on it is not wanted (RFC 9113, 8.1: a whole answer, then NO_ERROR)."""
        with suppress(*CALLED_OFF):  # it has come already
            self.conn.reset_stream(number, h2.errors.ErrorCodes.NO_ERROR)

    def put(self, number: int, data: bytes, trailers: list[tuple[bytes, bytes]] | None) -> None:
        before, _ = self.waiting.get(number, (b"", None))
        self.unsent += len(data)
        self.waiting[number] = before + data, trailers
        self.pour(number)
        if self.unsent > MOST_WAITING:  # it opens no window and asks on
            self.conn.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.over = True

    def flush(self) -> None:
        for number in list(self.waiting):
            self.pour(number)

    def pour(self, number: int) -> None:
        """Sends what the windows let through."""
        data, trailers = self.waiting[number]
        try:
            while data and (room := self.room(number)) > 0:
                self.conn.send_data(number, data[:room])
                self.unsent -= min(room, len(data))
                data = data[room:]
            if data:
                self.waiting[number] = data, trailers
                return
            del self.waiting[number]
            if trailers is not None:
                self.conn.send_headers(number, trailers, end_stream=True)
        except CALLED_OFF:  # its reset was read with what opened the window
            self.unsent -= len(data)
            self.waiting.pop(number, None)

    def room(self, number: int) -> int:
        return int(min(self.conn.local_flow_control_window(number), self.conn.max_outbound_frame_size))

    def finish(self) -> None:
        """No new calls: those that were taken are answered, then it is done. In two steps (RFC 9113, 6.8):
        the client is told to open no more, and what it had opened before it read that is taken; its answer
        to a PING behind it says that nothing more can come. h2 itself knows only an end at once."""
        if not (self.draining or self.ending):
            self.draining = True
            self.more.append(GoAwayFrame(0, last_stream_id=LAST, error_code=0).serialize())
            self.more.append(PingFrame(0, opaque_data=LAST_WORD).serialize())

    def end(self) -> None:
        if self.draining and not self.ending:
            self.ending = True
            self.more.append(GoAwayFrame(0, last_stream_id=self.last, error_code=0).serialize())
