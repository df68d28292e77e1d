"""A stand-in host: RESP2 commands in, values out, with work, cold starts and scripted trouble."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import hiredis

from apigateway.emulators.ledger import Ledger
from apigateway.emulators.listener import Listener
from apigateway.emulators.script import Script, Step

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
BUSY = b"-BUSY\r\n"
ERROR = b"-ERR failed\r\n"
SPOILT = b"?what\r\n*-7\r\n"

Answer = bytes | None | Callable[[], bytes | None]
Command = list[bytes]


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(data), data)


def fields(command: Command) -> dict[str, str]:
    """The names and values of a command, `c=read,t=p,...`; none where there are none."""
    try:
        return dict(pair.split("=", 1) for pair in command[3].decode().split(","))
    except (IndexError, ValueError):
        return {}


class Line:
    """The answers of one connection, in the order of its commands."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer, self.waiting, self.open = writer, deque[Place](), True

    def flush(self) -> None:
        while self.waiting and self.waiting[0].answer is not None:
            place = self.waiting.popleft()
            assert place.answer is not None
            if self.open:
                self.writer.write(place.answer)
            place.end(place.how)
            if place.last:
                self.writer.close()


class Place:
    """One command's place. `ended` is called once: what became of the attempt, as seen on the socket."""

    def __init__(self, line: Line, ended: Callable[[str, bytes], None]) -> None:
        self.line, self.ended, self.how, self.value = line, ended, "", b""
        self.answer: bytes | None = None
        self.over = self.last = False
        line.waiting.append(self)

    def write(self, answer: bytes, how: str, value: bytes = b"", last: bool = False) -> None:
        self.answer, self.how, self.value, self.last = answer, how, value, last
        self.line.flush()

    def end(self, how: str) -> None:
        if not self.over:
            self.over = True
            self.ended(how, self.value)


class StandInHost(Listener):
    """Answers each command by its script; where that says `answer`, with `answer` or what it returns (None:
    silence, b"": the connection ends).

    With `work` (a command's seconds at full capacity) it is a server of `cores` at once and `queue` waiting,
    cold after `restart`: its answers are then made for each id, with a load report, and told to the
    ledger."""

    def __init__(
        self,
        answer: Answer = VALUE,
        *,
        name: str = "h1",
        zone: str = "a",
        cell: int = 0,
        script: Script | None = None,
        work: Callable[[Command], float] | None = None,
        cores: int = 2,
        queue: int = 32,
        cold_share: float = 0.2,
        cold_time: float = 10.0,
        ledger: Ledger | None = None,
        address: str = "127.0.0.1",
    ) -> None:
        super().__init__(address)
        self.answer, self.name, self.zone, self.cell = answer, name, zone, cell
        self.script, self.work, self.cores, self.queue = script or Script(), work, cores, queue
        self.cold_share, self.cold_time, self.ledger = cold_share, cold_time, ledger
        self.commands: list[Any] = []
        self.arrived: asyncio.Queue[Any] = asyncio.Queue()  # each command; None at a connection's end
        self.connections = self.running = 0
        self.line: deque[tuple[float, Place, Command]] = deque()  # work that waits for a core
        self.started = 0.0  # Unix time; 0: long ago
        self.draining = False
        self.lies = False  # it reports that it is empty
        self.behind = 0.0  # s that its reports are old
        self.reports: deque[tuple[float, bytes]] = deque()  # since when each held, as far as one may be told
        self.life = 0

    def entry(self, state: str = "up") -> dict[str, Any]:
        """This host in discovery's form."""
        return {
            "id": self.name,
            "addr": f"{self.address}:{self.port}",
            "zone": self.zone,
            "kind": "std",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": int(self.started * 1000),
        }

    def warmth(self) -> float:
        age = time.time() - self.started
        if not self.started or age >= self.cold_time:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.cold_time

    async def restart(self, down: float = 0.0) -> None:
        """Dies, and comes back cold and empty at its address after `down` seconds."""
        await self.die()
        self.life += 1
        self.running = 0
        self.line.clear()
        await asyncio.sleep(down)
        self.started, self.draining = time.time(), False
        if self.ledger is not None:
            self.ledger.started(self.name, self.cores, self.cold_share, self.cold_time)
        await self.open()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=...)
        line = Line(writer)
        self.connections += 1
        first = 0.0  # when the first byte of the command now coming in was there
        try:
            while data := await reader.read(65536):
                first = first or time.monotonic()
                parser.feed(data)
                while (got := parser.gets()) is not ...:
                    self.commands.append(got)
                    self.arrived.put_nowait(got)
                    if not self.take(got, line, first):
                        return
                    first = 0.0
        finally:
            line.open = False
            for place in line.waiting:
                place.end("closed")
            self.connections -= 1
            self.arrived.put_nowait(None)

    def take(self, command: Any, line: Line, first: float) -> bool:
        """False if the connection is to end."""
        number = -1
        if self.ledger is not None and isinstance(command, list) and command[0].startswith(b"API."):
            told = fields(command)
            number = self.ledger.arrived(
                self.name,
                command[2].decode(),
                told.get("c", ""),
                self.cell,
                self.zone,
                first,
                self.work(command) if self.work else 0.0,
            )

        def ended(how: str, value: bytes) -> None:
            if self.ledger is not None and number >= 0:
                self.ledger.ended(number, how, value)

        place = Place(line, ended)
        if command == [b"PING"]:
            place.write(b"+PONG\r\n", "probe")
            return True
        if command == [b"INFO", b"load"] and self.work is not None:
            place.write(bulk(self.report()), "probe")
            return True
        step = self.script.next(time.monotonic())
        if step.kind == "silent":
            return True
        if step.kind == "reset":
            line.writer.transport.abort()
            return False
        if step.kind == "busy" or self.draining:
            place.write(BUSY, "busy")
        elif step.kind == "error":
            place.write(ERROR, "error")
        elif step.kind == "spoilt":
            place.write(SPOILT, "spoilt")
        elif step.kind == "half":
            place.write(self.made(command)[0][:-5], "half", last=True)
        elif step.kind == "stall":
            asyncio.get_running_loop().call_later(step.delay, self.finish, place, command, self.life)
        elif self.work is not None:
            self.begin(place, command, step)
        else:
            answer = self.answer() if callable(self.answer) else self.answer
            if answer == b"":
                return False
            if answer is not None:
                place.write(answer, "answered")
        return True

    def made(self, command: Command) -> tuple[bytes, bytes]:
        """The answer, and the value in it that no other request gets."""
        if self.work is None:
            answer = self.answer() if callable(self.answer) else self.answer
            return answer or VALUE, b""
        value = b"%s:%s" % (self.name.encode(), command[2])
        return b"*3\r\n%s$-1\r\n%s" % (bulk(value), bulk(self.report())), value

    def report(self) -> bytes:
        held, now = (0, 0) if self.lies else (self.running, len(self.line)), time.monotonic()
        text = b"active=%d,waiting=%d,cpu=%.2f" % (held[0] + held[1], held[1], held[0] / self.cores)
        if not self.behind:
            return text
        self.reports.append((now, text))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.behind:
            self.reports.popleft()
        return self.reports[0][1]

    def begin(self, place: Place, command: Command, step: Step) -> None:
        assert self.work is not None
        if self.running >= self.cores and len(self.line) >= self.queue:
            place.write(BUSY, "busy")
            return
        self.line.append((self.work(command) * step.factor, place, command))
        self.advance()

    def advance(self) -> None:
        while self.line and self.running < self.cores:
            seconds, place, command = self.line.popleft()
            if place.over:  # its client has gone: what waits is dropped, what runs goes on
                continue
            self.running += 1
            asyncio.get_running_loop().call_later(
                seconds / self.warmth(), self.worked, place, command, self.life
            )

    def worked(self, place: Place, command: Command, life: int) -> None:
        if life == self.life:
            self.running -= 1
            self.finish(place, command, life)
            self.advance()

    def finish(self, place: Place, command: Command, life: int) -> None:
        if life == self.life and not place.over:
            answer, value = self.made(command)
            place.write(answer, "answered", value)
