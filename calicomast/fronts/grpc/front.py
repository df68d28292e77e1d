"""The gRPC front: sockets to sessions (wire.py), their calls to services."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable, Mapping
from time import monotonic
from typing import Protocol

from calicomast.core.life import Core
from calicomast.fronts.grpc.wire import Call, Event, Gone, Heard, Opened, Session
from calicomast.net.address import Address
from calicomast.net.rpc import INTERNAL, UNAVAILABLE, UNIMPLEMENTED

IDLE = 120.0  # s without a call after which a connection is closed
STUCK = 5.0  # s without the client taking what is written
HANDSHAKE = 5.0  # s that a client has for TLS
SWEEP = 1.0  # s between looks for those

log = logging.getLogger(__name__)


class Asked(Protocol):
    """A call that was taken and is not answered."""

    def gone(self) -> None: ...


class Flow(Protocol):
    """The server's side of a call that streams."""

    def say(self, message: bytes) -> None: ...

    def end(self, status: int, text: str = "") -> None:
        """Status 0: well."""


class Talk(Protocol):
    """What answers a call that streams."""

    def heard(self, message: bytes) -> None: ...

    def done(self) -> None:
        """The client has said all."""

    def gone(self) -> None: ...


# message, time-out in s, what answers, what fails it with a gRPC status: the call, or None if it is over
Method = Callable[[bytes, float | None, Callable[[bytes], None], Callable[[int, str], None]], Asked | None]
Streams = Callable[[Flow], Talk]


class Side:
    """A Flow."""

    __slots__ = ("line", "stream")

    def __init__(self, line: Connection, stream: int) -> None:
        self.line, self.stream = line, stream

    def say(self, message: bytes) -> None:
        self.line.session.say(self.stream, message)
        self.line.write()

    def end(self, status: int, text: str = "") -> None:
        self.line.asked.pop(self.stream, None)
        self.line.talks.pop(self.stream, None)
        self.line.session.fail(self.stream, status, text)
        self.line.write()


class Connection(asyncio.Protocol):
    def __init__(self, front: GrpcFront) -> None:
        self.front, self.session = front, Session(front.streams)
        self.asked: dict[int, Asked] = {}
        self.talks: dict[int, Talk] = {}  # those of them that stream
        self.reading = False  # calls are being read: what is answered meanwhile is written at the end of that
        self.held = 0  # bytes of half messages, as the front has counted them
        self.since = monotonic()
        self.early, self.made, self.gone = b"", False, False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.made = transport, True  # type: ignore[assignment]
        if self.gone:
            return
        if len(self.front.connections) >= self.front.most:
            self.transport.abort()
            return
        self.front.connections.add(self)
        self.write()
        if self.early:
            self.data_received(self.early)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.front.left(self)
        self.session.lost()
        asked, self.asked, self.talks = self.asked, {}, {}
        for one in asked.values():
            one.gone()

    def data_received(self, data: bytes) -> None:
        if not self.made:  # with TLS a client's first bytes may come before the word that it is up
            self.early += data
            return
        self.since, self.reading = monotonic(), True
        try:
            for event in self.session.receive(data):
                self.happened(event)
        except Exception:  # one connection must not take the others along
            log.exception("a call could not be read")
            self.transport.abort()
            return
        finally:
            self.reading = False
        if self.session.held != self.held and not self.front.holds(self):
            log.warning("half messages of all connections take too much: one is closed")
            self.transport.abort()
            return
        self.write()

    def happened(self, event: Event) -> None:
        if isinstance(event, Call):
            self.call(event)
        elif isinstance(event, Opened):
            talk = self.front.streams[event.path](Side(self, event.stream))
            self.asked[event.stream] = self.talks[event.stream] = talk
        elif isinstance(event, Gone):
            one = self.asked.pop(event.stream, None)
            self.talks.pop(event.stream, None)
            if one is not None:
                one.gone()
        elif event.stream in self.talks:
            talk = self.talks[event.stream]
            talk.heard(event.message) if isinstance(event, Heard) else talk.done()

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
        """Calls that were taken are answered; those that stream without end are ended."""
        for stream, talk in list(self.talks.items()):
            del self.asked[stream], self.talks[stream]
            talk.gone()
            self.session.fail(stream, UNAVAILABLE, "this server ends")
        self.session.finish()
        self.write()


class Greeting(asyncio.Protocol):
    """A connection before TLS. It counts as one of the front's from the first: who says nothing must not
    take more than his part of the descriptors."""

    def __init__(self, front: GrpcFront) -> None:
        self.front = front
        self.transport: asyncio.Transport
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        front = self.front
        if front.context is None or len(front.connections) + len(front.greeting) >= front.most:
            self.transport.abort()
            return
        self.transport.pause_reading()  # the first bytes are for whoever does the handshake
        front.greeting.add(self)
        self.task = asyncio.get_running_loop().create_task(self.shake(front.context))

    async def shake(self, context: ssl.SSLContext) -> None:
        line = Connection(self.front)
        try:
            transport = await asyncio.get_running_loop().start_tls(
                self.transport, line, context, server_side=True, ssl_handshake_timeout=HANDSHAKE)
        except (OSError, ssl.SSLError, TimeoutError, ConnectionError) as err:
            self.front.shaken += 1
            log.info("a TLS handshake failed: %s", err)
            self.transport.abort()
            return
        finally:
            self.front.greeting.discard(self)
            self.front.rest()
        if transport is None:
            return
        line.connection_made(transport)
        if self.front.ended:
            line.finish()


class GrpcFront:
    """One listener of at most `most` connections, which hold at most `most_partial` bytes of half messages.
    `methods` and `streams` by path; `context`: TLS, for connections from now on."""

    def __init__(self, core: Core, address: Address, most: int, most_partial: int = 1 << 24) -> None:
        self.core, self.address, self.port, self.most = core, address, address[1], most
        self.most_partial, self.partial = most_partial, 0
        self.methods: dict[str, Method] = {}
        self.streams: dict[str, Streams] = {}
        self.context: ssl.SSLContext | None = None
        self.connections: set[Connection] = set()
        self.greeting: set[Greeting] = set()
        self.stuck: dict[Connection, float] = {}
        self.shaken = 0  # handshakes that failed
        self.ended = False
        self.ending: Callable[[], None] | None = None  # hears that it takes nothing new
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last: asyncio.Future[None] | None = None
        core.join(self)

    async def listen(self, sock: socket.socket | None = None) -> None:
        """At its address, or on `sock`, which listens already."""
        loop = asyncio.get_running_loop()

        def made() -> asyncio.Protocol:
            return Connection(self) if self.context is None else Greeting(self)

        if sock is not None:
            self.listener = await loop.create_server(made, sock=sock, backlog=1024)
        else:
            self.listener = await loop.create_server(made, *self.address, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        if self.timer is None:
            self.sweep()

    def share(self, most: int, most_partial: int) -> None:
        """Its part of the connections and of the bytes of what is half."""
        self.most, self.most_partial = most, most_partial

    def holds(self, connection: Connection) -> bool:
        """Counts a connection's half messages; False if that is too much for all together."""
        self.partial += connection.session.held - connection.held
        connection.held = connection.session.held
        return not connection.held or self.partial <= self.most_partial

    def left(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.stuck.pop(connection, None)
        self.partial -= connection.held
        connection.held = 0
        self.rest()

    def rest(self) -> None:
        if not (self.connections or self.greeting) and self.last is not None and not self.last.done():
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

    def take_tokens(self, tokens: object) -> None:
        """Tokens are shown with requests; what gives them is told by itself."""

    def stopping(self) -> None:
        """Takes on for a while; whoever watches its health is told."""
        if self.ending is not None:
            self.ending()

    def pause(self) -> None:
        """No new connections; those that there are go on."""
        if self.listener is not None:
            self.listener.close()

    def finish(self) -> None:
        """No new connections, no new calls; each connection ends when its calls are answered."""
        self.pause()
        self.ended = True
        self.stopping()
        for connection in list(self.connections):
            connection.finish()

    async def drained(self) -> None:
        """Until its last connection has ended."""
        while self.connections or self.greeting:
            self.last = asyncio.get_running_loop().create_future()
            await self.last

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for greeting in list(self.greeting):
            if greeting.task is not None:
                greeting.task.cancel()
            greeting.transport.abort()
        for connection in list(self.connections):
            connection.transport.close()
        self.core.leave(self)

    def use(self, methods: Mapping[str, Method], streams: Mapping[str, Streams] | None = None) -> None:
        """In place of those before. A path that streams does so for connections from now on."""
        self.methods, self.streams = dict(methods), dict(streams or {})
