"""The answers of one connection, in the order of its commands (pipelining)."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from apigateway.emulators.ledger_records import AttemptEnd


class PendingAnswers:
    """Holds answers back until those before them are written.

    Attributes:
        is_open: Whether the client is there.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.is_open = True
        self._waiting: deque[PendingAnswer] = deque()

    def append(self, answer: PendingAnswer) -> None:
        """Take the place of a command."""
        self._waiting.append(answer)

    def flush(self) -> None:
        """Write what is due."""
        while self._waiting and self._waiting[0].reply is not None:
            answer = self._waiting.popleft()
            assert answer.reply is not None
            if self.is_open:
                self.writer.write(answer.reply)
            answer.end(answer.how)
            if answer.is_last:
                self.writer.close()

    def connection_closed(self) -> None:
        """End all commands without an answer: their client has gone."""
        self.is_open = False
        for answer in self._waiting:
            answer.end(AttemptEnd.CLOSED)


class PendingAnswer:
    """The answer to one command.

    Attributes:
        reply: Its bytes; None while there are none.
        how: How the attempt ends with it, as seen on the socket.
        value: The value in it.
        is_over: Whether the attempt has ended.
        is_last: Whether the connection ends after it.
    """

    def __init__(self, connection: PendingAnswers, on_end: Callable[[str, bytes], None]) -> None:
        """Take the next place of a connection; `on_end` is called once with `how` and `value`."""
        self._connection = connection
        self._on_end = on_end
        self.reply: bytes | None = None
        self.how = ""
        self.value = b""
        self.is_over = False
        self.is_last = False
        connection.append(self)

    def write(self, reply: bytes, how: str, value: bytes = b"", is_last: bool = False) -> None:
        """Answer the command, once those before it are answered."""
        self.reply = reply
        self.how = how
        self.value = value
        self.is_last = is_last
        self._connection.flush()

    def end(self, how: str) -> None:
        """End the attempt, unless it has ended."""
        if not self.is_over:
            self.is_over = True
            self._on_end(how, self.value)
