"""The gRPC frontend: a listener, TLS, the limits of its connections and their shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import Callable, Mapping
from time import monotonic

from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.frontends.grpc.connection import GrpcConnection
from apigateway.frontends.grpc.methods import StreamingMethod, UnaryMethod
from apigateway.upstream import socket_state
from apigateway.upstream.address import Address

# Seconds without a call after which a connection is closed.
IDLE_TIMEOUT_S = 120.0
# Seconds without the client taking what is written; the same for its answer to the end of a connection.
WRITE_BLOCKED_TIMEOUT_S = 5.0
# Seconds that a client has for TLS.
HANDSHAKE_TIMEOUT_S = 5.0
# Seconds between two checks of those timeouts, and until the next try to accept without a descriptor.
SWEEP_INTERVAL_S = 1.0
# Connections accepted in one turn of the loop.
MAX_ACCEPTS_PER_TURN = 64
# Connections that the kernel keeps until they are accepted.
LISTEN_BACKLOG = 1024
# Bytes of partial messages on all connections together, where nothing else is said.
DEFAULT_MAX_PARTIAL_BYTES = 1 << 24

log = logging.getLogger(__name__)


class GrpcFrontend:
    """One gRPC listener over the core.

    Args:
        core: Knows it as one of the frontends that share its capacity.
        address: Where it listens.
        max_connections: At most so many at once, those in their TLS handshake included.
        max_partial_bytes: Bytes of partial messages on all connections together.

    Attributes:
        tls_context: For connections from now on; None: without TLS.
        on_shutdown: Called when it takes nothing new.
    """

    def __init__(
        self,
        core: RequestDispatcher,
        address: Address,
        max_connections: int,
        max_partial_bytes: int = DEFAULT_MAX_PARTIAL_BYTES,
    ) -> None:
        self.core = core
        self.address = address
        self.port = address[1]
        self.tls_context: ssl.SSLContext | None = None
        self.on_shutdown: Callable[[], None] | None = None
        self.methods: Mapping[str, UnaryMethod] = {}
        self.streams: Mapping[str, StreamingMethod] = {}
        self.connections: set[GrpcConnection] = set()
        self.failed_handshakes = 0
        self.is_draining = False
        self._max_connections = max_connections
        self._max_partial_bytes = max_partial_bytes
        self._partial_bytes = 0
        self._handshakes: set[asyncio.Task[None]] = set()  # connections that are not up yet
        self._write_blocked_since: dict[GrpcConnection, float] = {}
        self._draining_since: dict[GrpcConnection, float] = {}
        self._listener: socket.socket | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._all_disconnected: asyncio.Future[None] | None = None
        core.register_frontend(self)

    # Settings

    def set_methods(
        self, methods: Mapping[str, UnaryMethod], streams: Mapping[str, StreamingMethod] | None = None
    ) -> None:
        """Serve these methods, by path, in place of those before.

        A path that streams does so for connections from now on.
        """
        self.methods = dict(methods)
        self.streams = dict(streams or {})

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Set this frontend's part of the connections and of the bytes of partial messages."""
        self._max_connections = max_connections
        self._max_partial_bytes = max_partial_bytes

    def update_admission(self) -> None:
        """Do nothing: quota checks are shed by the decision module only."""

    def set_tokens(self, tokens: object) -> None:
        """Do nothing: tokens are shown with requests; the rate limit service has them by itself."""

    # Listening

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Listen at its address, or on `sock`, which listens already."""
        if sock is None:
            family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
            sock = socket.create_server(self.address, family=family)
        sock.setblocking(False)
        sock.listen(LISTEN_BACKLOG)
        self._listener = sock
        self.port = sock.getsockname()[1]
        self._start_accepting()
        if self._sweep_timer is None:
            self._sweep()

    def _start_accepting(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Accept what waits.

        Connections are counted from here, before TLS: who says nothing must not take more than this
        frontend's part of the descriptors.
        """
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # No descriptor is left: trying again at once would be a busy loop.
                log.error("a connection could not be accepted: %s", error)
                loop.remove_reader(self._listener)
                loop.call_later(SWEEP_INTERVAL_S, self._start_accepting)
                return
            if len(self.connections) + len(self._handshakes) >= self._max_connections:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._establish(sock, self.tls_context))
            self._handshakes.add(task)
            task.add_done_callback(self._on_handshake_ended)

    async def _establish(self, sock: socket.socket, tls_context: ssl.SSLContext | None) -> None:
        """Bring a connection up, with TLS if there is a context."""
        loop = asyncio.get_running_loop()
        timeout = HANDSHAKE_TIMEOUT_S if tls_context is not None else None
        try:
            await loop.connect_accepted_socket(
                self._create_connection, sock, ssl=tls_context, ssl_handshake_timeout=timeout
            )
        except (OSError, TimeoutError) as error:  # ssl.SSLError is an OSError
            self.failed_handshakes += 1
            log.info("a TLS handshake failed: %s", error)
            sock.close()

    def _create_connection(self) -> GrpcConnection:
        return GrpcConnection(self)

    def _on_handshake_ended(self, task: asyncio.Task[None]) -> None:
        self._handshakes.discard(task)
        self._notify_if_all_disconnected()

    # What connections tell (connection.ConnectionOwner)

    def on_connected(self, connection: GrpcConnection) -> None:
        """Take in a new connection."""
        self.connections.add(connection)

    def on_disconnected(self, connection: GrpcConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)
        self._write_blocked_since.pop(connection, None)
        self._draining_since.pop(connection, None)
        self._partial_bytes -= connection.partial_bytes
        connection.partial_bytes = 0
        self._notify_if_all_disconnected()

    def on_write_blocked(self, connection: GrpcConnection) -> None:
        """Start the time that a client has to take what is written."""
        self._write_blocked_since[connection] = monotonic()

    def on_write_resumed(self, connection: GrpcConnection) -> None:
        """End that time."""
        self._write_blocked_since.pop(connection, None)

    def on_draining(self, connection: GrpcConnection) -> None:
        """Start the time that a client has to read that its connection ends."""
        self._draining_since.setdefault(connection, monotonic())

    def hold_partial_bytes(self, connection: GrpcConnection) -> bool:
        """Count the bytes of a connection's partial messages; False if all together are too many."""
        size = connection.session.partial_bytes
        self._partial_bytes += size - connection.partial_bytes
        connection.partial_bytes = size
        return not size or self._partial_bytes <= self._max_partial_bytes

    # Timeouts

    def _sweep(self) -> None:
        """End the connections whose time is over."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = monotonic()
        before = now - WRITE_BLOCKED_TIMEOUT_S
        for connection in [one for one, since in self._write_blocked_since.items() if since < before]:
            connection.transport.abort()
        for connection, since in list(self._draining_since.items()):
            if since < before and connection.session.is_idle:
                connection.transport.abort()  # its client never said that it had read of the end
        idle_before = now - IDLE_TIMEOUT_S
        for connection in [one for one in self.connections if one.last_received_at < idle_before]:
            if connection.session.is_idle:
                connection.start_draining()

    # Shutdown, in this order

    def announce_shutdown(self) -> None:
        """Tell whoever watches its health; it goes on for a while."""
        if self.on_shutdown is not None:
            self.on_shutdown()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits at its listener."""
        return self._listener is not None and socket_state.has_pending_connection(self._listener)

    def stop_accepting(self) -> None:
        """Take no new connections; those that there are go on."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def start_draining(self) -> None:
        """Take no new connections and no new calls; each connection ends when its calls are answered."""
        self.stop_accepting()
        self.is_draining = True
        self.announce_shutdown()
        for connection in list(self.connections):
            connection.start_draining()

    async def wait_settled(self, timeout: float) -> None:
        """Wait until its connections have ended, for `timeout` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.wait_disconnected()

    @property
    def has_unwritten_responses(self) -> bool:
        """Nothing is owed: `wait_settled` waited for the connections."""
        return False

    async def wait_disconnected(self) -> None:
        """Wait until its last connection has ended."""
        while self.connections or self._handshakes:
            self._all_disconnected = asyncio.get_running_loop().create_future()
            await self._all_disconnected

    def _notify_if_all_disconnected(self) -> None:
        if self.connections or self._handshakes:
            return
        if self._all_disconnected is not None and not self._all_disconnected.done():
            self._all_disconnected.set_result(None)

    def close(self) -> None:
        """Close everything and give its capacity to the others."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_accepting()
        for task in list(self._handshakes):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.close()
        self.core.unregister_frontend(self)
