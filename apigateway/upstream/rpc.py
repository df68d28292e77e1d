"""gRPC over HTTP/2 for clients and servers: status codes, message framing, timeouts and status messages.

Follows gRPC's "gRPC over HTTP2" specification and does no I/O. It is imported only if a listener or an
external service uses gRPC.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Iterator
from urllib.parse import quote, unquote

_MESSAGE_PREFIX_BYTES = 5  # compressed flag and message length
_MESSAGE_LENGTH_BYTES = 4
_NOT_COMPRESSED = b"\0"
_FRAME_HEADER_BYTES = 9  # of an HTTP/2 frame: length, type, flags, stream id
_FRAME_LENGTH_BYTES = 3
_FRAME_TYPE_OFFSET = 3
_MAX_FRAME_BYTES = 16384  # of a frame's payload: the default of HTTP/2, which the gateway does not raise
_GOAWAY = 7  # HTTP/2 frame type
_GOAWAY_MIN_BYTES = 8  # of the payload: the last stream id and an error code
_STREAM_ID_BYTES = 4
_STREAM_ID_MASK = 0x7FFFFFFF  # the highest bit is reserved
_MILLISECONDS_PER_SECOND = 1000
_TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,8})([HMSmun])")
_TIMEOUT_LIMIT = 10**8  # first number with more than the eight digits allowed
_TIMEOUT_UNITS_S = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
# The characters that are not percent-encoded in grpc-message.
_UNESCAPED = "".join(chr(code) for code in range(0x20, 0x7F) if chr(code) != "%")


class GrpcStatus(enum.IntEnum):
    """Status codes of gRPC. Other codes that a peer sends are kept as plain numbers."""

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
    """Return the name of a status, or its number if it is unknown."""
    try:
        return GrpcStatus(status).name
    except ValueError:
        return str(status)


class GoAwayFilter:
    """Removes GOAWAY frames from an HTTP/2 byte stream (RFC 9113, 6.8).

    A GOAWAY frame states that the peer accepts no more streams, while existing streams continue. h2 would
    treat it as the end of the connection. `preface` precedes the first frame.
    """

    def __init__(self, preface: bytes = b"") -> None:
        self._partial_frame = b""
        self._preface_left = len(preface)  # bytes before the first frame

    def feed(self, data: bytes) -> tuple[bytes, int | None]:
        """Return the complete frames except GOAWAY, and the last stream that the peer will process.

        The latter is None if there was no GOAWAY frame. An incomplete frame is kept for the next call.
        """
        data = self._partial_frame + data
        last_stream: int | None = None
        position = min(self._preface_left, len(data))
        self._preface_left -= position
        kept: list[bytes] = []
        start = 0
        while len(data) - position >= _FRAME_HEADER_BYTES:
            payload = position + _FRAME_HEADER_BYTES
            payload_size = int.from_bytes(data[position : position + _FRAME_LENGTH_BYTES], "big")
            if payload_size > _MAX_FRAME_BYTES:  # h2 will report the protocol error
                position = len(data)
                break
            end = payload + payload_size
            if end > len(data):
                break
            if data[position + _FRAME_TYPE_OFFSET] == _GOAWAY and payload_size >= _GOAWAY_MIN_BYTES:
                last_stream = (
                    int.from_bytes(data[payload : payload + _STREAM_ID_BYTES], "big") & _STREAM_ID_MASK
                )
                kept.append(data[start:position])
                start = end
            position = end
        kept.append(data[start:position])
        self._partial_frame = data[position:]
        return b"".join(kept) if len(kept) > 1 else kept[0], last_stream


class RpcError(Exception):
    """A call or a response cannot be processed; `status` is the gRPC status code to report."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame_message(message: bytes) -> bytes:
    """Return a message with the length prefix of an uncompressed message."""
    return _NOT_COMPRESSED + len(message).to_bytes(_MESSAGE_LENGTH_BYTES, "big") + message


def parse_timeout(text: bytes | None) -> float | None:
    """Parse a grpc-timeout header into seconds. Raises RpcError."""
    if text is None:
        return None
    match = _TIMEOUT_PATTERN.fullmatch(text)
    if not match:
        raise RpcError(GrpcStatus.INTERNAL, "odd grpc-timeout")
    return int(match[1]) * _TIMEOUT_UNITS_S[match[2]]


def format_timeout(seconds: float) -> bytes:
    """Format a grpc-timeout header.

    The timeout is rounded down to milliseconds, at least one, so that the peer gives up no later than the
    caller.
    """
    milliseconds = max(1, int(seconds * _MILLISECONDS_PER_SECOND))
    if milliseconds < _TIMEOUT_LIMIT:
        return b"%dm" % milliseconds
    return b"%dS" % min(milliseconds // _MILLISECONDS_PER_SECOND, _TIMEOUT_LIMIT - 1)


def percent_encode(text: str) -> bytes:
    """Encode a text for the grpc-message header."""
    return quote(text, safe=_UNESCAPED).encode()


def percent_decode(text: bytes) -> str:
    """Decode a grpc-message header; malformed sequences are replaced."""
    return unquote(text.decode("ascii", "replace"), errors="replace")


class MessageBuffer:
    """Reassembles the messages of one stream; each may be at most `max_bytes` long."""

    __slots__ = ("data", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.data = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes. Raises RpcError as soon as a prefix announces an unacceptable message."""
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
        """Remove and yield the complete messages. Raises RpcError like `feed`."""
        while len(self.data) >= _MESSAGE_PREFIX_BYTES:
            end = _MESSAGE_PREFIX_BYTES + self._message_size()
            if len(self.data) < end:
                return
            message = bytes(self.data[_MESSAGE_PREFIX_BYTES:end])
            del self.data[:end]
            self.feed(b"")
            yield message

    def single_message(self) -> bytes:
        """Return the message of a stream that has ended with exactly one.

        Raises RpcError if the message is missing or incomplete, or if there are several.
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
        """Return the size of the first message, whose prefix must be complete."""
        return int.from_bytes(self.data[1:_MESSAGE_PREFIX_BYTES], "big")
