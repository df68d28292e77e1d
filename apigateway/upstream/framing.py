"""Split a RESP2 stream into messages.

The framing is validated here before hiredis parses a message. hiredis allocates memory for `*1000000000` at
once, and freeing it takes a second of CPU. It also does not check that a string ends with CRLF. It is
therefore given only complete messages with valid framing.
"""

from __future__ import annotations

import re
from sys import getsizeof
from typing import Any

from apigateway.upstream.message_parser import MESSAGE_PARSER, MessageParseError

MAX_BODY_BYTES = 64 * 1024  # of a value or body, set by the protocol
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 4096  # including framing; bounds the memory for an endless message
MAX_ARRAY_PARTS = 64  # no message of the protocol has more than five
MAX_LINE_BYTES = 1024  # long enough for an error line with a load report
MAX_LENGTH_DIGITS = 9  # Python's int() would accept thousands of digits
NO_MESSAGE: Any = object()
"""Returned by `Framing.next_message` while more bytes are needed; None and False are valid messages."""

_EMPTY_BUFFER_BYTES = getsizeof(bytearray())
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
_BULK_HEADER_SEARCH_BYTES = 8  # a type, a length of five digits, as MAX_BODY_BYTES has, and CRLF
# Matches the commands that clients send: an array of four strings, or the first four of five. Each string is
# bounded, because the match may be repeated for every byte received. The lengths are verified afterwards.
_COMMAND_PATTERN = re.compile(
    rb"\*([45])\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n"
    rb"\$([1-9][0-9]?)\r\n([^\r]{1,99})\r\n\$([1-9][0-9]{0,2})\r\n([^\r]{1,999})\r\n"
)


def encode_bulk_string(data: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


class FramingError(Exception):
    """The bytes are not a usable RESP message, and nothing after them can be parsed."""


class Framing:
    """Splits a stream into messages: simple lines, strings, and arrays of both.

    `buffer` holds the bytes that are not yet part of a returned message.
    """

    __slots__ = ("buffer", "_position", "_parts_left")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._position = 0  # start of the next part of the first message
        self._parts_left = 1  # parts of the first message that have not been scanned

    @property
    def capacity_bytes(self) -> int:
        """The memory of the buffer, which is larger than what it holds."""
        return getsizeof(self.buffer) - _EMPTY_BUFFER_BYTES if self.buffer else 0

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self.buffer += data

    def clear(self) -> None:
        """Drop all received bytes; the next ones begin a message."""
        self.buffer.clear()
        self._position = 0
        self._parts_left = 1

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
            message = MESSAGE_PARSER.parse(bytes(self.buffer[:end]))
        except MessageParseError as error:
            raise FramingError(str(error)) from error
        del self.buffer[:end]
        self._position = 0
        self._parts_left = 1
        return message

    def _take_array(self) -> list[bytes | None] | None:
        """Parse an array of strings, the usual message, in one pass and remove it from the buffer.

        Returns None if the message is of another type, incomplete or malformed. `_message_end` then
        determines which.
        """
        buffer = self.buffer
        match = _COMMAND_PATTERN.match(buffer)
        if match is not None:
            count, length1, first, length2, second, length3, third, length4, fourth = match.groups()
            if (
                len(first) == int(length1)
                and len(second) == int(length2)
                and len(third) == int(length3)
                and len(fourth) == int(length4)
            ):
                if count == b"4":
                    del buffer[: match.end()]
                    return [first, second, third, fourth]
                return self._take_strings([first, second, third, fourth], 1, match.end())
        line_end = buffer.find(_CRLF, 1, _ARRAY_HEADER_SEARCH_END)
        if line_end < _MIN_HEADER_BYTES or buffer[0] != _ARRAY or not _ONE <= buffer[1] <= _NINE:
            return None
        digits = buffer[1:line_end]
        part_count = int(digits) if digits.isdigit() else MAX_ARRAY_PARTS + 1
        return self._take_strings([], part_count, line_end + 2) if part_count <= MAX_ARRAY_PARTS else None

    def _take_strings(
        self, parts: list[bytes | None], count: int, position: int
    ) -> list[bytes | None] | None:
        """Append `count` strings, starting at `position`, to `parts`, and remove the message from the buffer.

        Returns None and removes nothing if the message is incomplete or malformed.
        """
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
        """Return the length of the first message, or 0 while it is incomplete.

        Each call continues where the last one stopped; only an incomplete line is scanned again. Raises
        FramingError.
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
                raise FramingError("unknown message type")
            if line_end < 0:
                if available - start >= MAX_LINE_BYTES:
                    raise FramingError("line too long")
                break
            self._position = line_end + 2
            self._parts_left -= 1
            if kind in _TYPES_WITH_LENGTH:
                self._apply_length(kind == _ARRAY, buffer[start + 1 : line_end], start)
            self._check_part(available)
        is_complete = not self._parts_left and self._position <= available
        return self._position if is_complete else 0

    def _apply_length(self, is_array: bool, digits: bytearray, start: int) -> None:
        """Skip the bytes of a string, or expect the parts of an array, whose header begins at `start`."""
        if digits == _NULL_LENGTH:
            return
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise FramingError("invalid length")
        length = int(digits)
        if not is_array:
            if length > MAX_BODY_BYTES + MAX_LINE_BYTES:  # a slightly longer body can be rejected on its own
                raise FramingError("string too long")
            self._position += length + 2
        elif start or length > MAX_ARRAY_PARTS:
            raise FramingError("nested array, or array with too many parts")
        else:
            self._parts_left += length

    def _check_part(self, available: int) -> None:
        """Check the message size so far and, if the part is complete, that it ends with CRLF."""
        if self._position > MAX_MESSAGE_BYTES:
            raise FramingError("message too long")
        if self._position <= available and self.buffer[self._position - 2 : self._position] != _CRLF:
            raise FramingError("length does not match the data")
