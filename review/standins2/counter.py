"""The counter: adds amounts to named numbers, each of which is forgotten at the end of its life."""

from __future__ import annotations

import asyncio
from time import monotonic

MAX_LIFE_S = 60.0
CALL_WORDS = 4
MILLISECONDS_PER_SECOND = 1000


class Counter:
    """Answers each call at once.

    Attributes:
        port: Where it listens, on 127.0.0.1.
        calls: How many amounts were added.
    """

    def __init__(self) -> None:
        self.port = 0
        self.calls = 0
        self._totals: dict[bytes, tuple[float, float]] = {}  # total and when it is forgotten
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                writer.write(self._answer(line.split()))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, words: list[bytes]) -> bytes:
        if words == [b"ping"]:
            return b"pong\r\n"
        if len(words) != CALL_WORDS or words[0] != b"incr":
            return b"error\r\n"
        _, name, amount, life_ms = words
        now = monotonic()
        total, ends_at = self._totals.get(name, (0.0, 0.0))
        if ends_at <= now:
            total = 0.0
            ends_at = now + min(MAX_LIFE_S, float(life_ms) / MILLISECONDS_PER_SECOND)
        total += float(amount)
        self._totals[name] = total, ends_at
        self.calls += 1
        return b"ok %.7g\r\n" % total
