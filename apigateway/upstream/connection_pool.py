"""The connections to one endpoint: the idle ones and those being established."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from time import monotonic
from typing import Protocol

from apigateway.event_loop import timeout_after_poll
from apigateway.messages import AttemptResult
from apigateway.upstream.address import Address
from apigateway.upstream.attempt import Attempt
from apigateway.upstream.connection import Connection
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

# Time after a reply in which a connection is not reused, as surplus bytes (a duplicate reply) may follow.
REUSE_DELAY_S = 0.02

log = logging.getLogger(__name__)


class PoolOwner(Protocol):
    """The state that all pools share; durations are in seconds."""

    connect_timeout: float
    max_idle_time: float
    idle_policy: IdleConnectionPolicy
    count_memory: Callable[[int], None]
    connections: set[Connection]  # of all endpoints
    closing: set[Connection]  # of all endpoints, closed with their descriptors still open

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, closing an idle one if necessary."""


class ConnectionPool:
    """The connections to one endpoint at one address.

    `idle` holds the connections without an attempt, the most recently used one last. `connecting` holds the
    attempts that wait for a new connection.
    """

    def __init__(self, owner: PoolOwner, address: Address) -> None:
        self.owner = owner
        self.idle_policy = owner.idle_policy
        self.address = address
        self.is_open = True
        self.idle: list[Connection] = []
        self.connecting: dict[Attempt, asyncio.Task[None]] = {}

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on the most recently used idle connection, or on a new one."""
        for connection in self._usable_idle_connections():
            if connection.is_reusable():
                self.idle.remove(connection)
                connection.start(attempt)
                return
            connection.close()
        loop = asyncio.get_running_loop()
        if not self.owner.ensure_capacity():
            loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
            return
        self.connecting[attempt] = loop.create_task(self._connect(attempt))

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after its attempt has ended."""
        if self.is_open:
            connection.idle_since = monotonic()
            self.idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is being closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.connections.discard(connection)

    def count_memory(self, size: int) -> None:
        """Add to the memory of partial replies, or subtract from it."""
        self.owner.count_memory(size)

    def on_closing(self, connection: Connection) -> None:
        """Record that a connection's descriptor stays open until `on_closed`."""
        self.owner.closing.add(connection)

    def on_closed(self, connection: Connection) -> None:
        """Record that a connection's descriptor is closed."""
        self.owner.closing.discard(connection)

    def close_idle(self, before: float = math.inf) -> None:
        """Close the connections that have been idle since before `before` (monotonic seconds)."""
        for connection in [connection for connection in self.idle if connection.idle_since < before]:
            connection.close()

    def stop(self) -> None:
        """Close the pool: end the attempts that wait for a connection, and close idle connections."""
        self.is_open = False
        self.close_idle()
        for attempt, task in list(self.connecting.items()):
            del self.connecting[attempt]
            task.cancel()
            attempt.end(AttemptResult.CONNECT_FAILED)

    def _usable_idle_connections(self) -> list[Connection]:
        """Return the connections idle neither too briefly nor too long, the most recently used one first."""
        now = monotonic()
        latest = now - REUSE_DELAY_S
        earliest = now - min(self.idle_policy.limit, self.owner.max_idle_time)
        return [
            connection for connection in reversed(self.idle) if earliest < connection.idle_since <= latest
        ]

    async def _connect(self, attempt: Attempt) -> None:
        """Open a connection for the attempt, and send the attempt unless it has ended meanwhile."""
        connection: Connection | None = None
        try:
            connection = await self._open_connection()
        except (OSError, ValueError):  # refused, timed out, out of descriptors, or an invalid address
            pass
        finally:
            is_waiting = self.connecting.pop(attempt, None) is not None
        if connection is not None:
            self.owner.connections.add(connection)
            if is_waiting and self._may_start(attempt, connection) and _update_payload(attempt):
                connection.start(attempt)
                return
            connection.close()
        if is_waiting:
            attempt.end(AttemptResult.CONNECT_FAILED)

    async def _open_connection(self) -> Connection:
        """Connect to the address. Raises OSError (including TimeoutError) or ValueError."""
        loop = asyncio.get_running_loop()
        async with timeout_after_poll(self.owner.connect_timeout):
            _, connection = await loop.create_connection(lambda: Connection(self), *self.address)
        return connection

    def _may_start(self, attempt: Attempt, connection: Connection) -> bool:
        """Return whether the attempt has not ended and its new connection is still open."""
        assert connection.transport is not None
        return not attempt.is_ended and self.is_open and not connection.transport.is_closing()


def _update_payload(attempt: Attempt) -> bool:
    """Update the attempt's payload; else end the attempt, and return False."""
    try:
        is_wanted = attempt.update_payload()
    except Exception:  # otherwise the attempt would end only at its timeout
        log.exception("failed to encode an attempt")
        return False
    if not is_wanted:
        attempt.end(AttemptResult.ABANDONED)  # this tells nothing about the host
    return is_wanted
