"""The gRPC front: sockets to sessions (wire.py), their calls to services."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import Callable, Mapping
from time import monotonic
from typing import Protocol

from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.frontends.grpc.wire import Call, Event, Gone, Heard, Opened, Session
from apigateway.upstream import socket_state
from apigateway.upstream.address import Address
from apigateway.upstream.rpc import INTERNAL, UNAVAILABLE, UNIMPLEMENTED

IDLE = 120.0  # s without a call after which a connection is closed
ENDING = 0.5  # s that a client has to close a connection that has come to its end
STUCK = 5.0  # s without the client taking what is written
HANDSHAKE = 5.0  # s that a client has for TLS
SWEEP = 1.0  # s between looks for those
AT_ONCE = 64  # connections accepted in one turn of the loop

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
    def __init__(self, front: GrpcFrontend) -> None:
        self.front, self.session = front, Session(front.streams)
        self.asked: dict[int, Asked] = {}
        self.talks: dict[int, Talk] = {}  # those of them that stream
        self.done = False  # its client is to close it
        self.reading = False  # calls are being read: what is answered meanwhile is written at the end of that
        self.held = 0  # bytes of half messages, as the front has counted them
        self.since = monotonic()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.connections.add(self)
        self.write()
        if self.front.ended:  # it was shaking hands when the front came to its end
            self.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.left(self)
        self.session.lost()
        asked, self.asked, self.talks = self.asked, {}, {}
        for one in asked.values():
            one.gone()

    def data_received(self, data: bytes) -> None:
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
        elif self.session.done and not self.done:
            # Closed here with bytes unread it would be a reset, which can eat the last answers.
            self.done = True
            asyncio.get_running_loop().call_later(ENDING, self.transport.close)

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
        self.front.finishing.setdefault(self, monotonic())
        self.session.finish()
        self.write()


class GrpcFrontend:
    """One listener of at most `most` connections, which hold at most `most_partial` bytes of half messages.
    `methods` and `streams` by path; `context`: TLS, for connections from now on."""

    def __init__(
        self, core: RequestDispatcher, address: Address, most: int, most_partial: int = 1 << 24
    ) -> None:
        self.core, self.address, self.port, self.most = core, address, address[1], most
        self.most_partial, self.partial = most_partial, 0
        self.methods: dict[str, Method] = {}
        self.streams: dict[str, Streams] = {}
        self.context: ssl.SSLContext | None = None
        self.connections: set[Connection] = set()
        self.greeting: set[asyncio.Task[None]] = set()  # connections that are not up yet: TLS takes a while
        self.stuck: dict[Connection, float] = {}
        self.finishing: dict[Connection, float] = {}
        self.shaken = 0  # handshakes that failed
        self.ended = False
        self.ending: Callable[[], None] | None = None  # hears that it takes nothing new
        self.listener: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last: asyncio.Future[None] | None = None
        core.register_frontend(self)

    async def listen(self, sock: socket.socket | None = None) -> None:
        """At its address, or on `sock`, which listens already."""
        if sock is None:
            family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
        sock.setblocking(False)
        sock.listen(1024)
        self.listener, self.port = sock, sock.getsockname()[1]
        self.accept_on()
        if self.timer is None:
            self.sweep()

    def accept_on(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self) -> None:
        """Connections are counted from the first, before TLS: who says nothing must not take more than this
        front's part of the descriptors."""
        loop = asyncio.get_running_loop()
        for _ in range(AT_ONCE):
            if self.listener is None:
                return
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:  # no descriptor is left: to be told so at once again would be a busy loop
                log.error("a connection could not be accepted: %s", err)
                loop.remove_reader(self.listener)
                loop.call_later(SWEEP, self.accept_on)
                return
            if len(self.connections) + len(self.greeting) >= self.most:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self.greet(sock, self.context))
            self.greeting.add(task)
            task.add_done_callback(self.greeted)

    async def greet(self, sock: socket.socket, context: ssl.SSLContext | None) -> None:
        loop = asyncio.get_running_loop()
        try:
            if context is None:
                await loop.connect_accepted_socket(lambda: Connection(self), sock)
            else:
                await loop.connect_accepted_socket(
                    lambda: Connection(self), sock, ssl=context, ssl_handshake_timeout=HANDSHAKE
                )
        except (OSError, TimeoutError) as err:  # ssl.SSLError is one
            self.shaken += 1
            log.info("a TLS handshake failed: %s", err)
            sock.close()

    def greeted(self, task: asyncio.Task[None]) -> None:
        self.greeting.discard(task)
        self.rest()

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Its part of the connections and of the bytes of what is half."""
        self.most, self.most_partial = max_connections, max_partial_bytes

    def holds(self, connection: Connection) -> bool:
        """Counts a connection's half messages; False if that is too much for all together."""
        self.partial += connection.session.held - connection.held
        connection.held = connection.session.held
        return not connection.held or self.partial <= self.most_partial

    def left(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.stuck.pop(connection, None)
        self.finishing.pop(connection, None)
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
        for connection, since in list(self.finishing.items()):
            if since < now - STUCK and connection.session.idle:
                connection.transport.abort()  # it never said that it had read of the end
        for connection in [c for c in self.connections if c.since < now - IDLE and c.session.idle]:
            connection.finish()

    def update_admission(self) -> None:
        """Checks are shed by the decision module only."""

    def set_tokens(self, tokens: object) -> None:
        """Tokens are shown with requests; what gives them is told by itself."""

    def announce_shutdown(self) -> None:
        """Takes on for a while; whoever watches its health is told."""
        if self.ending is not None:
            self.ending()

    def stop_accepting(self) -> None:
        """No new connections; those that there are go on."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def start_draining(self) -> None:
        """No new connections, no new calls; each connection ends when its calls are answered."""
        self.stop_accepting()
        self.ended = True
        self.announce_shutdown()
        for connection in list(self.connections):
            connection.finish()

    async def wait_settled(self, timeout: float) -> None:
        """Until its connections have come to their end, or for so long: after `finish`, before `close`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.wait_disconnected()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits at its listener."""
        return self.listener is not None and socket_state.has_pending_connection(self.listener)

    @property
    def has_unwritten_responses(self) -> bool:
        """Nothing: `settled` waited for its connections."""
        return False

    async def wait_disconnected(self) -> None:
        """Until its last connection has ended."""
        while self.connections or self.greeting:
            self.last = asyncio.get_running_loop().create_future()
            await self.last

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.stop_accepting()
        for task in list(self.greeting):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.close()
        self.core.unregister_frontend(self)

    def use(self, methods: Mapping[str, Method], streams: Mapping[str, Streams] | None = None) -> None:
        """In place of those before. A path that streams does so for connections from now on."""
        self.methods, self.streams = dict(methods), dict(streams or {})
