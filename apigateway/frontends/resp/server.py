"""The server that clients connect to: reads commands, answers in order, notes clients that left.

Each connection is busy (commands in work), `idle` (none, perhaps half a command) or `ending` (its last byte
is written or being written). The last two end by time, so none is kept for good.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from time import monotonic
from typing import Any

from apigateway.upstream import socket_state
from apigateway.upstream.framing import NO_MESSAGE, Framing, FramingError, bulk

MOST_PENDING = 512  # commands of one connection in work; past that it is not read
IDLE = 2.2  # s without a command in work, or with half a one, after which a connection is closed
ENDING = 1.0  # s that a closing connection has for its last bytes: its client may never read them
STUCK = 5.0  # s without the client taking its answers: it may never do so
SWEEP = 0.25  # s between looks for those
LOOK = 0.1  # s between looks whether a client that is not read has gone: nothing is to be sent on for it
MOST_DROPPED = 256 * 1024  # bytes read and dropped behind lost framing, so that the close is no reset
MOST_LOOKED_AT = 8  # idle connections asked for unread bytes when one has to go
FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("client", "answer", "token", "paid")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.answer: bytes | None = None
        self.token: Any = None  # the core's record of a command that was taken
        self.paid: Any = None  # the token of a check that its client showed

    def reply(self, answer: bytes) -> None:
        if self.answer is None:
            self.answer = answer
            self.client.flush()

    # core.ports.Place

    def complete(self, value: bytes) -> None:
        self.reply(bulk(value))

    def reject(self, wait: float) -> None:
        if self.paid is not None:
            self.client.server.handler.unpaid(self)
        ms = math.ceil(wait * 1000)
        self.reply(b"-BUSY %d\r\n" % ms if ms > 0 else BUSY)

    def fail(self) -> None:
        self.reply(FAILED)


class Client(asyncio.Protocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.framing = Framing()
        self.pending: deque[Slot] = deque()
        self.partial = self.dropped = 0  # bytes of half a command; those behind lost framing
        self.closing = self.broken = self.paused = self.flooded = False
        self.deferred, self.came = False, 0.0  # commands that were read wait their turn; when they were read
        self.reading = self.answered = False  # commands are being read; some answer waits for the end of that
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.left(self)
        self.leave()

    def eof_received(self) -> None:
        """The client has gone, also where answers that it did not take keep the connection from its end."""
        self.leave()

    def leave(self) -> None:
        """Nobody hears the answers of what is in work: the one place for a client that went."""
        self.closing = True
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.answer is None:
                self.server.handler.gone(slot)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            self.dropped += len(data)
            if self.dropped > MOST_DROPPED:  # one that goes on sending would take CPU for nothing
                self.transport.abort()
            return
        self.framing.feed(data)
        door = self.server.door
        if door is not None:
            if self.deferred:
                return
            self.came = door.clock()
            if door.is_slice_used_up and self.server.may_keep(self):
                self.defer(door)
                return
        self.read_commands(door)

    def defer(self, door: Any) -> None:
        """The loop has read for long enough in this turn. It goes on with this connection in its turn, and
        does not read it before."""
        self.deferred = True
        door.deferred_connections.append(self.go_on)
        self.server.hold(self, len(self.framing.buffer))
        self.throttle()

    def go_on(self) -> None:
        self.deferred = False
        if self.broken or self.transport.is_closing():
            return
        self.read_commands(self.server.door)
        if self.closing and not self.pending:
            self.flush()

    def read_commands(self, door: Any) -> None:
        self.reading = True  # answers that come at once are written together
        try:
            while (command := self.framing.next_message()) is not NO_MESSAGE:
                slot = Slot(self)
                self.pending.append(slot)
                self.server.idle.pop(self, None)
                self.server.handler.command(slot, command)
                if (
                    door is not None
                    and door.is_slice_used_up
                    and self.framing.buffer
                    and self.server.may_keep(self)
                ):
                    self.defer(door)
                    return
        except FramingError:
            self.read()
            self.fail(b"-ERR protocol error\r\n")
            return
        finally:
            self.read()
        if not self.server.hold(self, len(self.framing.buffer)):
            self.fail(b"-ERR too much in work\r\n")
            return
        self.throttle()

    def read(self) -> None:
        """Commands were read: what was answered meanwhile is written."""
        self.reading = False
        if self.answered:
            self.answered = False
            self.flush()

    def fail(self, answer: bytes) -> None:
        """Nothing that follows can be read. What is in work is failed: the client is not to wait for it."""
        self.broken = self.closing = True
        self.server.hold(self, 0)
        for slot in list(self.pending):
            if slot.answer is None:
                slot.answer = FAILED
                self.server.handler.gone(slot)
        slot = Slot(self)
        self.pending.append(slot)
        slot.reply(answer)

    def expire(self) -> None:
        if self.transport.is_closing() or self.deferred or self.unread():
            return  # it has gone, or asks just now
        if self.partial:
            self.fail(b"-ERR command not finished in time\r\n")
        else:
            self.close_when_done()

    def has_commands_to_read(self) -> bool:
        """Tell whether a connection that is to end has to be read once more.

        One with too much in work is not read. When all of that is answered in one turn, what its client sent
        meanwhile is still in the socket, and a close would reset the connection: those commands would be lost
        and so would answers that are on their way. It ends with their answers, or by time.
        """
        if self.broken or self.transport.is_closing() or not self.unread():
            return False
        self.server.idle[self] = monotonic()
        return True

    def unread(self) -> bool:
        """Whether the socket holds bytes that were not read yet."""
        return socket_state.has_unread_data(self.transport.get_extra_info("socket"))

    def close_when_done(self) -> None:
        """What still comes on it before that is served too: it was taken. So was what lies unread in its
        socket, and a command of which half was read is not between two requests: a connection that asks just
        now ends with that answer, or by time where the rest does not come."""
        self.closing = True
        if self.pending or self.transport.is_closing() or not (self.partial or self.unread()):
            self.flush()

    def flush(self) -> None:
        if self.reading:
            self.answered = True
            return
        pending = self.pending
        if len(pending) == 1 and (answer := pending[0].answer) is not None:  # the usual case
            pending.popleft()
            self.transport.write(answer)
        elif pending and pending[0].answer is not None:
            answers = []
            while pending and (answer := pending[0].answer) is not None:
                pending.popleft()
                answers.append(answer)
            self.transport.writelines(answers)
        if not pending and not self.deferred:
            self.server.rest(self)
            if self.closing and not self.has_commands_to_read():
                self.end()
                return
        if self.flooded:
            self.throttle()

    def end(self) -> None:
        self.server.ending.setdefault(self, monotonic())
        if self.broken and not self.transport.is_closing():
            self.transport.write_eof()  # closing with input unread would be a reset, which can eat the error
        else:
            self.transport.close()

    def pause_writing(self) -> None:
        self.paused = True
        self.server.stuck[self] = monotonic()
        self.throttle()

    def resume_writing(self) -> None:
        self.paused = False
        self.server.stuck.pop(self, None)
        self.throttle()

    def throttle(self) -> None:
        """A client that takes no answers or has too much in work is not read until that is over."""
        flooded = self.paused or self.deferred or len(self.pending) >= MOST_PENDING
        if flooded != self.flooded and not self.transport.is_closing():
            self.flooded = flooded
            self.transport.pause_reading() if flooded else self.transport.resume_reading()
            if flooded:
                self.server.watch(self)

    def hung_up(self) -> bool:
        """Whether the client has ended its sending or the connection, behind what was not read yet."""
        return socket_state.is_closed_by_peer(self.transport.get_extra_info("socket"))


class ClientServer:
    """`handler` has command(slot, command) and gone(slot). At most `most` connections; at most `most_partial`
    bytes of half commands on all of them."""

    def __init__(self, handler: Any, most: int, most_partial: int) -> None:
        self.handler, self.most, self.most_partial, self.partial = handler, most, most_partial, 0
        self.clients: set[Client] = set()
        self.idle: dict[Client, float] = {}  # since when, oldest first
        self.ending: dict[Client, float] = {}
        self.stuck: dict[Client, float] = {}
        self.unread: set[Client] = set()  # that are not read: their end would not be noticed
        self.looking: asyncio.TimerHandle | None = None
        self.listener: asyncio.Server | None = None
        self.door: Any = None  # core.admission.AdmissionController, where overload is on
        self.timer: asyncio.TimerHandle | None = None
        self.last: asyncio.Future[None] | None = None  # waits for the last client to leave

    async def listen(self, host: str, port: int, sock: socket.socket | None = None) -> int:
        """`sock`: a socket that listens already, taken in place of a new one at `host` and `port`."""
        loop = asyncio.get_running_loop()
        if sock is not None:
            self.listener = await loop.create_server(lambda: Client(self), sock=sock, backlog=1024)
        else:
            self.listener = await loop.create_server(lambda: Client(self), host, port, backlog=1024)
        if self.timer is None:
            self.sweep()
        port = self.listener.sockets[0].getsockname()[1]
        return port

    def joined(self, client: Client) -> None:
        self.clients.add(client)
        if len(self.clients) > self.most and not self.make_room():  # descriptors are limited
            client.transport.write(b"-ERR too many connections\r\n")
            client.closing = client.broken = True
            client.transport.close()
            return
        self.rest(client)

    def make_room(self) -> bool:
        """Lets a connection go that is ending anyhow, else the one that is idle for longest."""
        for client in self.ending:
            client.transport.abort()
            return True
        for client in [c for c, _ in zip(self.idle, range(MOST_LOOKED_AT), strict=False)]:
            if not (client.transport.is_closing() or client.deferred or client.unread()):
                client.transport.close()
                client.closing = True
                return True
        return False

    def left(self, client: Client) -> None:
        self.clients.discard(client)
        if not self.clients and self.last is not None and not self.last.done():
            self.last.set_result(None)
        self.hold(client, 0)
        for place in (self.idle, self.ending, self.stuck):
            place.pop(client, None)
        self.unread.discard(client)

    def watch(self, client: Client) -> None:
        self.unread.add(client)
        if self.looking is None:
            self.looking = asyncio.get_running_loop().call_later(LOOK, self.look)

    def look(self) -> None:
        """For clients that went while they are not read: the loop tells the end of a connection only to those
        who read it."""
        self.looking = None
        for client in list(self.unread):
            if not client.flooded or client.transport.is_closing():
                self.unread.discard(client)
            elif client.hung_up():
                client.leave()
                client.transport.abort()
        if self.unread:
            self.looking = asyncio.get_running_loop().call_later(LOOK, self.look)

    def rest(self, client: Client) -> None:
        self.idle.pop(client, None)
        if not client.closing:
            self.idle[client] = monotonic()

    def hold(self, client: Client, partial: int) -> bool:
        """Counts the bytes of half a command; False if that is too much for all connections together."""
        self.partial += partial - client.partial
        client.partial = partial
        return not partial or self.partial <= self.most_partial

    def may_keep(self, client: Client) -> bool:
        """Whether commands that were read may wait: they take memory, and half of what there is may be so."""
        return self.partial - client.partial + len(client.framing.buffer) <= self.most_partial // 2

    def sweep(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SWEEP, self.sweep)
        now = monotonic()
        for client in [c for c, since in self.idle.items() if since < now - IDLE]:
            client.expire()
        for place, most in ((self.ending, ENDING), (self.stuck, STUCK)):
            for client in [c for c, since in place.items() if since < now - most]:
                client.transport.abort()

    def pause(self) -> None:
        if self.listener:
            self.listener.close()

    @property
    def unaccepted(self) -> bool:
        """Whether a connection waits at the listener."""
        sockets = self.listener.sockets if self.listener is not None else ()
        return any(socket_state.has_pending_connection(sock) for sock in sockets)

    @property
    def owes(self) -> bool:
        """Whether an answer is not written whole."""
        return any(client.transport.get_write_buffer_size() for client in self.clients)

    async def empty(self) -> None:
        while self.clients:
            self.last = asyncio.get_running_loop().create_future()
            await self.last

    def finish(self) -> None:
        """No new connections; each one that there is closes once all it asked has been answered."""
        self.pause()
        for client in list(self.clients):
            client.close_when_done()

    def close(self) -> None:
        for timer in (self.timer, self.looking):
            if timer is not None:
                timer.cancel()
