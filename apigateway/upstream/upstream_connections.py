"""All connections to hosts: sends attempts and health checks, and keeps the limit on connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from apigateway.messages import AttemptResult
from apigateway.upstream.address import Address
from apigateway.upstream.attempt import HEALTH_CHECK, Attempt
from apigateway.upstream.connection import Connection
from apigateway.upstream.connection_pool import ConnectionPool
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

IDLE_MARGIN = 0.1  # part of the hosts' idle time by which a connection is closed before them
IDLE_CHECK_INTERVAL_S = 0.5  # between checks for connections that are idle for too long
_TIMEOUT = AttemptResult.TIMEOUT  # bound once: a member is slow to look up in its class
HEALTH_CHECK_PAYLOAD = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"


class UpstreamConnections:
    """The connection pools of all endpoints; implements `core.interfaces.UpstreamPool`.

    `connect_timeout` and `idle_close`, after which hosts close idle connections, are in seconds;
    `max_connections` holds over all endpoints.
    """

    create_attempt = Attempt

    def __init__(self, connect_timeout: float, idle_close: float, max_connections: int) -> None:
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.max_idle_time = idle_close * (1 - IDLE_MARGIN)  # s; an older one is not used any more
        self.idle_close_time = self.max_idle_time - IDLE_CHECK_INTERVAL_S  # s; an older one is closed
        # One over all endpoints: what drops connections seldom lies at one of them.
        self.idle_policy = IdleConnectionPolicy()
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: set[Connection] = set()
        self._idle_check: asyncio.TimerHandle | None = None

    def update_endpoint(self, endpoint_id: str, address: Address | None) -> None:
        """Set the endpoint's address; None: nothing new goes to it."""
        pool = self.pools.get(endpoint_id)
        if pool is not None and pool.address != address:
            pool.stop()
            del self.pools[endpoint_id]
        if address is not None and endpoint_id not in self.pools:
            self.pools[endpoint_id] = ConnectionPool(self, address)

    def known_endpoints(self) -> set[str]:
        """Return the ids of the endpoints with an address."""
        return set(self.pools)

    def send(self, attempt: Attempt, timeout: float) -> None:
        """Send the attempt, and give it up after `timeout` seconds."""
        loop = asyncio.get_running_loop()
        pool = self.pools.get(attempt.endpoint_id)
        if pool is None:
            loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
            return
        attempt.timer = loop.call_later(timeout, self.abandon, attempt, _TIMEOUT)
        pool.start(attempt)

    def check_health(self, endpoint_id: str, done: Callable[[Attempt], None]) -> None:
        """Ask the endpoint for its load report; `done` is called with the attempt."""
        attempt = Attempt(endpoint_id, HEALTH_CHECK_PAYLOAD, done, HEALTH_CHECK)
        self.send(attempt, self.connect_timeout)

    def abandon(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop waiting for an attempt.

        The connection goes too: a late answer must not meet the next request on it.
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
        """The number of connections, those being established among them.

        Counted, not kept: a task that is cancelled before its first step could not take itself off again.
        """
        return len(self.connections) + sum(len(pool.connecting) for pool in self.pools.values())

    def make_room(self) -> bool:
        """Tell whether one more connection may be made; closes the longest idle one if need be."""
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
        """Close what is idle nearly as long as hosts allow, or so long that it may have been dropped.

        A request that meets either is reset.
        """
        self.idle_policy.decay(IDLE_CHECK_INTERVAL_S)
        before = monotonic() - min(self.idle_close_time, self.idle_policy.limit)
        for pool in self.pools.values():
            if pool.idle and pool.idle[0].idle_since < before:
                pool.close_idle(before)

    def start_idle_checks(self) -> None:
        """Close stale connections now and at each interval from now on."""
        self.close_stale_connections()
        loop = asyncio.get_running_loop()
        self._idle_check = loop.call_later(IDLE_CHECK_INTERVAL_S, self.start_idle_checks)

    def close(self) -> None:
        """Close every connection, and end the attempts on them."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        for pool in self.pools.values():
            pool.stop()
        for connection in list(self.connections):
            connection.close()

    def _cancel_connect(self, attempt: Attempt) -> None:
        """Stop establishing the attempt's connection, if that has begun."""
        pool = self.pools.get(attempt.endpoint_id)
        task = pool.connecting.pop(attempt, None) if pool else None
        if task is not None:
            task.cancel()
