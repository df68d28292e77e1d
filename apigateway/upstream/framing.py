"""Cuts a RESP2 stream into messages.

Lengths are checked here before anything relies on them. hiredis makes room for `*1000000000` at once, and
giving that back takes it a second of CPU; nor does it check that CRLF stands behind a string. So it gets
whole messages only, whose framing was found to hold.
"""

from __future__ import annotations

import re
from typing import Any

import hiredis

MAX_BODY_BYTES = 64 * 1024  # of a value or body, by the protocol
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 4096  # framing included: one without end must not fill memory
MAX_ARRAY_PARTS = 64  # no message of the protocol has more than five
MAX_LINE_BYTES = 1024  # of a line, among them the error line with a load report
MAX_LENGTH_DIGITS = 9  # of a length: Python's int() would take thousands
NO_MESSAGE: Any = object()
"""What `Framing.next_message` returns while more bytes are needed; None and False are values."""

_CRLF = b"\r\n"
_CR = _CRLF[0]
_LF = _CRLF[1]
_ARRAY = ord("*")
_BULK_STRING = ord("$")
_TYPES_WITH_LENGTH = b"$*"
_TYPES = b"$*+-:"
_NULL_LENGTH = b"-1"
_ZERO = ord("0")
_ONE = ord("1")
_NINE = ord("9")
_MIN_HEADER_BYTES = 2  # the type and one digit
_ARRAY_HEADER_SEARCH_END = 4  # index before which an array's CRLF starts: a count of at most two digits
_BULK_HEADER_SEARCH_BYTES = 8  # a type, a length of five digits, which MAX_BODY_BYTES has, and CRLF
# An array of four strings, or the first four of five, in one match: the commands that clients send. Each
# bounded, as a match may be tried again with each byte that comes. Whether the lengths hold is checked after.
_COMMAND = re.compile(
    rb"\*([45])\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n"
    rb"\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]{0,2})\r\n([^\r]{1,999})\r\n"
)


def encode_bulk_string(data: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


class FramingError(Exception):
    """The bytes are no RESP message that anyone here can use; nothing behind them can be read."""


class Framing:
    """Cuts a stream into messages: simple lines, strings, and arrays of both.

    `buffer` holds the bytes that are not yet part of a returned message.
    """

    __slots__ = ("buffer", "_position", "_parts_left", "_reader")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._position = 0  # where the next part of the first message begins
        self._parts_left = 1  # parts of the first message still to come
        self._reader = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.buffer += data

    def next_message(self) -> Any:
        """Return the next message, or NO_MESSAGE; an error reply is a hiredis.ReplyError.

        Raises FramingError.
        """
        if not self._position and (parts := self._take_array()) is not None:
            return parts
        end = self._message_end()
        if not end:
            return NO_MESSAGE
        try:
            self._reader.feed(bytes(self.buffer[:end]))
            message = self._reader.gets()
        except (hiredis.ProtocolError, MemoryError) as error:
            raise FramingError(str(error)) from error
        del self.buffer[:end]
        self._position = 0
        self._parts_left = 1
        return message

    def _take_array(self) -> list[bytes | None] | None:
        """Take an array of strings, the usual message, in one pass where it is here whole and sound.

        None: it is another kind, is not whole or is malformed, which `_message_end` finds out.
        """
        buffer = self.buffer
        found = _COMMAND.match(buffer)
        if found is not None:
            count, length1, first, length2, second, length3, third, length4, fourth = found.groups()
            if (
                len(first) == int(length1)
                and len(second) == int(length2)
                and len(third) == int(length3)
                and len(fourth) == int(length4)
            ):
                if count == b"4":
                    del buffer[: found.end()]
                    return [first, second, third, fourth]
                return self._take_strings([first, second, third, fourth], 1, found.end())
        line_end = buffer.find(_CRLF, 1, _ARRAY_HEADER_SEARCH_END)
        if line_end < _MIN_HEADER_BYTES or buffer[0] != _ARRAY or not _ONE <= buffer[1] <= _NINE:
            return None
        digits = buffer[1:line_end]
        part_count = int(digits) if digits.isdigit() else MAX_ARRAY_PARTS + 1
        return self._take_strings([], part_count, line_end + 2) if part_count <= MAX_ARRAY_PARTS else None

    def _take_strings(
        self, parts: list[bytes | None], count: int, position: int
    ) -> list[bytes | None] | None:
        """Add the `count` strings from `position` on to `parts`, and remove the message from the buffer."""
        buffer = self.buffer
        find = buffer.find
        available = len(buffer)
        for _ in range(count):
            line_end = find(_CRLF, position, position + _BULK_HEADER_SEARCH_BYTES)
            if line_end < 0 or buffer[position] != _BULK_STRING:
                return None
            digits = buffer[position + 1 : line_end]
            if not digits.isdigit() or (digits[0] == _ZERO and len(digits) > 1):
                if digits != _NULL_LENGTH:
                    return None
                parts.append(None)
                position = line_end + 2
                continue
            begin = line_end + 2
            end = begin + int(digits)
            if end + 2 > available or buffer[end] != _CR or buffer[end + 1] != _LF:
                return None
            if end - begin > MAX_BODY_BYTES:
                return None
            parts.append(bytes(buffer[begin:end]))
            position = end + 2
        if position > MAX_MESSAGE_BYTES:
            return None
        del buffer[:position]
        return parts

    def _message_end(self) -> int:
        """Return the first message's length; 0 while it is not whole.

        Reads no byte twice but those of a line. Raises FramingError.
        """
        buffer = self.buffer
        available = len(buffer)
        while self._parts_left:
            start = self._position
            if start >= available:
                break
            kind = buffer[start]
            line_end = buffer.find(_CRLF, start, start + MAX_LINE_BYTES)
            if kind not in _TYPES:
                raise FramingError("unknown type")
            if line_end < 0:
                if available - start >= MAX_LINE_BYTES:
                    raise FramingError("a line without end")
                break
            self._position = line_end + 2
            self._parts_left -= 1
            if kind in _TYPES_WITH_LENGTH:
                self._apply_length(kind == _ARRAY, buffer[start + 1 : line_end], start)
            self._check_part(available)
        is_whole = not self._parts_left and self._position <= available
        return self._position if is_whole else 0

    def _apply_length(self, is_array: bool, digits: bytearray, start: int) -> None:
        """Skip a string's bytes, or expect an array's parts; the part begins at `start`."""
        if digits == _NULL_LENGTH:
            return
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise FramingError("a length that is no number")
        length = int(digits)
        if not is_array:
            if length > MAX_BODY_BYTES + MAX_LINE_BYTES:  # one a little too long can be rejected by itself
                raise FramingError("too long")
            self._position += length + 2
        elif start or length > MAX_ARRAY_PARTS:
            raise FramingError("an array in an array, or too many parts")
        else:
            self._parts_left += length

    def _check_part(self, available: int) -> None:
        """Check the size so far, and that CRLF ends the part if that is among the `available` bytes."""
        if self._position > MAX_MESSAGE_BYTES:
            raise FramingError("too long")
        if self._position <= available and self.buffer[self._position - 2 : self._position] != _CRLF:
            raise FramingError("a length that does not fit")
