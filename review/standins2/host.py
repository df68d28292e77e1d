"""A host: runs commands on a few cores, with a waiting room, and answers with value and load report."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from standins2 import resp
from standins2.record import Record

ID_PART = 2
FIELDS_PART = 3
MILLISECONDS_PER_SECOND = 1000


class Attempt:
    """A command at a host, from when its last byte came.

    Attributes:
        event: The attempt's line in the record.
        is_over: Whether its connection has ended, or its answer is written.
    """

    def __init__(self, command: list[bytes], event: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        self.command = command
        self.event = event
        self.writer = writer
        self.is_over = False
        self.fields = resp.fields(command[FIELDS_PART])
        self.request_id = command[ID_PART].decode()


def run_normally(_attempt: Attempt) -> bool:
    """Let the host run every attempt."""
    return False


class Host:
    """Listens on 127.0.0.1 at a free port.

    Args:
        record: Gets a line for each attempt.
        name: Its id in discovery.
        zone: Its zone.
        cell: Its cell.
        cores: How many commands it runs at once.
        work_s: Seconds of one core that a command needs.
        waiting_room: How many commands may wait.

    Attributes:
        take_over: Called with each attempt before it is run; one for which it returns True is left to it.
        started_ms: When it last started, Unix time; 0 for long ago.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        zone: str,
        cell: int,
        cores: int,
        work_s: Callable[[Attempt], float],
        waiting_room: int = 64,
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.cell = cell
        self.cores = cores
        self.work_s = work_s
        self.waiting_room = waiting_room
        self.take_over: Callable[[Attempt], bool] = run_normally
        self.started_ms = 0
        self.port = 0
        self.running = 0
        self._waiting: deque[Attempt] = deque()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def entry(self, state: str = "up", port: int | None = None) -> dict[str, Any]:
        """Return its entry in discovery, with the port of a link to it if one is given."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{port or self.port}",
            "zone": self.zone,
            "kind": "std-4core",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """End as a killed process does: reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._waiting.clear()

    def report(self) -> bytes:
        """Return its load report."""
        busy = min(1.0, self.running / self.cores)
        return b"avg_ms=200,cpu=%.2f,waiting=%d" % (busy, len(self._waiting))

    def answer(self, attempt: Attempt) -> None:
        """Write the value of an attempt, unless its connection has ended."""
        value = b"%s:%s" % (self.name.encode(), attempt.request_id.encode())
        self.write(attempt, b"*3\r\n%s$-1\r\n%s" % (resp.bulk(value), resp.bulk(self.report())), "served")

    def write(self, attempt: Attempt, data: bytes, outcome: str) -> None:
        """Write the answer of an attempt, unless its connection has ended."""
        if attempt.is_over:
            return
        attempt.is_over = True
        attempt.event["end"] = outcome
        attempt.event["ended_at"] = round(self.record.now(), 4)
        attempt.writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        attempts: list[Attempt] = []
        try:
            while (command := await resp.read_command(reader)) is not None:
                attempts = [attempt for attempt in attempts if not attempt.is_over]
                attempts += self._take(command, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for attempt in attempts:
                if not attempt.is_over:
                    attempt.is_over = True
                    attempt.event["end"] = "connection ended"
                    attempt.event["ended_at"] = round(self.record.now(), 4)
            self._writers.discard(writer)
            writer.close()

    def _take(self, command: list[bytes], writer: asyncio.StreamWriter) -> list[Attempt]:
        if not command[0].startswith(b"API."):
            writer.write(b"+PONG\r\n" if command[0] == b"PING" else b"-NOPERM\r\n")
            return []
        names = resp.fields(command[FIELDS_PART])
        event = self.record.add(
            "attempt",
            host=self.name,
            id=command[ID_PART].decode(),
            customer=command[1].decode(),
            service=names["c"],
            d=int(names["d"]),
        )
        attempt = Attempt(command, event, writer)
        if self.take_over(attempt):
            return [attempt]
        if self.running >= self.cores and len(self._waiting) >= self.waiting_room:
            self.write(attempt, b"-BUSY\r\n", "busy")
            return []
        self._waiting.append(attempt)
        self._start_waiting()
        return [attempt]

    def _start_waiting(self) -> None:
        while self._waiting and self.running < self.cores:
            attempt = self._waiting.popleft()
            if attempt.is_over:
                continue
            self.running += 1
            attempt.event["run_at"] = round(self.record.now(), 4)
            asyncio.get_running_loop().call_later(self.work_s(attempt), self._finish, attempt)

    def _finish(self, attempt: Attempt) -> None:
        self.running -= 1
        self.answer(attempt)
        self._start_waiting()


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
