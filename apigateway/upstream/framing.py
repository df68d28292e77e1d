"""Where a RESP message ends. Its lengths are checked here before anything believes them.

hiredis makes room for `*1000000000` at once, and giving that back takes it a second of CPU; nor does it look
whether CRLF stands behind a string. So it gets whole messages only, whose framing was found to hold.
"""

from __future__ import annotations

import re
from typing import Any

import hiredis

MOST_BODY = 64 * 1024  # bytes of a value or body, by the protocol
MOST_MESSAGE = MOST_BODY + 4096  # bytes of a message, framing included: one without end must not fill memory
MOST_PARTS = 64  # of an array; no message has more than five
MOST_LINE = 1024  # bytes of a line, among them the error line with a report
MOST_DIGITS = 9  # of a length: Python's int() would take thousands
# An array of four strings, or the first four of five, in one match: the commands that clients send. Each
# bounded, as a match may be tried again with each byte that comes. Whether the lengths hold is looked at
# after.
COMMAND = re.compile(
    rb"\*([45])\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n"
    rb"\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]{0,2})\r\n([^\r]{1,999})\r\n"
)
NO_MESSAGE: Any = object()  # more bytes are needed (None and False are values)


def bulk(data: bytes) -> bytes:
    """A RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


class FramingError(Exception):
    """What came is no RESP message that anyone here can use; nothing behind it can be read."""


class Framing:
    """Cuts a stream into messages: simple lines, strings, and arrays of both."""

    __slots__ = ("buffer", "at", "left", "reader")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at, self.left = 0, 1  # where the next part begins; parts of the message still to come
        self.reader = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def take(self) -> Any:
        """The next message, or NO_MESSAGE. An error reply is a hiredis.ReplyError."""
        if not self.at and (parts := self.array()) is not None:
            return parts
        end = self.end()
        if not end:
            return NO_MESSAGE
        try:
            self.reader.feed(bytes(self.buffer[:end]))
            message = self.reader.gets()
        except (hiredis.ProtocolError, MemoryError) as err:
            raise FramingError(str(err)) from err
        del self.buffer[:end]
        self.at, self.left = 0, 1
        return message

    def array(self) -> list[bytes | None] | None:
        """In one pass an array of strings, the usual message, where it lies here whole and is sound. None:
        it is
        another, goes on, or is odd, which `end` finds out."""
        buffer = self.buffer
        found = COMMAND.match(buffer)
        if found is not None:
            count, n1, first, n2, second, n3, third, n4, fourth = found.groups()
            if (
                len(first) == int(n1)
                and len(second) == int(n2)
                and len(third) == int(n3)
                and len(fourth) == int(n4)
            ):
                if count == b"4":
                    del buffer[: found.end()]
                    return [first, second, third, fourth]
                return self.rest([first, second, third, fourth], 1, found.end())
        line = buffer.find(b"\r\n", 1, 4)
        if line < 2 or buffer[0] != 42 or not 49 <= buffer[1] <= 57:
            return None
        many = int(buffer[1:line]) if buffer[1:line].isdigit() else MOST_PARTS + 1
        return self.rest([], many, line + 2) if many <= MOST_PARTS else None

    def rest(self, parts: list[bytes | None], count: int, at: int) -> list[bytes | None] | None:
        """`parts` and `count` more, which begin at `at`; takes them out of the buffer."""
        buffer = self.buffer
        find, have = buffer.find, len(buffer)
        for _ in range(count):
            line = find(b"\r\n", at, at + 8)  # a length of five digits, which MOST_BODY has
            if line < 0 or buffer[at] != 36:
                return None
            digits = buffer[at + 1 : line]
            if not digits.isdigit() or (digits[0] == 48 and len(digits) > 1):
                if digits != b"-1":
                    return None
                parts.append(None)
                at = line + 2
                continue
            begin = line + 2
            end = begin + int(digits)
            if end + 2 > have or buffer[end] != 13 or buffer[end + 1] != 10 or end - begin > MOST_BODY:
                return None
            parts.append(bytes(buffer[begin:end]))
            at = end + 2
        if at > MOST_MESSAGE:
            return None
        del buffer[:at]
        return parts

    def end(self) -> int:
        """The first message's length; 0 while it is not whole. Looks at no byte twice but those of a line."""
        buffer = self.buffer
        have = len(buffer)
        while self.left:
            at = self.at
            if at >= have:
                break
            kind, line = buffer[at], buffer.find(b"\r\n", at, at + MOST_LINE)
            if kind not in b"$*+-:":
                raise FramingError("unknown type")
            if line < 0:
                if have - at >= MOST_LINE:
                    raise FramingError("a line without end")
                break
            self.at, self.left = line + 2, self.left - 1
            if kind in b"$*":
                self.length(kind == 42, buffer[at + 1 : line], at)
            if self.at > MOST_MESSAGE:
                raise FramingError("too long")
            if self.at <= have and buffer[self.at - 2 : self.at] != b"\r\n":
                raise FramingError("a length that does not fit")
        return self.at if not self.left and self.at <= have else 0

    def length(self, array: bool, digits: bytearray, at: int) -> None:
        if digits == b"-1":
            return
        if not digits.isdigit() or len(digits) > MOST_DIGITS:
            raise FramingError("a length that is no number")
        length = int(digits)
        if not array:
            if length > MOST_BODY + MOST_LINE:  # one a little too long can be turned away by itself
                raise FramingError("too long")
            self.at += length + 2
        elif at or length > MOST_PARTS:
            raise FramingError("an array in an array, or too many parts")
        else:
            self.left += length
