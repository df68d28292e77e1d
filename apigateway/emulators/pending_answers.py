"""The answers of one connection, sent in the order of its pipelined commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Protocol

from apigateway.emulators.ledger_records import AttemptEnd
from apigateway.emulators.timing.timestamped_socket import peer_closed_at


class OnAttemptEnd(Protocol):
    """Called with an attempt's end: its `AttemptEnd`, the value sent, and the time if it is not now."""

    def __call__(self, end_kind: str, value: bytes, ended_at: float = math.nan) -> None:
        """Take the end of the attempt."""


class PendingAnswers:
    """Holds each answer back until the answers before it are written.

    Attributes:
        is_open: Whether the connection is open.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.is_open = True
        self._waiting: deque[PendingAnswer] = deque()
        self._closed_at = math.nan  # when the client closed; the socket cannot tell it after a reset

    def append(self, answer: PendingAnswer) -> None:
        """Add the pending answer of the next command."""
        self._waiting.append(answer)

    def flush(self) -> None:
        """Write all answers that are next in order and ready."""
        while self._waiting and self._waiting[0].reply is not None:
            answer = self._waiting.popleft()
            assert answer.reply is not None
            self._note_close()
            if self.is_open:
                self.writer.write(answer.reply)
            answer.end(answer.end_kind, self._closed_at)
            if answer.is_last:
                self.writer.close()

    def connection_closed(self) -> None:
        """End all commands without an answer, because the client has disconnected."""
        self._note_close()
        self.is_open = False
        for answer in self._waiting:
            answer.end(AttemptEnd.CLOSED, self._closed_at)

    def _note_close(self) -> None:
        """Note when the client closed, if it has: its attempts ended then."""
        if math.isnan(self._closed_at) and not self.writer.transport.is_closing():
            self._closed_at = peer_closed_at(self.writer.get_extra_info("socket"))


class PendingAnswer:
    """The answer to one command.

    Attributes:
        reply: The bytes of the answer; None until it is ready.
        end_kind: How the attempt ends on the socket, an `AttemptEnd`.
        value: The value in the answer.
        is_over: Whether the attempt has ended.
        is_last: Whether the connection is closed after it.
    """

    def __init__(self, connection: PendingAnswers, on_end: OnAttemptEnd) -> None:
        """Add the answer to its connection; `on_end` is called once."""
        self._connection = connection
        self._on_end = on_end
        self.reply: bytes | None = None
        self.end_kind = ""
        self.value = b""
        self.is_over = False
        self.is_last = False
        connection.append(self)

    def write(self, reply: bytes, end_kind: str, value: bytes = b"", is_last: bool = False) -> None:
        """Set the answer, which is sent once all answers before it have been."""
        self.reply = reply
        self.end_kind = end_kind
        self.value = value
        self.is_last = is_last
        self._connection.flush()

    def end(self, end_kind: str, ended_at: float = math.nan) -> None:
        """End the attempt, unless it has ended already."""
        if not self.is_over:
            self.is_over = True
            self._on_end(end_kind, self.value, ended_at)
