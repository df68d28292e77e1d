"""All connections to hosts: sends attempts and health checks, and enforces the limit on connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from apigateway.event_loop import call_after_poll
from apigateway.messages import AttemptResult
from apigateway.upstream.address import Address
from apigateway.upstream.attempt import HEALTH_CHECK, Attempt
from apigateway.upstream.connection import Connection
from apigateway.upstream.connection_pool import ConnectionPool
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

IDLE_MARGIN_FRACTION = 0.1  # fraction of the hosts' idle timeout by which connections are closed early
IDLE_CHECK_INTERVAL_S = 0.5  # between checks for connections that have been idle for too long
_TIMEOUT = AttemptResult.TIMEOUT  # a module constant, because enum member lookup is slow
HEALTH_CHECK_PAYLOAD = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"


class UpstreamConnections:
    """The connection pools of all endpoints; implements `core.interfaces.UpstreamPool`.

    `connect_timeout` and `idle_close`, the time after which hosts close idle connections, are in seconds.
    `max_connections` is the limit over all endpoints.
    """

    create_attempt = Attempt

    def __init__(self, connect_timeout: float, idle_close: float, max_connections: int) -> None:
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.max_idle_time = idle_close * (1 - IDLE_MARGIN_FRACTION)  # s; not reused if idle for longer
        self.idle_close_time = self.max_idle_time - IDLE_CHECK_INTERVAL_S  # s; closed if idle for longer
        # Shared by all endpoints, because the cause of dropped connections is rarely a single endpoint.
        self.idle_policy = IdleConnectionPolicy()
        self.count_memory: Callable[[int], None] = _ignore_memory  # set by the owner; of partial replies
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: set[Connection] = set()
        self.closing: set[Connection] = set()  # closed, but their descriptors are still open
        self._idle_check: asyncio.TimerHandle | None = None

    def update_endpoint(self, endpoint_id: str, address: Address | None) -> None:
        """Set the endpoint's address; with None, nothing more is sent to it."""
        pool = self.pools.get(endpoint_id)
        if pool is not None and pool.address != address:
            pool.stop()
            del self.pools[endpoint_id]
        if address is not None and endpoint_id not in self.pools:
            self.pools[endpoint_id] = ConnectionPool(self, address)

    def known_endpoints(self) -> set[str]:
        """Return the ids of all endpoints that have an address."""
        return set(self.pools)

    def send(self, attempt: Attempt, timeout: float) -> None:
        """Send the attempt, and abandon it after `timeout` seconds."""
        loop = asyncio.get_running_loop()
        pool = self.pools.get(attempt.endpoint_id)
        if pool is None:
            loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
            return
        attempt.deadline = monotonic() + timeout
        attempt.timer = loop.call_later(timeout, call_after_poll, loop, self.abandon, attempt, _TIMEOUT)
        pool.start(attempt)

    def check_health(self, endpoint_id: str, on_ended: Callable[[Attempt], None]) -> None:
        """Request the endpoint's load report; `on_ended` is called with the attempt."""
        attempt = Attempt(endpoint_id, HEALTH_CHECK_PAYLOAD, on_ended, HEALTH_CHECK)
        self.send(attempt, self.connect_timeout)

    def abandon(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop waiting for an attempt.

        Its connection is closed, because a late reply must not be read as the reply to the next attempt.
        """
        if attempt.is_ended:
            return
        connection = attempt.connection
        if connection is None:
            self._cancel_connect(attempt)
            attempt.end(AttemptResult.CONNECT_FAILED)
            return
        if not connection.is_written:
            result = AttemptResult.CONNECT_FAILED
        connection.attempt = None
        connection.close()
        attempt.end(result)

    @property
    def open_count(self) -> int:
        """The number of connections, including those being established or closed.

        It is computed at each use. A task that is cancelled before its first step could not decrement a
        stored count.
        """
        return (
            len(self.connections)
            + len(self.closing)
            + sum(len(pool.connecting) for pool in self.pools.values())
        )

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, closing the longest idle one if necessary."""
        if self.open_count < self.max_connections:
            return True
        longest_idle = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the endpoint's idle connections."""
        if endpoint_id in self.pools:
            self.pools[endpoint_id].close_idle()

    def close_stale_connections(self) -> None:
        """Close connections that the host will soon close or that a device on the path may have dropped.

        A request on such a connection would be reset.
        """
        self.idle_policy.decay(IDLE_CHECK_INTERVAL_S)
        before = monotonic() - min(self.idle_close_time, self.idle_policy.limit)
        for pool in self.pools.values():
            if pool.idle and pool.idle[0].idle_since < before:
                pool.close_idle(before)

    def start_idle_checks(self) -> None:
        """Close stale connections now and then every IDLE_CHECK_INTERVAL_S."""
        self.close_stale_connections()
        loop = asyncio.get_running_loop()
        self._idle_check = loop.call_later(IDLE_CHECK_INTERVAL_S, self.start_idle_checks)

    def close(self) -> None:
        """Close all connections and end the attempts on them."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        for pool in self.pools.values():
            pool.stop()
        for connection in list(self.connections):
            connection.close()

    def _cancel_connect(self, attempt: Attempt) -> None:
        """Stop opening the attempt's connection, if that is in progress."""
        pool = self.pools.get(attempt.endpoint_id)
        task = pool.connecting.pop(attempt, None) if pool else None
        if task is not None:
            task.cancel()


def _ignore_memory(_size: int) -> None:
    """Count nothing."""
