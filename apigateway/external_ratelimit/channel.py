"""A channel to a gRPC server: a connection that is made when it is needed, and again after a backoff.

Calls are callbacks; no task is made for one.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from time import monotonic

from apigateway.external_ratelimit.client_session import CallEnded, ClientSession
from apigateway.external_ratelimit.connection import GrpcConnection, PendingCall, ResponseCallback
from apigateway.upstream.address import Address, format_address
from apigateway.upstream.rpc import GrpcStatus

_CONNECT_TIMEOUT = 1.0  # s for a connection, TLS included
_MIN_BACKOFF = 0.05  # s between attempts to connect; doubles with each
_MAX_BACKOFF = 5.0  # s
_MAX_ATTEMPTS = 2  # of a call that the server did not process
_MIN_RETRY_TIME = 0.02  # s that a call has to have left for its second attempt

_log = logging.getLogger(__name__)


class GrpcChannel:
    """Makes calls to one server; implements `connection.ConnectionOwner`.

    Attributes:
        connect_failures: Connections that could not be made.
    """

    def __init__(
        self,
        address: Address,
        ssl_context: ssl.SSLContext | None = None,
        server_name: str = "",
        max_waiting: int = 1000,
    ) -> None:
        """Prepare a channel; the first call connects it.

        Args:
            address: Where the server listens.
            ssl_context: None without TLS.
            server_name: The name that its certificate has to have; empty: the host of the address.
            max_waiting: Most calls that wait for a connection or a stream.
        """
        self.connect_failures = 0
        self._address = address
        self._ssl_context = ssl_context
        self._server_name = server_name
        self._max_waiting = max_waiting
        self._waiting: dict[PendingCall, None] = {}  # an ordered set
        self._current: GrpcConnection | None = None  # takes new calls
        self._connections: set[GrpcConnection] = set()  # that are up, those that take no more among them
        self._connect_task: asyncio.Task[None] | None = None
        self._connect_timer: asyncio.TimerHandle | None = None
        self._backoff = _MIN_BACKOFF
        self._connect_not_before = 0.0  # on the monotonic clock
        self._connect_error = ""  # the last one, until the server responds
        self._is_send_scheduled = False
        self._is_closed = False

    def call(self, path: str, message: bytes, timeout: float, on_response: ResponseCallback) -> PendingCall:
        """Start a call, which is given up after `timeout` seconds.

        `on_response` is called once, and never before this has returned, unless the call is cancelled.
        """
        loop = asyncio.get_running_loop()
        call = PendingCall(path, message, monotonic() + timeout, on_response)
        call.deadline_timer = loop.call_later(timeout, self._on_deadline, call)
        if self._is_closed or len(self._waiting) >= self._max_waiting:
            status = GrpcStatus.UNAVAILABLE if self._is_closed else GrpcStatus.RESOURCE_EXHAUSTED
            loop.call_soon(self._end, call, status, "no room for another question", b"")
            return call
        self._waiting[call] = None
        self._schedule_send()
        return call

    def cancel(self, call: PendingCall) -> None:
        """Give up a call; its caller is not notified any more."""
        self._release(call)

    def close(self) -> None:
        """End all calls and close all connections."""
        self._is_closed = True
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        for call in list(self._waiting):
            self._end(call, GrpcStatus.UNAVAILABLE, "closed", b"")
        for connection in list(self._connections):
            connection.transport.close()

    # What connections tell

    def on_connected(self, connection: GrpcConnection) -> None:
        """Take note that the connection is up."""
        self._connections.add(connection)

    def on_server_responded(self) -> None:
        """Let the next connection be made at once."""
        self._backoff = _MIN_BACKOFF
        self._connect_not_before = 0.0
        self._connect_error = ""

    def on_call_ended(self, call: PendingCall, ended: CallEnded) -> None:
        """End a call, or make it once more if the server never looked at it."""
        call.connection = None
        if self._can_retry(call, ended):
            self._waiting[call] = None
            self._schedule_send()
            return
        self._end(call, ended.status, ended.text, ended.message)

    def on_capacity(self) -> None:
        """Send the waiting calls."""
        self._send_waiting()

    def on_draining(self, connection: GrpcConnection) -> None:
        """Use another connection for new calls; those on this one are still answered."""
        if self._current is connection:
            self._current = None
            if self._waiting:
                self._schedule_send()

    def on_lost(self, connection: GrpcConnection) -> None:
        """Forget the connection."""
        self._connections.discard(connection)
        self.on_draining(connection)

    # The end of a call

    def _on_deadline(self, call: PendingCall) -> None:
        self._end(call, GrpcStatus.DEADLINE_EXCEEDED, self._connect_error or "no answer in time", b"")

    def _can_retry(self, call: PendingCall, ended: CallEnded) -> bool:
        if ended.is_processed or self._is_closed or call.is_over:
            return False
        return call.attempts < _MAX_ATTEMPTS and call.deadline - monotonic() > _MIN_RETRY_TIME

    def _end(self, call: PendingCall, status: int, text: str, message: bytes) -> None:
        """Notify the caller, unless the call is over."""
        if not self._release(call):
            return
        try:
            call.on_response(status, text, message)
        except Exception:
            _log.exception("an answer could not be taken")

    def _release(self, call: PendingCall) -> bool:
        """Take a call off the channel, the one place where it ends; return False if it is over already."""
        if call.is_over:
            return False
        call.is_over = True
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        self._waiting.pop(call, None)
        connection = call.connection
        call.connection = None
        if connection is not None:
            connection.cancel(call)
        return True

    # Sending

    def _schedule_send(self) -> None:
        """Send at the end of this turn of the event loop, so that its calls are written together."""
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_waiting)

    def _send_waiting(self) -> None:
        self._is_send_scheduled = False
        connection = self._current
        if connection is None:
            if self._waiting:
                self._connect()
            return
        available = connection.available_streams()
        while self._waiting and available > 0:
            call = next(iter(self._waiting))
            del self._waiting[call]
            call.attempts += 1
            connection.start_call(call)
            available -= 1
        if connection.is_connected:
            connection.flush()
            if connection.session.is_draining:
                self.on_draining(connection)

    # Connecting

    def _connect(self) -> None:
        """Start to connect, now or when the backoff is over, unless that has begun."""
        if self._connect_task is not None or self._is_closed:
            return
        loop = asyncio.get_running_loop()
        delay = self._connect_not_before - monotonic()
        if delay <= 0:
            self._connect_task = loop.create_task(self._open_connection())
        elif self._connect_timer is None:
            self._connect_timer = loop.call_later(delay, self._on_backoff_over)

    def _on_backoff_over(self) -> None:
        self._connect_timer = None
        self._send_waiting()

    async def _open_connection(self) -> None:
        try:
            connection = await self._create_connection()
        except (OSError, TimeoutError, ssl.SSLError) as error:
            self.connect_failures += 1
            self._connect_error = f"{format_address(self._address)}: {error or 'no connection in time'}"
            self._back_off()
        else:
            self._current = connection if connection.is_connected else None
            self._back_off()  # until the server responds: it may accept connections and close them again
            if self._is_closed:
                connection.transport.close()
        finally:
            self._connect_task = None
        self._send_waiting()

    async def _create_connection(self) -> GrpcConnection:
        host, port = self._address
        server_name = self._server_name or host if self._ssl_context is not None else None
        async with asyncio.timeout(_CONNECT_TIMEOUT):
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

    def _back_off(self) -> None:
        self._connect_not_before = monotonic() + self._backoff
        self._backoff = min(_MAX_BACKOFF, 2 * self._backoff)
