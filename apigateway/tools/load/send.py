"""Sends what is due when it is due, whatever the target does, over RESP2. Open loop: a request whose
connection is not there yet, or whose target stalls, delays no other."""

from __future__ import annotations

import asyncio
import errno
import gc
import time
from collections.abc import Iterator, Sequence
from typing import Any

import hiredis

from apigateway.tools.load.record import Record
from apigateway.tools.load.scenario import ClassPart
from apigateway.tools.load.schedule import US, Due
from apigateway.upstream.address import Address

NEAR = 0.0015  # s before something is due from which on the loop is not left to its timer, which ticks in ms
AT_ONCE = 64  # requests begun in one turn of the loop, so that answers are read between
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


def bulk(part: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(part), part)


def message(due: Due, kind: ClassPart) -> bytes:
    """The platform's protocol page, Clients to api gateways."""
    terms = (
        f"c={due.cls},t={due.plan},d={int(kind.wait * 1000)},units={due.units:g},spread={due.spread},"
        f"first={due.first}"
    ) + f",k={due.id}" * (kind.effect == "keyed")
    write = kind.effect != "safe"
    parts = [b"API.WRITE" if write else b"API.READ", due.employer.encode(), due.id.encode(), terms.encode()]
    parts += [b"BODY"] * write
    return b"*%d\r\n%s" % (len(parts), b"".join(bulk(part) for part in parts))


def outcome(reply: Any) -> str:
    if isinstance(reply, bytes) or (isinstance(reply, list) and reply and isinstance(reply[0], bytes)):
        return "served"
    refused = isinstance(reply, hiredis.ReplyError) and str(reply).split()[:1] == ["BUSY"]
    return "refused" if refused else "failed"


class Asked:
    """One request that was begun. It comes to one outcome."""

    __slots__ = ("due", "data", "timer", "line", "over", "again")

    def __init__(self, due: Due, data: bytes) -> None:
        self.due, self.data = due, data
        self.timer: asyncio.TimerHandle | None = None
        self.line: Line | None = None
        self.over = False
        self.again = False  # it was on a kept connection that ended


class Line(asyncio.Protocol):
    """A kept connection with one request on it at a time."""

    def __init__(self, target: Target) -> None:
        self.target, self.asked = target, None
        self.parser = hiredis.Reader(notEnoughData=...)
        self.used = 0
        self.transport: asyncio.Transport

    asked: Asked | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.target.lines.add(self)

    def ask(self, asked: Asked) -> None:
        self.asked, asked.line = asked, self
        self.transport.write(asked.data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (reply := self.parser.gets()) is not ...:
                asked, self.asked = self.asked, None
                if asked is None:  # an answer too many: nothing more on it can be told apart
                    self.target.sender.record.surplus += 1
                    self.transport.abort()
                    return
                self.used += 1
                self.target.sender.ended(asked, outcome(reply))
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if self.asked is None and not self.transport.is_closing():
            self.target.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.target.lines.discard(self)
        if self in self.target.idle:
            self.target.idle.remove(self)
        asked, self.asked = self.asked, None
        if asked is None:
            return
        # A gateway may close a connection between requests; what crosses that is asked once more.
        if self.used and not asked.again and not asked.over and not self.target.sender.closing:
            asked.again, asked.line = True, None
            self.target.open(asked)
        else:
            self.target.sender.ended(asked, "lost")


class Target:
    def __init__(self, sender: Sender, address: Address) -> None:
        self.sender, self.address = sender, address
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.opening: set[asyncio.Task[None]] = set()

    def ask(self, asked: Asked) -> None:
        if self.idle:
            self.idle.pop().ask(asked)
        else:
            self.open(asked)

    def open(self, asked: Asked) -> None:
        task = asyncio.get_running_loop().create_task(self.connect(asked))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def connect(self, asked: Asked) -> None:
        try:
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(lambda: Line(self), *self.address)
        except OSError as err:
            if err.errno in NO_DESCRIPTOR:  # the generator's own want, and no fault of the target's
                self.sender.record.short += 1
            self.sender.ended(asked, "unsent")
            return
        if asked.over:  # its time ran out while it waited for the connection, which others can use
            self.idle.append(line)
        else:
            line.ask(asked)


class Sender:
    """One process's part of a run. `dues` in order of time."""

    def __init__(
        self, dues: Iterator[Due], classes: dict[str, ClassPart], targets: Sequence[Address]
    ) -> None:
        self.dues, self.classes, self.record = dues, classes, Record()
        self.targets = [Target(self, address) for address in targets]
        self.told = asyncio.Event()  # to stop
        self.out = 0
        self.idle = asyncio.Event()
        self.closing = False
        self.began = 0.0

    async def run(self, start: float | None = None) -> Record:
        """Until all that is due has come to an outcome; or, once `stop` was called, all that was begun.
        `start`: by the monotonic clock; None: now. Collections of garbage wait till the end: they are pauses
        of the generator's own."""
        gc.collect()
        gc.freeze()
        gc.disable()
        try:
            self.began = time.monotonic() if start is None else start
            await self.send()
            self.record.end = time.monotonic() - self.began if self.told.is_set() else self.record.end
            while self.out:
                self.idle.clear()
                await self.idle.wait()
        finally:
            gc.enable()
            gc.unfreeze()
            self.close()
        return self.record

    async def send(self) -> None:
        begun = 0
        for due in self.dues:
            at = self.began + due.at / US
            while not self.told.is_set() and (left := at - time.monotonic()) > 0:
                if left > NEAR:
                    try:
                        async with asyncio.timeout(left - NEAR):
                            await self.told.wait()
                    except TimeoutError:
                        pass
                else:
                    await asyncio.sleep(0)
                begun = 0
            if self.told.is_set():
                return
            self.begin(due)
            begun += 1
            if begun >= AT_ONCE:
                begun = 0
                await asyncio.sleep(0)
            self.record.end = due.at / US

    def begin(self, due: Due) -> None:
        kind = self.classes[due.cls]
        asked = Asked(due, message(due, kind))
        self.out += 1
        late = self.late(due)
        self.record.began(late)
        left = kind.wait - late / US  # its client's time began when it was due
        asked.timer = asyncio.get_running_loop().call_later(max(0.0, left), self.given_up, asked)
        self.targets[due.gateway % len(self.targets)].ask(asked)

    def late(self, due: Due) -> int:
        return int((time.monotonic() - self.began) * US) - due.at

    def given_up(self, asked: Asked) -> None:
        """Its client's time is over."""
        line = asked.line
        self.ended(asked, "lost")
        if line is not None and line.asked is asked:  # what still comes on it would be taken for another's
            line.asked = None
            line.transport.abort()

    def ended(self, asked: Asked, outcome: str) -> None:
        """The one place where a request comes to its outcome."""
        if asked.over:
            return
        asked.over = True
        if asked.timer is not None:
            asked.timer.cancel()
        due = asked.due
        self.record.note(due.at, due.cls, due.plan, outcome, self.late(due))
        self.out -= 1
        if not self.out:
            self.idle.set()

    def stop(self) -> None:
        """Begins nothing more; what was begun comes to its outcome."""
        self.told.set()

    def close(self) -> None:
        self.closing = True
        for target in self.targets:
            for task in list(target.opening):
                task.cancel()
            for line in list(target.lines):
                line.transport.abort()
