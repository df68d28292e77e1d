"""Calls to the counter: pipelined over a few kept connections, each name on one of them."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections import deque
from collections.abc import Callable
from time import monotonic

from apigateway.upstream.address import Address

LINES = 4  # connections, so that a part that is slow does not hold up the names of the others
KEEP_ALIVE = 2.0  # s without a call after which a `ping`, which costs nothing, keeps a connection open
CHECK = 0.25  # s between looks for silent and idle connections
SILENT = 0.5  # s without an answer that was due, after which a connection is held dead and made anew; where
# calls have longer than that, twice their time
BACKOFF_LEAST, BACKOFF_MOST = 0.05, 1.0  # s between tries to connect
PING = -1  # in place of a name
MOST_LINE = 4096  # bytes of an answer
TOTAL = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?(e[+-]?[0-9]{1,2})?")  # float() takes nan and 1_0 too

log = logging.getLogger(__name__)

Done = Callable[[int, str, float, float], None]  # name, result, total, elapsed


class Call:
    __slots__ = ("name", "done", "started", "timer")

    def __init__(self, name: int, done: Done | None) -> None:
        self.name, self.done, self.started = name, done, monotonic()
        self.timer: asyncio.TimerHandle | None = None

    def end(self, result: str, total: float = 0.0) -> None:
        """Reports once. What comes after a time-out only keeps the place in the order of answers."""
        if self.timer is not None:
            self.timer.cancel()
        done, self.done = self.done, None
        if done is not None:
            done(self.name, result, total, monotonic() - self.started)


class Line(asyncio.Protocol):
    """One connection, made again whenever it is lost."""

    def __init__(self, address: Address, up: Callable[[Line], None], silent: float) -> None:
        self.address, self.up, self.task = address, up, asyncio.get_running_loop().create_task(self.keep())
        self.silent = silent
        self.retired = False  # another took its place: it ends with the last answer that it waits for
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()  # written and not answered
        self.rest, self.blocked, self.used = b"", False, 0.0
        self.lost = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # pause_writing then tells at once that the socket did not take a whole call.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        self.rest, self.blocked, self.used = b"", False, monotonic()
        self.up(self)

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        calls, self.calls = self.calls, deque()
        for call in calls:  # written, so each may have been added
            call.end("timeout")
        self.lost.set()

    def retire(self) -> None:
        self.retired = True
        if not self.calls:
            self.close()

    def close(self) -> None:
        self.task.cancel()
        self.abort()

    def write(self, call: Call, text: bytes) -> bool:
        """False if nothing of it was written."""
        if self.transport is None or self.blocked or self.transport.is_closing():
            return False
        self.calls.append(call)
        self.used = call.started
        self.transport.write(text)
        return True

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if not self.answer(line.split()):
                self.spoilt(line)
                return
        if len(self.rest) > MOST_LINE:
            self.spoilt(self.rest)
        elif self.retired and not self.calls:
            self.close()

    def answer(self, words: list[bytes]) -> bool:
        if not self.calls or not words or (words[0] == b"pong") != (self.calls[0].name == PING):
            return False
        if words[0] == b"ok" and len(words) == 2:
            if not TOTAL.fullmatch(words[1]):
                return False
            self.calls.popleft().end("ok", float(words[1]))
        elif words[0] in (b"busy", b"error"):
            self.calls.popleft().end("full")
        elif words[0] == b"pong":
            self.calls.popleft().end("ok")
        else:
            return False
        return True

    def spoilt(self, text: bytes) -> None:
        """An answer that cannot be read: its call was added, and nothing behind it can be told apart."""
        log.warning("counter: unexpected answer %r", text[:80])
        if self.calls and self.calls[0].name != PING:
            self.calls.popleft().end("spoilt")
        self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def check(self) -> None:
        now = monotonic()
        if self.calls and now - self.calls[0].started > self.silent:
            # A machine that vanished says nothing, and its connections stay open for good.
            log.warning("counter: no answer for %.1f s, connecting again", self.silent)
            self.abort()
        elif not self.calls and not self.retired and now - self.used > KEEP_ALIVE:
            self.write(Call(PING, None), b"ping\r\n")

    async def keep(self) -> None:
        loop, pause = asyncio.get_running_loop(), BACKOFF_LEAST
        while not self.retired:
            self.lost.clear()
            try:
                async with asyncio.timeout(1.0):
                    await loop.create_connection(lambda: self, *self.address)
            except (OSError, TimeoutError):
                await asyncio.sleep(pause)
                pause = min(BACKOFF_MOST, 2 * pause)
                continue
            made = monotonic()
            await self.lost.wait()
            if monotonic() - made < BACKOFF_MOST:  # accepted, then closed: no reason to hurry
                await asyncio.sleep(pause)
                pause = min(BACKOFF_MOST, 2 * pause)
            else:
                pause = BACKOFF_LEAST


class Counter:
    def __init__(self, address: Address, timeout: float) -> None:
        self.timeout, self.address = timeout, address
        self.lines: list[Line] = []
        self.next: dict[int, Line] = {}  # by their place: lines to a new address until they are up
        self.old: set[Line] = set()  # lines to an old address until their last answer
        self.task: asyncio.Task[None] | None = None
        self.heard = asyncio.Event()  # some line has come up

    def start(self) -> None:
        self.lines = [self.line() for _ in range(LINES)]
        self.task = asyncio.get_running_loop().create_task(self.checks())

    def line(self) -> Line:
        return Line(self.address, self.came_up, max(SILENT, 2 * self.timeout))

    def move(self, address: Address) -> None:
        """The counter is elsewhere. Each line is used until the one that replaces it is up."""
        self.address = address
        for line in self.next.values():
            line.close()
        self.next = {place: self.line() for place in range(LINES)}

    async def some_line(self, seconds: float) -> bool:
        """Waits until any line has come up, for `seconds` at most."""
        try:
            async with asyncio.timeout(seconds):
                await self.heard.wait()
        except TimeoutError:
            return False
        return True

    def came_up(self, line: Line) -> None:
        self.heard.set()
        for place in [place for place, new in self.next.items() if new is line]:
            replaced, self.lines[place] = self.lines[place], self.next.pop(place)
            self.old.add(replaced)
            replaced.retire()

    async def checks(self) -> None:
        while True:
            await asyncio.sleep(CHECK)
            for line in [*self.lines, *self.old]:
                line.check()
            self.old = {line for line in self.old if line.calls}

    def add(self, name: int, amount: float, lifetime: float, done: Done) -> None:
        call = Call(name, done)
        text = b"incr %d %s %d\r\n" % (name, f"{amount:.7g}".encode(), max(1, math.ceil(lifetime * 1000)))
        loop = asyncio.get_running_loop()
        # One line a name keeps its answers in order. Another stands in while that one is being made again, as
        # it is after each answer that cannot be read.
        place = name % LINES
        if any(line.write(call, text) for line in self.lines[place:] + self.lines[:place]):
            call.timer = loop.call_later(self.timeout, call.end, "timeout")
        else:
            loop.call_soon(call.end, "connect_failed")

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for line in [*self.lines, *self.next.values(), *self.old]:
            line.close()
