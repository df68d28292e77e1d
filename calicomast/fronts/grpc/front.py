"""The gRPC front: sockets to sessions (wire.py), their calls to services."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

from calicomast.core.life import Core
from calicomast.fronts.grpc.wire import INTERNAL, UNIMPLEMENTED, Call, Gone, Session
from calicomast.net.address import Address

IDLE = 120.0  # s without a call after which a connection is closed
STUCK = 5.0  # s without the client taking what is written
SWEEP = 1.0  # s between looks for those

log = logging.getLogger(__name__)


class Asked(Protocol):
    """A call that was taken and is not answered."""

    def gone(self) -> None: ...


# message, time-out in s, what answers, what fails it with a gRPC status: the call, or None if it is over
Method = Callable[[bytes, float | None, Callable[[bytes], None], Callable[[int, str], None]], Asked | None]


class Connection(asyncio.Protocol):
    def __init__(self, front: GrpcFront) -> None:
        self.front, self.session = front, Session()
        self.asked: dict[int, Asked] = {}
        self.reading = False  # calls are being read: what is answered meanwhile is written at the end of that
        self.since = monotonic()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if len(self.front.connections) >= self.front.most:
            self.transport.abort()
            return
        self.front.connections.add(self)
        self.write()

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.left(self)
        self.session.lost()
        asked, self.asked = self.asked, {}
        for one in asked.values():
            one.gone()

    def data_received(self, data: bytes) -> None:
        self.since, self.reading = monotonic(), True
        try:
            for event in self.session.receive(data):
                if isinstance(event, Gone):
                    one = self.asked.pop(event.stream, None)
                    if one is not None:
                        one.gone()
                else:
                    self.call(event)
        except Exception:  # one connection must not take the others along
            log.exception("a call could not be read")
            self.transport.abort()
            return
        finally:
            self.reading = False
        self.write()

    def call(self, call: Call) -> None:
        method = self.front.methods.get(call.path)
        if method is None:
            self.session.fail(call.stream, UNIMPLEMENTED, f"no method {call.path}")
            return

        def answered(message: bytes) -> None:
            self.asked.pop(call.stream, None)
            self.session.answer(call.stream, message)
            self.write()

        def failed(status: int, text: str) -> None:
            self.asked.pop(call.stream, None)
            self.session.fail(call.stream, status, text)
            self.write()

        try:
            one = method(call.message, call.timeout, answered, failed)
        except Exception:
            log.exception("%s failed", call.path)
            self.session.fail(call.stream, INTERNAL, "it failed here")
            return
        if one is not None:
            self.asked[call.stream] = one

    def write(self) -> None:
        if self.reading or self.transport.is_closing():
            return
        data = self.session.take()
        if data:
            self.transport.write(data)
        if self.session.over:
            self.transport.close()

    def pause_writing(self) -> None:
        """Its client does not read: nor is it read, and it ends if that lasts."""
        self.front.stuck[self] = monotonic()
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.front.stuck.pop(self, None)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def finish(self) -> None:
        self.session.finish()
        self.write()


class GrpcFront:
    """One listener of at most `most` connections. `methods` by path."""

    def __init__(self, core: Core, address: Address, most: int) -> None:
        self.core, self.address, self.port, self.most = core, address, address[1], most
        self.methods: dict[str, Method] = {}
        self.connections: set[Connection] = set()
        self.stuck: dict[Connection, float] = {}
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last: asyncio.Future[None] | None = None
        core.join(self)

    async def listen(self, sock: socket.socket | None = None) -> None:
        """At its address, or on `sock`, which listens already."""
        loop = asyncio.get_running_loop()

        def made() -> Connection:
            return Connection(self)

        if sock is not None:
            self.listener = await loop.create_server(made, sock=sock, backlog=1024)
        else:
            self.listener = await loop.create_server(made, *self.address, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        if self.timer is None:
            self.sweep()

    def left(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.stuck.pop(connection, None)
        if not self.connections and self.last is not None and not self.last.done():
            self.last.set_result(None)

    def sweep(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SWEEP, self.sweep)
        now = monotonic()
        for connection in [c for c, since in self.stuck.items() if since < now - STUCK]:
            connection.transport.abort()
        for connection in [c for c in self.connections if c.since < now - IDLE and c.session.idle]:
            connection.finish()

    def watch_door(self) -> None:
        """Checks are shed by the decision module only."""

    def pause(self) -> None:
        """No new connections; those that there are go on."""
        if self.listener is not None:
            self.listener.close()

    def finish(self) -> None:
        """No new connections, no new calls; each connection ends when its calls are answered."""
        self.pause()
        for connection in list(self.connections):
            connection.finish()

    async def drained(self) -> None:
        """Until its last connection has ended."""
        while self.connections:
            self.last = asyncio.get_running_loop().create_future()
            await self.last

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for connection in list(self.connections):
            connection.transport.close()
        self.core.leave(self)

    def use(self, methods: dict[str, Any]) -> None:
        self.methods = dict(methods)
