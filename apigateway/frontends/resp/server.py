"""The RESP2 server: accepts connections and limits their number, partial commands and timeouts.

`client_connection.py` handles a single connection. Connections that are idle, that are closing or whose
client does not read its responses are closed after a timeout, so that none stays open forever.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
from time import monotonic
from typing import TYPE_CHECKING

from apigateway.core.memory_pressure import PressureStage
from apigateway.frontends.listener import Listener
from apigateway.frontends.read_buffer import READ_BYTES
from apigateway.frontends.resp.activity_log import ActivityLog, CloseReason
from apigateway.frontends.resp.client_connection import ClientConnection
from apigateway.frontends.resp.connection_limits import ConnectionLimits
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.core.budget import Budget
    from apigateway.core.input_scheduler import InputScheduler
    from apigateway.core.loop_lag import LoopLag
    from apigateway.frontends.resp.interfaces import CommandHandler

# A connection without a pending command, or with a partial one, is closed after this time.
IDLE_TIMEOUT_S = 2.2
# Time limit for a closing connection to write its last bytes and be closed by the client, if it ever does so.
CLOSING_TIMEOUT_S = 1.0
# How long a client may leave its responses unread: it may never read them.
WRITE_BLOCKED_TIMEOUT_S = 5.0
# Interval of timeout checks.
SWEEP_INTERVAL_S = 0.25
# Polling interval for disconnects on connections that are not read. No request may be forwarded for a client
# that has disconnected.
DISCONNECT_CHECK_INTERVAL_S = 0.05
# Share of the memory for clients that the commands and responses of one connection may use, at least
# MIN_CONNECTION_BYTES.
CONNECTION_SHARE = 0.125
MIN_CONNECTION_BYTES = 256 * 1024
# Connections that are accepted and not reported by the event loop yet. Those that are evicted for them may
# still be closing.
MAX_ACCEPTED = 24
# Memory of a connection itself: its objects and its transport, rounded up.
CONNECTION_BYTES = 4096

TOO_MANY_CONNECTIONS_RESPONSE = b"-ERR too many connections\r\n"

log = logging.getLogger(__name__)


class RespServer:
    """One listener and its connections.

    Args:
        handler: Handles the commands.
        input_scheduler: Divides the time for commands among the connections of all frontends.
        loop_lag: Tells since when the event loop may not have read its sockets.
        memory_budget: The memory for the clients of all frontends.
        max_connections: The maximum number of connections.
        max_partial_bytes: The maximum bytes of partial commands on all connections together.
    """

    def __init__(
        self,
        handler: CommandHandler,
        input_scheduler: InputScheduler,
        loop_lag: LoopLag,
        memory_budget: Budget,
        max_connections: int,
        max_partial_bytes: int,
    ) -> None:
        self.handler = handler
        self.input_scheduler = input_scheduler
        self.loop_lag = loop_lag
        self._memory_budget = memory_budget
        self.activity = ActivityLog(input_scheduler)
        self._connection_count = 0  # since the start
        self._accepted_count = 0  # of sockets whose connections are not registered yet
        self.max_connections = max_connections
        self.max_partial_bytes = max_partial_bytes
        self.admission: AdmissionController | None = None  # None if load shedding is off
        self.is_draining = False
        self.partial_bytes = 0
        self.connections: set[ClientConnection] = set()
        self.idle_since: dict[ClientConnection, float] = {}  # oldest first
        self.unfinished_since: dict[ClientConnection, float] = {}  # with a part of a command, oldest first
        self.closing_since: dict[ClientConnection, float] = {}
        self.write_blocked_since: dict[ClientConnection, float] = {}
        self.read_paused: set[ClientConnection] = set()  # the event loop does not report their disconnects
        self._listener = Listener(
            self._on_accepted, self._notify_if_all_disconnected, input_scheduler, self._can_accept
        )
        self.memory_limits = ConnectionLimits(self)
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._disconnect_check_timer: asyncio.TimerHandle | None = None
        self._all_disconnected: asyncio.Future[None] | None = None

    # Listening and shutdown

    @property
    def is_listening(self) -> bool:
        """Whether the listener is open."""
        return self._listener.is_open

    async def listen(self, address: Address, sock: socket.socket | None = None) -> int:
        """Listen and return the port.

        Args:
            address: The address to listen on, with port 0 for any.
            sock: A socket that is already listening, used instead of a new one.

        Raises:
            OSError: The address cannot be listened on.
        """
        port = await self._listener.open(address, sock)
        if self._sweep_timer is None:
            self._sweep()
        return port

    def _can_accept(self) -> bool:
        return self._accepted_count < MAX_ACCEPTED

    def _on_accepted(self, sock: socket.socket, queued_since: float) -> None:
        is_full = len(self.connections) + self._accepted_count >= self.max_connections
        if is_full and not self.memory_limits.evict():  # file descriptors are limited
            self._reject(sock)
            return
        self._accepted_count += 1
        unread_since = self.loop_lag.unread_since(monotonic())
        if unread_since is not None:
            queued_since = min(queued_since, unread_since)
        self._listener.establish(self._establish(sock, queued_since))

    def _reject(self, sock: socket.socket) -> None:
        """Send an error and close; the cost of a registered connection would hold up the queue behind it."""
        self.activity.on_rejected()
        with sock, contextlib.suppress(OSError):
            sock.send(TOO_MANY_CONNECTIONS_RESPONSE)
            sock.recv(READ_BYTES)  # a close over unread data would reset the connection, and lose the error

    async def _establish(self, sock: socket.socket, queued_since: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self, queued_since), sock)
        except OSError as error:
            log.info("failed to establish a connection: %s", error)
            self._accepted_count -= 1
            sock.close()

    def set_accepting(self, is_accepting: bool) -> None:
        """Accept new connections, or leave them in the kernel's queue for a while."""
        if is_accepting:
            self._listener.resume()
        else:
            self._listener.suspend()

    def stop_accepting(self) -> None:
        """Close the listener; existing connections continue."""
        self._listener.close()

    def start_draining(self) -> None:
        """Close the listener, and each connection once its commands are answered."""
        self.is_draining = True
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close_when_answered()

    async def wait_disconnected(self) -> None:
        """Wait until all connections are closed."""
        while self.connections or self._listener.establishing_count:
            self._all_disconnected = asyncio.get_running_loop().create_future()
            await self._all_disconnected

    def close(self) -> None:
        """Stop the timers and close all connections; what they have not read stays unread."""
        for timer in (self._sweep_timer, self._disconnect_check_timer):
            if timer is not None:
                timer.cancel()
        self._listener.cancel_establishing()
        for connection in list(self.connections):
            connection.transport.close()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self._listener.has_pending_connections

    @property
    def pending_connection_count(self) -> int:
        """How many connections wait to be accepted."""
        return self._listener.pending_connection_count

    @property
    def has_unread_commands(self) -> bool:
        """Whether a connection has received bytes that wait to be read or parsed, or may have."""
        return bool(self._listener.establishing_count) or any(
            connection.has_unread_commands() for connection in self.connections
        )

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a response is not completely written."""
        return any(connection.has_unwritten_response() for connection in self.connections)

    # Callbacks of connections (client_connection.ConnectionOwner)

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        self.connections.add(connection)
        self.count_memory(CONNECTION_BYTES)
        self._accepted_count -= 1
        self._connection_count += 1
        connection.number = self._connection_count
        connection.peer = _format_address(connection.transport.get_extra_info("peername"))
        self.on_idle(connection)
        connection.is_closing = self.is_draining  # it was accepted just before the listener was closed

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.count_memory(-CONNECTION_BYTES)
        self._notify_if_all_disconnected()
        self.update_partial_bytes(connection, 0)
        self.idle_since.pop(connection, None)
        self.closing_since.pop(connection, None)
        self.write_blocked_since.pop(connection, None)
        self.read_paused.discard(connection)

    def _notify_if_all_disconnected(self) -> None:
        if self.connections or self._listener.establishing_count:
            return
        if self._all_disconnected is not None and not self._all_disconnected.done():
            self._all_disconnected.set_result(None)

    def on_idle(self, connection: ClientConnection) -> None:
        """Restart the idle timeout of a connection."""
        self.idle_since.pop(connection, None)  # moves it to the end
        if not connection.is_closing:
            self.idle_since[connection] = monotonic()

    def on_closing(self, connection: ClientConnection) -> None:
        """Start the timeout for a connection to write its last bytes, unless it has ended."""
        if connection in self.connections:
            self.closing_since.setdefault(connection, monotonic())

    def on_write_blocked(self, connection: ClientConnection) -> None:
        """Start the timeout for a client that does not read its responses."""
        self.write_blocked_since[connection] = monotonic()

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """Stop that timeout: the client reads again."""
        self.write_blocked_since.pop(connection, None)

    def on_read_paused(self, connection: ClientConnection) -> None:
        """Poll for the disconnect of a connection that is not read, which the event loop does not report."""
        self.read_paused.add(connection)
        if self._disconnect_check_timer is None:
            self._schedule_disconnect_check()

    def update_partial_bytes(self, connection: ClientConnection, size: int) -> bool:
        """Update the total of partial command bytes; return False if it exceeds the limit."""
        self.partial_bytes += size - connection.partial_bytes
        connection.partial_bytes = size
        if size:
            self.unfinished_since.setdefault(connection, monotonic())
        else:
            self.unfinished_since.pop(connection, None)
        if not size or self.partial_bytes <= self.max_partial_bytes:
            return True
        return self.memory_limits.make_room(connection)

    @property
    def max_connection_bytes(self) -> float:
        """The memory for one connection's commands and responses; beyond it no command is read."""
        if self.memory_limits.stage >= PressureStage.TRIM:
            return 0  # one command at a time
        return max(MIN_CONNECTION_BYTES, self._memory_budget.limit * CONNECTION_SHARE)

    def has_memory(self, size: int) -> bool:
        """Return whether clients may use `size` bytes more."""
        return self._memory_budget.available_to(self.handler) >= size

    def count_memory(self, size: int) -> None:
        """Add to the memory that connections use, or subtract from it."""
        if size >= 0:
            self._memory_budget.acquire(self.handler, size)
        else:
            self._memory_budget.release(self.handler, -size)

    # Timeouts

    def _sweep(self) -> None:
        """Close connections whose timeout has expired."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = monotonic()
        for connection in _expired(self.idle_since, now - IDLE_TIMEOUT_S):
            if self.unfinished_since.get(connection, -math.inf) < now - IDLE_TIMEOUT_S:
                connection.on_idle_timeout()
        for connection in _expired(self.closing_since, now - CLOSING_TIMEOUT_S):
            connection.transport.abort()
        for connection in _expired(self.write_blocked_since, now - WRITE_BLOCKED_TIMEOUT_S):
            self.activity.on_closed(connection, CloseReason.RESPONSES_UNREAD)
            connection.transport.abort()
        self.activity.report(now, self.connections)

    def _schedule_disconnect_check(self) -> None:
        self._disconnect_check_timer = asyncio.get_running_loop().call_later(
            DISCONNECT_CHECK_INTERVAL_S, self._check_disconnects
        )

    def _check_disconnects(self) -> None:
        """Close connections that are not read and whose client has disconnected."""
        self._disconnect_check_timer = None
        for connection in list(self.read_paused):
            if not connection.is_read_paused or connection.transport.is_closing():
                self.read_paused.discard(connection)
            elif connection.is_closed_by_peer():
                connection.cancel_pending()
                connection.transport.abort()
        if self.read_paused:
            self._schedule_disconnect_check()


def _expired(since: dict[ClientConnection, float], before: float) -> list[ClientConnection]:
    """Return the connections whose timeout started before `before`."""
    return [connection for connection, started_at in since.items() if started_at < before]


def _format_address(address: object) -> str:
    """Return a peer's address as text; empty if it is not known any more."""
    return f"{address[0]}:{address[1]}" if isinstance(address, tuple) else ""
