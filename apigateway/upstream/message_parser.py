"""Parse complete RESP2 messages with one reader of hiredis for the whole process.

A reader keeps what its buffer grew to for as long as it lives, up to twice the largest message. One for each
connection would hold memory that no limit counts, so all streams share one. It is given a complete message
at a time and is empty between two calls.
"""

from __future__ import annotations

from typing import Any

import hiredis


class MessageParseError(Exception):
    """The bytes are not one message."""


class MessageParser:
    """Parses one complete message at a time."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()

    def parse(self, message: bytes) -> Any:
        """Return the value of a complete message; an error reply is a hiredis.ReplyError.

        Raises:
            MessageParseError: The bytes are invalid, or not exactly one message.
        """
        reader = self._reader
        try:
            reader.feed(message)
            value = reader.gets()
        except (hiredis.ProtocolError, MemoryError) as error:
            self._reader = hiredis.Reader()  # the old one fails from now on
            raise MessageParseError(str(error)) from error
        if value is False or reader.has_data():  # what is left would be parsed with another stream's message
            self._reader = hiredis.Reader()
            raise MessageParseError("not exactly one message")
        return value


MESSAGE_PARSER = MessageParser()
