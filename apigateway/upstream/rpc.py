"""gRPC over HTTP/2, for either side: status codes, framed messages, time-outs and texts in headers.

Follows the "gRPC over HTTP2" page of gRPC. Pure; loaded where a listener or an outer service speaks gRPC.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Iterator
from urllib.parse import quote, unquote

_MESSAGE_PREFIX_BYTES = 5  # before a message: whether it is compressed, and its length
_MESSAGE_LENGTH_BYTES = 4
_NOT_COMPRESSED = b"\0"
_FRAME_HEADER_BYTES = 9  # of HTTP/2: length, type, flags, stream id
_FRAME_LENGTH_BYTES = 3
_FRAME_TYPE_OFFSET = 3
_MAX_FRAME_BYTES = 16384  # of a frame's body: HTTP/2's default, which is not raised here
_GOAWAY = 7  # HTTP/2's frame type
_GOAWAY_MIN_BYTES = 8  # of its body: the last stream and an error code
_STREAM_ID_BYTES = 4
_STREAM_ID_MASK = 0x7FFFFFFF  # the highest bit is reserved
_MILLISECONDS = 1000  # in a second
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_TIMEOUT_LIMIT = 10**8  # first number that has more than the eight digits allowed
_TIMEOUT_UNITS_S = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
# The characters that grpc-message has as they are.
_UNESCAPED = "".join(chr(code) for code in range(0x20, 0x7F) if chr(code) != "%")


class GrpcStatus(enum.IntEnum):
    """Status codes of gRPC. A peer may send others, which stay plain numbers."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


def status_name(status: int) -> str:
    """Return the name of a status; of an unknown one its number."""
    try:
        return GrpcStatus(status).name
    except ValueError:
        return str(status)


class GoAwayFilter:
    """Takes GOAWAY frames out of a stream of HTTP/2 (RFC 9113, 6.8).

    They say that a peer accepts no more streams, while the present ones go on; h2 takes them for the end of
    the connection. `preface` is what precedes the first frame.
    """

    def __init__(self, preface: bytes = b"") -> None:
        self._partial_frame = b""
        self._preface_left = len(preface)  # bytes before the first frame

    def feed(self, data: bytes) -> tuple[bytes, int | None]:
        """Return the complete frames without GOAWAY, and the last stream that the peer will process.

        The latter is None if no GOAWAY came. An incomplete frame is kept for the next call.
        """
        data = self._partial_frame + data
        last_stream: int | None = None
        position = min(self._preface_left, len(data))
        self._preface_left -= position
        kept: list[bytes] = []
        start = 0
        while len(data) - position >= _FRAME_HEADER_BYTES:
            body = position + _FRAME_HEADER_BYTES
            body_size = int.from_bytes(data[position : position + _FRAME_LENGTH_BYTES], "big")
            if body_size > _MAX_FRAME_BYTES:  # more than is allowed: h2 will report it
                position = len(data)
                break
            end = body + body_size
            if end > len(data):
                break
            if data[position + _FRAME_TYPE_OFFSET] == _GOAWAY and body_size >= _GOAWAY_MIN_BYTES:
                last_stream = int.from_bytes(data[body : body + _STREAM_ID_BYTES], "big") & _STREAM_ID_MASK
                kept.append(data[start:position])
                start = end
            position = end
        kept.append(data[start:position])
        self._partial_frame = data[position:]
        return b"".join(kept) if len(kept) > 1 else kept[0], last_stream


class RpcError(Exception):
    """A call or a response that cannot be read; `status` is the gRPC status that says why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame_message(message: bytes) -> bytes:
    """Return a message with the prefix of one that is not compressed."""
    return _NOT_COMPRESSED + len(message).to_bytes(_MESSAGE_LENGTH_BYTES, "big") + message


def parse_timeout(text: bytes | None) -> float | None:
    """Parse a grpc-timeout header into seconds. Raises RpcError."""
    if text is None:
        return None
    found = _TIMEOUT.fullmatch(text)
    if not found:
        raise RpcError(GrpcStatus.INTERNAL, "odd grpc-timeout")
    return int(found[1]) * _TIMEOUT_UNITS_S[found[2]]


def format_timeout(seconds: float) -> bytes:
    """Format a grpc-timeout header.

    Rounded down to milliseconds, so that the peer gives up no later than the caller; at least one.
    """
    milliseconds = max(1, int(seconds * _MILLISECONDS))
    if milliseconds < _TIMEOUT_LIMIT:
        return b"%dm" % milliseconds
    return b"%dS" % min(milliseconds // _MILLISECONDS, _TIMEOUT_LIMIT - 1)


def percent_encode(text: str) -> bytes:
    """Encode a text for the grpc-message header."""
    return quote(text, safe=_UNESCAPED).encode()


def percent_decode(text: bytes) -> str:
    """Decode a grpc-message header; what is malformed is replaced."""
    return unquote(text.decode("ascii", "replace"), errors="replace")


class MessageBuffer:
    """Assembles the messages of one stream; each is at most `max_bytes` long."""

    __slots__ = ("data", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.data = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes. Raises RpcError as soon as a prefix shows a message that is rejected."""
        self.data += data
        if len(self.data) < _MESSAGE_PREFIX_BYTES:
            return
        size = self._message_size()
        if size > self.max_bytes:
            raise RpcError(
                GrpcStatus.RESOURCE_EXHAUSTED, f"a message of {size} bytes: {self.max_bytes} at most"
            )
        if self.data[0]:
            raise RpcError(GrpcStatus.UNIMPLEMENTED, "messages are not compressed here")

    def take_messages(self) -> Iterator[bytes]:
        """Yield the complete messages and remove them. Raises RpcError as `feed`."""
        while len(self.data) >= _MESSAGE_PREFIX_BYTES:
            end = _MESSAGE_PREFIX_BYTES + self._message_size()
            if len(self.data) < end:
                return
            message = bytes(self.data[_MESSAGE_PREFIX_BYTES:end])
            del self.data[:end]
            self.feed(b"")
            yield message

    def single_message(self) -> bytes:
        """Return the one message of a stream that has ended.

        Raises RpcError if there is none, part of one, or more.
        """
        if len(self.data) < _MESSAGE_PREFIX_BYTES:
            raise RpcError(GrpcStatus.INTERNAL, "a message that is not whole")
        end = _MESSAGE_PREFIX_BYTES + self._message_size()
        if len(self.data) < end:
            raise RpcError(GrpcStatus.INTERNAL, "a message that is not whole")
        if len(self.data) > end:
            raise RpcError(GrpcStatus.INTERNAL, "more than one message")
        return bytes(self.data[_MESSAGE_PREFIX_BYTES:])

    def _message_size(self) -> int:
        """Return the first message's size; its prefix has to be complete."""
        return int.from_bytes(self.data[1:_MESSAGE_PREFIX_BYTES], "big")
