"""A channel to a gRPC server: it connects on demand and reconnects after a backoff.

Results are delivered by callbacks; calls do not create tasks.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from time import monotonic

from apigateway.event_loop import call_after_poll, timeout_after_poll
from apigateway.external_ratelimit.client_session import CallEnded, ClientSession
from apigateway.external_ratelimit.connection import GrpcConnection, PendingCall, ResponseCallback
from apigateway.upstream.address import Address, format_address
from apigateway.upstream.rpc import GrpcStatus

_CONNECT_TIMEOUT_S = 1.0  # includes the TLS handshake
_MIN_BACKOFF_S = 0.05  # between connection attempts; doubles after each one
_MAX_BACKOFF_S = 5.0
_MAX_ATTEMPTS = 2  # for a call that the server did not process
_MIN_RETRY_TIME_S = 0.02  # remaining time that a second attempt requires

_log = logging.getLogger(__name__)


class GrpcChannel:
    """Makes calls to one server; implements `connection.ConnectionOwner`.

    Attributes:
        connect_failures: Number of failed connection attempts.
        max_waiting_calls: The maximum number of calls that wait for a connection or a stream.
    """

    def __init__(
        self,
        address: Address,
        ssl_context: ssl.SSLContext | None = None,
        server_name: str = "",
        max_waiting_calls: int = 1000,
    ) -> None:
        """Create a channel without connecting it; the first call connects.

        Args:
            address: The address of the server.
            ssl_context: The TLS context; None for plain text.
            server_name: The name that the server certificate must match; if empty, the host of the address.
            max_waiting_calls: The maximum number of calls that wait for a connection or a stream.
        """
        self.connect_failures = 0
        self._address = address
        self._ssl_context = ssl_context
        self._server_name = server_name
        self.max_waiting_calls = max_waiting_calls
        self._waiting_calls: dict[PendingCall, None] = {}  # used as an ordered set
        self._current_connection: GrpcConnection | None = None  # used for new calls
        self._connections: set[GrpcConnection] = set()  # open ones, including those that are draining
        self._connect_task: asyncio.Task[None] | None = None
        self._connect_timer: asyncio.TimerHandle | None = None
        self._backoff_s = _MIN_BACKOFF_S
        self._next_connect_at = 0.0  # on the monotonic clock
        self._connect_error = ""  # cleared once the server responds
        self._is_send_scheduled = False
        self._is_closed = False

    def call(self, path: str, message: bytes, timeout: float, on_response: ResponseCallback) -> PendingCall:
        """Start a call that fails after `timeout` seconds.

        `on_response` is called exactly once, after this method has returned, unless the call is cancelled.
        """
        loop = asyncio.get_running_loop()
        call = PendingCall(path, message, monotonic() + timeout, on_response)
        call.deadline_timer = loop.call_later(timeout, call_after_poll, loop, self._on_deadline, call)
        if self._is_closed or len(self._waiting_calls) >= self.max_waiting_calls:
            status = GrpcStatus.UNAVAILABLE if self._is_closed else GrpcStatus.RESOURCE_EXHAUSTED
            loop.call_soon(self._end, call, status, "channel is closed or too many calls are waiting", b"")
            return call
        self._waiting_calls[call] = None
        self._schedule_send()
        return call

    def cancel(self, call: PendingCall) -> None:
        """Cancel a call without notifying its caller."""
        self._release(call)

    def close(self) -> None:
        """End all calls and close all connections."""
        self._is_closed = True
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        for call in list(self._waiting_calls):
            self._end(call, GrpcStatus.UNAVAILABLE, "closed", b"")
        for connection in list(self._connections):
            connection.transport.close()

    # Callbacks of connections (connection.ConnectionOwner)

    def on_connected(self, connection: GrpcConnection) -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def on_server_responded(self) -> None:
        """Reset the backoff, so that the next connection attempt starts at once."""
        self._backoff_s = _MIN_BACKOFF_S
        self._next_connect_at = 0.0
        self._connect_error = ""

    def on_call_ended(self, call: PendingCall, ended: CallEnded) -> None:
        """Complete a call, or retry it if the server did not process it."""
        call.connection = None
        if self._can_retry(call, ended):
            self._waiting_calls[call] = None
            self._schedule_send()
            return
        self._end(call, ended.status, ended.text, ended.message)

    def on_capacity_available(self) -> None:
        """Send waiting calls."""
        self._send_waiting()

    def on_draining(self, connection: GrpcConnection) -> None:
        """Use another connection for new calls; open calls on this one continue."""
        if self._current_connection is connection:
            self._current_connection = None
            if self._waiting_calls:
                self._schedule_send()

    def on_connection_lost(self, connection: GrpcConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.on_draining(connection)

    # Completion of a call

    def _on_deadline(self, call: PendingCall) -> None:
        self._end(
            call, GrpcStatus.DEADLINE_EXCEEDED, self._connect_error or "no response within the timeout", b""
        )

    def _can_retry(self, call: PendingCall, ended: CallEnded) -> bool:
        if ended.is_processed or self._is_closed or call.is_done:
            return False
        return call.attempts < _MAX_ATTEMPTS and call.deadline - monotonic() > _MIN_RETRY_TIME_S

    def _end(self, call: PendingCall, status: int, text: str, message: bytes) -> None:
        """Complete a call and notify its caller, unless it is done already."""
        if not self._release(call):
            return
        try:
            call.on_response(status, text, message)
        except Exception:
            _log.exception("response callback failed")

    def _release(self, call: PendingCall) -> bool:
        """Mark a call as done and remove it from the channel; return False if it was done already.

        Every call ends here.
        """
        if call.is_done:
            return False
        call.is_done = True
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        self._waiting_calls.pop(call, None)
        connection = call.connection
        call.connection = None
        if connection is not None:
            connection.cancel(call)
        return True

    # Sending

    def _schedule_send(self) -> None:
        """Schedule sending for the end of this event loop iteration, so that its calls share one write."""
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_waiting)

    def _send_waiting(self) -> None:
        self._is_send_scheduled = False
        connection = self._current_connection
        if connection is None:
            if self._waiting_calls:
                self._connect()
            return
        available = connection.available_streams()
        while self._waiting_calls and available > 0:
            call = next(iter(self._waiting_calls))
            del self._waiting_calls[call]
            call.attempts += 1
            connection.start_call(call)
            available -= 1
        if connection.is_connected:
            connection.flush()
            if connection.session.is_draining:
                self.on_draining(connection)

    # Connecting

    def _connect(self) -> None:
        """Start connecting, now or after the backoff, unless an attempt is running or scheduled."""
        if self._connect_task is not None or self._is_closed:
            return
        loop = asyncio.get_running_loop()
        delay = self._next_connect_at - monotonic()
        if delay <= 0:
            self._connect_task = loop.create_task(self._open_connection())
        elif self._connect_timer is None:
            self._connect_timer = loop.call_later(delay, self._on_backoff_expired)

    def _on_backoff_expired(self) -> None:
        self._connect_timer = None
        self._send_waiting()

    async def _open_connection(self) -> None:
        try:
            connection = await self._create_connection()
        except (OSError, TimeoutError, ssl.SSLError) as error:
            self.connect_failures += 1
            self._connect_error = f"{format_address(self._address)}: {error or 'connection timed out'}"
            self._increase_backoff()
        else:
            self._current_connection = connection if connection.is_connected else None
            self._increase_backoff()  # until a response resets it: the server may close connections at once
            if self._is_closed:
                connection.transport.close()
        finally:
            self._connect_task = None
        self._send_waiting()

    async def _create_connection(self) -> GrpcConnection:
        host, port = self._address
        server_name = self._server_name or host if self._ssl_context is not None else None
        async with timeout_after_poll(_CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: GrpcConnection(self, self._create_session()),
                host,
                port,
                ssl=self._ssl_context,
                server_hostname=server_name,
            )
        return connection

    def _create_session(self) -> ClientSession:
        authority = self._server_name or format_address(self._address)
        return ClientSession(authority, "http" if self._ssl_context is None else "https")

    def _increase_backoff(self) -> None:
        self._next_connect_at = monotonic() + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)
