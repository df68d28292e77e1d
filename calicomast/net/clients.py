"""The server that clients connect to: reads commands, answers in order, notes clients that left."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from calicomast.net.framing import NO_MESSAGE, Framing, FramingError

MOST_PENDING = 512  # commands of one connection in work; past that it is not read


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("client", "answer", "token")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.answer: bytes | None = None
        self.token: Any = None  # what the handler keeps of a command that it has not answered yet

    def reply(self, answer: bytes) -> None:
        self.answer = answer
        self.client.flush()


class Client(asyncio.Protocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.framing = Framing()
        self.pending: deque[Slot] = deque()
        self.closing = self.broken = self.paused = self.flooded = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.left(self)
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.answer is None:
                self.server.handler.gone(slot)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        self.framing.feed(data)
        try:
            while (command := self.framing.take()) is not NO_MESSAGE:
                slot = Slot(self)
                self.pending.append(slot)
                self.server.handler.command(slot, command)
        except FramingError:
            self.fail(b"-ERR protocol error\r\n")
        self.throttle()

    def fail(self, answer: bytes) -> None:
        """Framing is lost: nothing more is read; what was taken is still answered first."""
        self.closing = self.broken = True
        slot = Slot(self)
        self.pending.append(slot)
        slot.reply(answer)

    def close_when_done(self) -> None:
        """What still comes on it before that is served too: it was taken."""
        self.closing = True
        self.flush()

    def flush(self) -> None:
        pending = self.pending
        while pending and (answer := pending[0].answer) is not None:
            pending.popleft()
            self.transport.write(answer)
        if self.closing and not pending:
            self.transport.close()
        elif self.flooded:
            self.throttle()

    def pause_writing(self) -> None:
        self.paused = True
        self.throttle()

    def resume_writing(self) -> None:
        self.paused = False
        self.throttle()

    def throttle(self) -> None:
        """A client that takes no answers or has too much in work is not read until that is over."""
        flooded = self.paused or len(self.pending) >= MOST_PENDING
        if flooded != self.flooded and not self.transport.is_closing():
            self.flooded = flooded
            self.transport.pause_reading() if flooded else self.transport.resume_reading()


class ClientServer:
    """`handler` has command(slot, command) and gone(slot)."""

    def __init__(self, handler: Any, most: int) -> None:
        self.handler, self.most = handler, most
        self.clients: dict[Client, None] = {}  # in order of their coming
        self.listener: asyncio.Server | None = None
        self.on_empty: Callable[[], None] | None = None

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Client(self), host, port, backlog=1024)
        return self.listener.sockets[0].getsockname()[1]

    def joined(self, client: Client) -> None:
        self.clients[client] = None
        if len(self.clients) > self.most:  # under the descriptor limit: one that is between requests goes
            idle = next((c for c in self.clients if not c.pending and not c.closing), None)
            if idle is not None:
                idle.close_when_done()

    def left(self, client: Client) -> None:
        self.clients.pop(client, None)
        if not self.clients and self.on_empty:
            self.on_empty()

    def finish(self) -> None:
        """No new connections; each one that there is closes once all it asked has been answered."""
        if self.listener:
            self.listener.close()
        for client in list(self.clients):
            client.close_when_done()
