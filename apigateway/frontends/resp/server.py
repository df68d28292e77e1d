"""The RESP2 server: accepts clients and limits their connections, their partial commands and their time.

What passes on one connection is in `client_connection.py`. Connections that are idle, that are closing or
whose client takes no responses end by time, so none is kept for good.
"""

from __future__ import annotations

import asyncio
import socket
from itertools import islice
from time import monotonic
from typing import TYPE_CHECKING

from apigateway.frontends.resp.client_connection import ClientConnection, CommandHandler
from apigateway.upstream import socket_state

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController

# Seconds without a pending command, or with a partial one, after which a connection is closed.
IDLE_TIMEOUT_S = 2.2
# Seconds that a closing connection has for its last bytes: its client may never read them.
CLOSING_TIMEOUT_S = 1.0
# Seconds without the client taking its responses: it may never do so.
WRITE_BLOCKED_TIMEOUT_S = 5.0
# Seconds between two checks of those timeouts.
SWEEP_INTERVAL_S = 0.25
# Seconds between two checks whether a client that is not read has gone: nothing is to be forwarded for it.
DISCONNECT_CHECK_INTERVAL_S = 0.1
# Idle connections that are looked at when one has to go.
MAX_EVICTION_CANDIDATES = 8
# Connections that the kernel keeps until they are accepted.
LISTEN_BACKLOG = 1024

TOO_MANY_CONNECTIONS_RESPONSE = b"-ERR too many connections\r\n"


class RespServer:
    """One listener and its connections.

    Args:
        handler: What commands are handed to.
        max_connections: At most so many at once.
        max_partial_bytes: Bytes of partial commands on all connections together.
    """

    def __init__(self, handler: CommandHandler, max_connections: int, max_partial_bytes: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.max_partial_bytes = max_partial_bytes
        self.admission: AdmissionController | None = None  # where load shedding is on
        self.partial_bytes = 0
        self.connections: set[ClientConnection] = set()
        self.idle_since: dict[ClientConnection, float] = {}  # oldest first
        self.closing_since: dict[ClientConnection, float] = {}
        self.write_blocked_since: dict[ClientConnection, float] = {}
        self.read_paused: set[ClientConnection] = set()  # the loop does not tell of their end
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._disconnect_check_timer: asyncio.TimerHandle | None = None
        self._all_disconnected: asyncio.Future[None] | None = None

    # Listening and shutdown

    async def listen(self, host: str, port: int, sock: socket.socket | None = None) -> int:
        """Listen and return the port.

        Args:
            host: Where to listen.
            port: Likewise; 0 for any.
            sock: A socket that listens already, taken in place of a new one.
        """
        loop = asyncio.get_running_loop()
        if sock is not None:
            self._listener = await loop.create_server(
                self._create_connection, sock=sock, backlog=LISTEN_BACKLOG
            )
        else:
            self._listener = await loop.create_server(
                self._create_connection, host, port, backlog=LISTEN_BACKLOG
            )
        if self._sweep_timer is None:
            self._sweep()
        bound_port: int = self._listener.sockets[0].getsockname()[1]
        return bound_port

    def _create_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def stop_accepting(self) -> None:
        """Close the listener; the connections go on."""
        if self._listener:
            self._listener.close()

    def start_draining(self) -> None:
        """Close the listener, and each connection once all that it asked has been answered."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close_when_answered()

    async def wait_disconnected(self) -> None:
        """Wait until there is no connection."""
        while self.connections:
            self._all_disconnected = asyncio.get_running_loop().create_future()
            await self._all_disconnected

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self._sweep_timer, self._disconnect_check_timer):
            if timer is not None:
                timer.cancel()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits at the listener."""
        sockets = self._listener.sockets if self._listener is not None else ()
        return any(socket_state.has_pending_connection(sock) for sock in sockets)

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a response is not written whole."""
        return any(connection.transport.get_write_buffer_size() for connection in self.connections)

    # What connections tell (client_connection.ConnectionOwner)

    def on_connected(self, connection: ClientConnection) -> None:
        """Take in a new connection; close it if there are too many and none can go in its place."""
        self.connections.add(connection)
        if len(self.connections) > self.max_connections and not self._evict():  # descriptors are limited
            connection.transport.write(TOO_MANY_CONNECTIONS_RESPONSE)
            connection.is_closing = True
            connection.is_framing_lost = True
            connection.transport.close()
            return
        self.on_idle(connection)

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)
        if not self.connections and self._all_disconnected is not None and not self._all_disconnected.done():
            self._all_disconnected.set_result(None)
        self.hold_partial_bytes(connection, 0)
        self.idle_since.pop(connection, None)
        self.closing_since.pop(connection, None)
        self.write_blocked_since.pop(connection, None)
        self.read_paused.discard(connection)

    def on_idle(self, connection: ClientConnection) -> None:
        """Start a connection's idle time anew."""
        self.idle_since.pop(connection, None)  # to the end of the order
        if not connection.is_closing:
            self.idle_since[connection] = monotonic()

    def on_closing(self, connection: ClientConnection) -> None:
        """Start the time that a connection has for its last bytes."""
        self.closing_since.setdefault(connection, monotonic())

    def on_write_blocked(self, connection: ClientConnection) -> None:
        """Start the time that a client has to take its responses."""
        self.write_blocked_since[connection] = monotonic()

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """End that time."""
        self.write_blocked_since.pop(connection, None)

    def on_read_paused(self, connection: ClientConnection) -> None:
        """Look for the end of a connection that is not read: the loop tells it only to those who read."""
        self.read_paused.add(connection)
        if self._disconnect_check_timer is None:
            self._schedule_disconnect_check()

    def hold_partial_bytes(self, connection: ClientConnection, size: int) -> bool:
        """Count the bytes of a connection's partial command; False if all together are too many."""
        self.partial_bytes += size - connection.partial_bytes
        connection.partial_bytes = size
        return not size or self.partial_bytes <= self.max_partial_bytes

    def may_defer(self, connection: ClientConnection) -> bool:
        """Tell whether commands that were read may wait.

        Half of the memory for partial commands is for that.
        """
        others_bytes = self.partial_bytes - connection.partial_bytes
        return others_bytes + len(connection.framing.buffer) <= self.max_partial_bytes // 2

    # Limits

    def _evict(self) -> bool:
        """Close a connection that is closing anyhow, else the one that is idle for longest.

        Tells whether there was one.
        """
        for connection in self.closing_since:
            connection.transport.abort()
            return True
        for connection in list(islice(self.idle_since, MAX_EVICTION_CANDIDATES)):
            if not (
                connection.transport.is_closing() or connection.is_deferred or connection.has_unread_data()
            ):
                connection.transport.close()
                connection.is_closing = True
                return True
        return False

    def _sweep(self) -> None:
        """End the connections whose time is over."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = monotonic()
        for connection in _expired(self.idle_since, now - IDLE_TIMEOUT_S):
            connection.on_idle_timeout()
        for connection in _expired(self.closing_since, now - CLOSING_TIMEOUT_S):
            connection.transport.abort()
        for connection in _expired(self.write_blocked_since, now - WRITE_BLOCKED_TIMEOUT_S):
            connection.transport.abort()

    def _schedule_disconnect_check(self) -> None:
        self._disconnect_check_timer = asyncio.get_running_loop().call_later(
            DISCONNECT_CHECK_INTERVAL_S, self._check_disconnects
        )

    def _check_disconnects(self) -> None:
        """End the connections whose client went while they are not read."""
        self._disconnect_check_timer = None
        for connection in list(self.read_paused):
            if not connection.is_read_paused or connection.transport.is_closing():
                self.read_paused.discard(connection)
            elif connection.is_closed_by_peer():
                connection.abandon_pending()
                connection.transport.abort()
        if self.read_paused:
            self._schedule_disconnect_check()


def _expired(since: dict[ClientConnection, float], before: float) -> list[ClientConnection]:
    """Return the connections whose time began before a moment."""
    return [connection for connection, began_at in since.items() if began_at < before]
