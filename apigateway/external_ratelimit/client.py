"""One channel to a gRPC server: a connection that is made when it is needed, and made again after a pause
that doubles. Calls are callbacks; no task is made for one."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from apigateway.external_ratelimit.wire import ClientSession, Over
from apigateway.upstream.address import Address, write_address
from apigateway.upstream.rpc import DEADLINE_EXCEEDED, RESOURCE_EXHAUSTED, UNAVAILABLE

CONNECT = 1.0  # s for a connection, TLS included
PAUSE, MOST_PAUSE = 0.05, 5.0  # s between tries of one
AGAIN = 0.02  # s that a call needs to be worth asking a second time

log = logging.getLogger(__name__)

Told = Callable[[int, str, bytes], None]  # gRPC status, text, message


@dataclass(slots=True, eq=False)
class Question:
    path: str
    message: bytes
    until: float
    told: Told
    stream: int = 0
    line: Line | None = None  # None: it waits for one
    tries: int = 0
    over: bool = False
    timer: asyncio.TimerHandle | None = field(default=None)


class Line(asyncio.Protocol):
    def __init__(self, channel: Channel) -> None:
        self.channel, self.session = channel, channel.session()
        self.asked: dict[int, Question] = {}
        self.transport: asyncio.Transport
        self.up = self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.up = transport, True  # type: ignore[assignment]
        self.channel.lines.add(self)
        self.write()

    def data_received(self, data: bytes) -> None:
        told = self.session.receive(data)
        if any(one.ran for one in told):
            self.channel.heard()
        self.ended(told)
        self.write()
        if self.session.closing:
            self.channel.gone(self)
        else:
            self.channel.pour()

    def connection_lost(self, exc: Exception | None) -> None:
        self.up = False
        self.channel.lines.discard(self)
        self.channel.gone(self)
        self.ended(self.session.lost("the connection ended"))

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.channel.pour()

    def ended(self, told: list[Over]) -> None:
        for one in told:
            question = self.asked.pop(one.stream, None)
            if question is not None:
                self.channel.over(question, one)

    def ask(self, question: Question) -> None:
        question.stream = self.session.ask(question.path, question.message, question.until - monotonic())
        question.line, self.asked[question.stream] = self, question

    def room(self) -> int:
        return self.session.room() if self.up and not self.paused else 0

    def write(self) -> None:
        if self.transport.is_closing():
            return
        data = self.session.take()
        if data:
            self.transport.write(data)
        if self.session.over:
            self.transport.close()


class Channel:
    """`context`: TLS, as `name`. At most `most` questions wait for a connection or a stream."""

    def __init__(
        self, address: Address, context: ssl.SSLContext | None = None, name: str = "", most: int = 1000
    ) -> None:
        self.address, self.context, self.name, self.most = address, context, name, most
        self.line: Line | None = None
        self.lines: set[Line] = set()  # that are up, those that take no more among them
        self.waiting: dict[Question, None] = {}
        self.connecting: asyncio.Task[None] | None = None
        self.pause, self.not_before = PAUSE, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.writing = False
        self.closed = False
        self.failures = 0  # connections that were not made
        self.why = ""

    def session(self) -> ClientSession:
        secure = self.context is not None
        return ClientSession(self.name or write_address(self.address), "https" if secure else "http")

    def ask(self, path: str, message: bytes, timeout: float, told: Told) -> Question:
        """`told` is called once, and never before this returned, unless it is called off. `timeout` in
        seconds."""
        loop, question = asyncio.get_running_loop(), Question(path, message, monotonic() + timeout, told)
        question.timer = loop.call_later(timeout, self.late, question)
        if self.closed or len(self.waiting) >= self.most:
            status = UNAVAILABLE if self.closed else RESOURCE_EXHAUSTED
            loop.call_soon(self.end, question, status, "no room for another question", b"")
            return question
        self.waiting[question] = None
        self.soon()
        return question

    def call_off(self, question: Question) -> None:
        self.end(question, -1, "", b"")

    def late(self, question: Question) -> None:
        self.end(question, DEADLINE_EXCEEDED, self.why or "no answer in time", b"")

    def end(self, question: Question, status: int, text: str, message: bytes) -> None:
        """The one place where a question ends."""
        if question.over:
            return
        question.over = True
        if question.timer is not None:
            question.timer.cancel()
        self.waiting.pop(question, None)
        line, question.line = question.line, None
        if line is not None and line.asked.pop(question.stream, None) is not None:
            line.session.call_off(question.stream)
            line.write()
        if status >= 0:
            try:
                question.told(status, text, message)
            except Exception:
                log.exception("an answer could not be taken")

    def over(self, question: Question, one: Over) -> None:
        """What a session told of it. One that the server never looked at is asked once more."""
        question.line = None
        again = not one.ran and question.tries < 2 and question.until - monotonic() > AGAIN
        if again and not self.closed and not question.over:
            self.waiting[question] = None
            self.soon()
            return
        self.end(question, one.status, one.text, one.message)

    # The connection

    def soon(self) -> None:
        """What is asked in one turn of the loop is written together."""
        if not self.writing:
            self.writing = True
            asyncio.get_running_loop().call_soon(self.pour)

    def pour(self) -> None:
        self.writing = False
        line = self.line
        if line is None:
            if self.waiting:
                self.connect()
            return
        room = line.room()
        while self.waiting and room > 0:
            question = next(iter(self.waiting))
            del self.waiting[question]
            question.tries += 1
            line.ask(question)
            room -= 1
        if line.up:
            line.write()
            if line.session.closing:
                self.gone(line)

    def connect(self) -> None:
        if self.connecting is not None or self.closed:
            return
        loop, wait = asyncio.get_running_loop(), self.not_before - monotonic()
        if wait > 0:
            if self.timer is None:
                self.timer = loop.call_later(wait, self.again)
            return
        self.connecting = loop.create_task(self.make())

    def again(self) -> None:
        self.timer = None
        self.pour()

    async def make(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            name = self.name or self.address[0] if self.context is not None else None
            async with asyncio.timeout(CONNECT):
                _, line = await loop.create_connection(
                    lambda: Line(self), *self.address, ssl=self.context, server_hostname=name
                )
        except (OSError, TimeoutError, ssl.SSLError) as err:
            self.failures += 1
            self.why = f"{write_address(self.address)}: {err or 'no connection in time'}"
            self.not_before = monotonic() + self.pause
            self.pause = min(MOST_PAUSE, 2 * self.pause)
        else:
            self.line = line if line.up else None
            # One that ends before it said a word is followed by a pause too.
            self.not_before = monotonic() + self.pause
            self.pause = min(MOST_PAUSE, 2 * self.pause)
            if self.closed:
                line.transport.close()
        finally:
            self.connecting = None
        self.pour()

    def heard(self) -> None:
        """The server answers: the next connection may be made at once."""
        self.pause, self.not_before, self.why = PAUSE, 0.0, ""

    def gone(self, line: Line) -> None:
        """It takes no more questions; those on it are still answered."""
        if self.line is line:
            self.line = None
            if self.waiting:
                self.soon()

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.connecting is not None:
            self.connecting.cancel()
        for question in list(self.waiting):
            self.end(question, UNAVAILABLE, "closed", b"")
        for line in list(self.lines):
            line.transport.close()
