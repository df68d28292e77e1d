"""The gRPC frontend: listener, TLS, connection limits and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import Callable, Mapping
from time import monotonic

from apigateway.core.memory_pressure import PressureStage
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.frontends.grpc.connection import GrpcConnection
from apigateway.frontends.grpc.methods import StreamingMethod, UnaryMethod
from apigateway.frontends.listener import Listener
from apigateway.upstream.address import Address

# A connection that receives no data and has no open call is closed after this time.
IDLE_TIMEOUT_S = 120.0
# How long a client may leave written data unread.
WRITE_BLOCKED_TIMEOUT_S = 5.0
# How long calls are still accepted on an idle connection that is being closed.
IDLE_DRAIN_TIME_S = 5.0
# Time limit for the TLS handshake.
HANDSHAKE_TIMEOUT_S = 5.0
# Interval of timeout checks.
SWEEP_INTERVAL_S = 1.0
# Default limit for the bytes of partial messages on all connections together.
DEFAULT_MAX_PARTIAL_BYTES = 1 << 24

log = logging.getLogger(__name__)


class GrpcFrontend:
    """One gRPC listener and its connections.

    Args:
        core: The core, whose capacity all registered frontends share.
        address: The address to listen on.
        max_connections: The maximum number of connections, including those in their TLS handshake.
        max_partial_bytes: The maximum bytes of partial messages on all connections together.

    Attributes:
        tls_context: The TLS context of new connections; None for plain text.
        on_shutdown: Called when a graceful shutdown begins.
    """

    def __init__(
        self,
        core: RequestDispatcher,
        address: Address,
        max_connections: int,
        max_partial_bytes: int = DEFAULT_MAX_PARTIAL_BYTES,
    ) -> None:
        self.core = core
        self.input_scheduler = core.input_scheduler
        self.address = address
        self.port = address[1]
        self.tls_context: ssl.SSLContext | None = None
        self.on_shutdown: Callable[[], None] | None = None
        self.methods: Mapping[str, UnaryMethod] = {}
        self.streams: Mapping[str, StreamingMethod] = {}
        self.connections: set[GrpcConnection] = set()
        self.failed_handshakes = 0
        self.is_draining = False
        self.is_drain_over = False
        self._max_connections = max_connections
        self._max_partial_bytes = max_partial_bytes
        self._partial_bytes = 0
        self._write_blocked_since: dict[GrpcConnection, float] = {}
        self._draining_since: dict[GrpcConnection, float] = {}
        self._listener = Listener(self._on_accepted, self._notify_if_all_disconnected, self.input_scheduler)
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._all_disconnected: asyncio.Future[None] | None = None
        core.register_frontend(self)

    # Settings

    def set_methods(
        self, methods: Mapping[str, UnaryMethod], streams: Mapping[str, StreamingMethod] | None = None
    ) -> None:
        """Replace the served methods, given by path.

        A changed set of streaming paths applies to new connections only.
        """
        self.methods = dict(methods)
        self.streams = dict(streams or {})

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Set this frontend's share of the connections and of the bytes of partial messages."""
        self._max_connections = max_connections
        self._max_partial_bytes = max_partial_bytes

    def update_admission(self) -> None:
        """Do nothing: only the decision module sheds quota checks."""

    def set_tokens(self, tokens: object) -> None:
        """Do nothing: tokens are redeemed with RESP2 requests, and the rate limit service issues them."""

    # Memory

    def set_memory_stage(self, stage: PressureStage, _excess_bytes: int) -> None:
        """Leave new connections in the kernel's queue while checks are rejected for memory."""
        if stage >= PressureStage.REJECT:
            self._listener.suspend()
        else:
            self._listener.resume()

    def describe_holders(self) -> list[str]:
        """Return a few words on each kind of object that holds memory, largest first."""
        return [f"{len(self.connections)} gRPC connections, {self._partial_bytes} bytes of partial messages"]

    # Listening

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._listener.is_open

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Listen on the configured address, or on `sock`, a socket that is already listening."""
        self.port = await self._listener.open(self.address, sock)
        if self._sweep_timer is None:
            self._sweep()

    def _on_accepted(self, sock: socket.socket, _queued_since: float) -> None:
        """Establish an accepted connection.

        Connections count towards the limit before their TLS handshake, so that silent clients cannot use
        more than this frontend's share of file descriptors.
        """
        if len(self.connections) + self._listener.establishing_count >= self._max_connections:
            sock.close()
        else:
            self._listener.establish(self._establish(sock, self.tls_context))

    async def _establish(self, sock: socket.socket, tls_context: ssl.SSLContext | None) -> None:
        """Establish a connection, with TLS if there is a context."""
        loop = asyncio.get_running_loop()
        timeout = HANDSHAKE_TIMEOUT_S if tls_context is not None else None
        try:
            await loop.connect_accepted_socket(
                self._create_connection, sock, ssl=tls_context, ssl_handshake_timeout=timeout
            )
        except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
            self.failed_handshakes += 1
            log.info("failed to establish a connection: %s", error)
            sock.close()

    def _create_connection(self) -> GrpcConnection:
        return GrpcConnection(self)

    # Callbacks of connections (connection.ConnectionOwner)

    def on_connected(self, connection: GrpcConnection) -> None:
        """Register a new connection."""
        self.connections.add(connection)

    def on_disconnected(self, connection: GrpcConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._write_blocked_since.pop(connection, None)
        self._draining_since.pop(connection, None)
        self._partial_bytes -= connection.partial_bytes
        connection.partial_bytes = 0
        self._notify_if_all_disconnected()

    def on_write_blocked(self, connection: GrpcConnection) -> None:
        """Start the timeout for a client that does not read written data."""
        self._write_blocked_since[connection] = monotonic()

    def on_write_resumed(self, connection: GrpcConnection) -> None:
        """Stop that timeout: the client reads again."""
        self._write_blocked_since.pop(connection, None)

    def on_draining(self, connection: GrpcConnection) -> None:
        """Record when a connection began to drain."""
        self._draining_since.setdefault(connection, monotonic())

    def update_partial_bytes(self, connection: GrpcConnection) -> bool:
        """Update the total of partial message bytes; return False if it exceeds the limit."""
        size = connection.session.partial_bytes
        self._partial_bytes += size - connection.partial_bytes
        connection.partial_bytes = size
        return not size or self._partial_bytes <= self._max_partial_bytes

    def count_memory(self, size: int) -> None:
        """Add to the memory that connections use, or subtract from it."""
        if size >= 0:
            self.core.memory_budget.acquire(self, size)
        else:
            self.core.memory_budget.release(self, -size)

    # Timeouts

    def _sweep(self) -> None:
        """Close connections whose timeout has expired."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = monotonic()
        before = now - WRITE_BLOCKED_TIMEOUT_S
        for connection in [blocked for blocked, since in self._write_blocked_since.items() if since < before]:
            connection.transport.abort()
        if not self.is_draining:
            self._finish_idle_connections(now - IDLE_DRAIN_TIME_S)
        idle_before = now - IDLE_TIMEOUT_S
        for connection in [idle for idle in self.connections if idle.last_received_at < idle_before]:
            if connection.session.is_idle:
                connection.start_draining()

    def _finish_idle_connections(self, started_before: float) -> None:
        """Finish the connections that began to drain because they were idle."""
        for connection, since in list(self._draining_since.items()):
            if since >= started_before:
                continue
            if connection.session.is_idle and not connection.session.is_drain_acknowledged:
                connection.transport.abort()  # the client does not read
            else:
                connection.finish_draining()

    # Shutdown, in the order of the calls

    def announce_shutdown(self) -> None:
        """Notify health watchers that a shutdown begins; calls are still accepted for a while."""
        if self.on_shutdown is not None:
            self.on_shutdown()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self._listener.has_pending_connections

    @property
    def pending_connection_count(self) -> int:
        """How many connections wait to be accepted."""
        return self._listener.pending_connection_count

    def stop_accepting(self) -> None:
        """Accept no new connections; existing ones continue."""
        self._listener.close()

    def start_draining(self) -> None:
        """Accept no new connections, and ask the clients to open no more calls.

        Calls are accepted until `finish_draining`; a client without calls closes its connection before.
        """
        self.stop_accepting()
        self.is_draining = True
        self.announce_shutdown()
        for connection in list(self.connections):
            connection.start_draining()

    async def wait_settled(self, timeout: float) -> None:
        """Wait until all connections are closed, for at most `timeout` seconds, then accept no more calls."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.wait_disconnected()
        self.finish_draining()

    def finish_draining(self) -> None:
        """Accept no more calls; each connection closes once its calls are answered."""
        self.is_drain_over = True
        unacknowledged = sum(not one.session.is_drain_acknowledged for one in self.connections)
        if self.connections:
            log.info(
                "drain over: closing %d gRPC connections, of which %d did not acknowledge it",
                len(self.connections),
                unacknowledged,
            )
        for connection in list(self.connections):
            connection.finish_draining()

    @property
    def has_unread_requests(self) -> bool:
        """Whether a connection's socket holds unread bytes."""
        return any(connection.has_unread_data for connection in self.connections)

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a connection has not written a response completely."""
        return any(connection.has_unwritten_responses for connection in self.connections)

    async def wait_disconnected(self) -> None:
        """Wait until all connections are closed."""
        while self.connections or self._listener.establishing_count:
            self._all_disconnected = asyncio.get_running_loop().create_future()
            await self._all_disconnected

    def _notify_if_all_disconnected(self) -> None:
        if self.connections or self._listener.establishing_count:
            return
        if self._all_disconnected is not None and not self._all_disconnected.done():
            self._all_disconnected.set_result(None)

    def close(self) -> None:
        """Close the listener and all connections, and release this frontend's share of the capacity."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_accepting()
        self._listener.cancel_establishing()
        for connection in list(self.connections):
            connection.transport.close()
        self.core.unregister_frontend(self)
