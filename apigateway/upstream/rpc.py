"""What gRPC makes of HTTP/2, on either side: status codes, messages with their heads, time-outs and texts in
headers (its "gRPC over HTTP2" page). Pure; loaded where a listener or an outer service speaks gRPC."""

from __future__ import annotations

import re
from collections.abc import Iterator
from urllib.parse import quote, unquote

OK, CANCELLED, UNKNOWN, INVALID_ARGUMENT, DEADLINE_EXCEEDED = 0, 1, 2, 3, 4
NOT_FOUND, RESOURCE_EXHAUSTED, FAILED_PRECONDITION = 5, 8, 9
UNIMPLEMENTED, INTERNAL, UNAVAILABLE = 12, 13, 14
NAMES = {
    0: "OK",
    1: "CANCELLED",
    2: "UNKNOWN",
    3: "INVALID_ARGUMENT",
    4: "DEADLINE_EXCEEDED",
    5: "NOT_FOUND",
    6: "ALREADY_EXISTS",
    7: "PERMISSION_DENIED",
    8: "RESOURCE_EXHAUSTED",
    9: "FAILED_PRECONDITION",
    10: "ABORTED",
    11: "OUT_OF_RANGE",
    12: "UNIMPLEMENTED",
    13: "INTERNAL",
    14: "UNAVAILABLE",
    15: "DATA_LOSS",
    16: "UNAUTHENTICATED",
}
HEAD = 5  # bytes before a message: whether it is compressed, and its length
FRAME, MOST_FRAME, GOAWAY = 9, 16384, 7  # bytes of its head, of its body; a type
TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
TEXT = "".join(chr(n) for n in range(0x20, 0x7F) if chr(n) != "%")  # what grpc-message has as it is


class Sieve:
    """Takes GOAWAY frames out of a stream of HTTP/2 (RFC 9113, 6.8). They say that a peer opens or takes no
    more streams, and those that there are go on; h2 has them for the end of the connection."""

    def __init__(self, preface: bytes = b"") -> None:
        self.rest, self.preface = b"", len(preface)  # bytes before the first frame

    def feed(self, data: bytes) -> tuple[bytes, int | None]:
        """What is left of it, and the last stream that the peer will look at; None: it said nothing of it."""
        data, last = self.rest + data, None
        at, kept = min(self.preface, len(data)), []
        self.preface -= at
        start = 0
        while len(data) - at >= FRAME:
            end = at + FRAME + int.from_bytes(data[at : at + 3], "big")
            if end - at > FRAME + MOST_FRAME:  # nothing that was allowed: h2 will say so
                at = len(data)
                break
            if end > len(data):
                break
            if data[at + 3] == GOAWAY and end - at >= FRAME + 8:
                last = int.from_bytes(data[at + FRAME : at + FRAME + 4], "big") & 0x7FFFFFFF
                kept.append(data[start:at])
                start = end
            at = end
        kept.append(data[start:at])
        self.rest = data[at:]
        return b"".join(kept) if len(kept) > 1 else kept[0], last


class Refused(Exception):
    """Why a call cannot be taken, or an answer be read: a gRPC status and a text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def framed(message: bytes) -> bytes:
    return b"\0" + len(message).to_bytes(4, "big") + message


def read_timeout(text: bytes | None) -> float | None:
    """Seconds. Raises Refused."""
    if text is None:
        return None
    found = TIMEOUT.fullmatch(text)
    if not found:
        raise Refused(INTERNAL, "odd grpc-timeout")
    return int(found[1]) * UNITS[found[2]]


def write_timeout(seconds: float) -> bytes:
    """Rounded down to ms, so that the peer gives up no later than is waited; one ms at least."""
    ms = max(1, int(seconds * 1000))
    return b"%dm" % ms if ms < 10**8 else b"%dS" % min(ms // 1000, 10**8 - 1)


def quoted(text: str) -> bytes:
    return quote(text, safe=TEXT).encode()


def unquoted(text: bytes) -> str:
    return unquote(text.decode("ascii", "replace"), errors="replace")


class Messages:
    """The messages of one stream, put together. Each is at most `most` bytes."""

    __slots__ = ("data", "most")

    def __init__(self, most: int) -> None:
        self.data, self.most = bytearray(), most

    def feed(self, data: bytes) -> None:
        """Raises Refused as soon as a head shows what cannot be taken."""
        self.data += data
        if len(self.data) < HEAD:
            return
        size = int.from_bytes(self.data[1:HEAD], "big")
        if size > self.most:
            raise Refused(RESOURCE_EXHAUSTED, f"a message of {size} bytes: {self.most} at most")
        if self.data[0]:
            raise Refused(UNIMPLEMENTED, "messages are not compressed here")

    def take(self) -> Iterator[bytes]:
        """Those that are whole. Raises Refused as `feed`."""
        while len(self.data) >= HEAD:
            end = HEAD + int.from_bytes(self.data[1:HEAD], "big")
            if len(self.data) < end:
                return
            message = bytes(self.data[HEAD:end])
            del self.data[:end]
            self.feed(b"")
            yield message

    def only(self) -> bytes:
        """The one message of a stream that has ended. Raises Refused if there is none, half of one, or
        more."""
        if len(self.data) < HEAD or len(self.data) < HEAD + int.from_bytes(self.data[1:HEAD], "big"):
            raise Refused(INTERNAL, "a message that is not whole")
        if len(self.data) > HEAD + int.from_bytes(self.data[1:HEAD], "big"):
            raise Refused(INTERNAL, "more than one message")
        return bytes(self.data[HEAD:])
