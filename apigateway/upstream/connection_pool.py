"""The connections to one endpoint: the idle ones and those being established."""

from __future__ import annotations

import asyncio
import math
from time import monotonic
from typing import Protocol

from apigateway.messages import AttemptResult
from apigateway.upstream.address import Address
from apigateway.upstream.attempt import Attempt
from apigateway.upstream.connection import Connection
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

SETTLE_TIME_S = 0.02  # after an answer, in which what came behind it, a second copy or noise, can still show


class PoolOwner(Protocol):
    """What all pools share; durations are in seconds."""

    connect_timeout: float
    max_idle_time: float
    idle_policy: IdleConnectionPolicy
    connections: set[Connection]  # of all endpoints

    def make_room(self) -> bool:
        """Tell whether one more connection may be made."""


class ConnectionPool:
    """The connections to one endpoint at one address.

    `idle` holds the connections without an attempt, the one used last at the end. `connecting` holds the
    attempts that wait for a connection of their own.
    """

    def __init__(self, owner: PoolOwner, address: Address) -> None:
        self.owner = owner
        self.idle_policy = owner.idle_policy
        self.address = address
        self.is_open = True
        self.idle: list[Connection] = []
        self.connecting: dict[Attempt, asyncio.Task[None]] = {}

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on the idle connection used last, or on a new one."""
        for connection in self._usable_idle_connections():
            if connection.is_reusable():
                self.idle.remove(connection)
                connection.start(attempt)
                return
            connection.close()
        loop = asyncio.get_running_loop()
        if not self.owner.make_room():
            loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
            return
        self.connecting[attempt] = loop.create_task(self._connect(attempt))

    def release(self, connection: Connection) -> None:
        """Take back a connection whose attempt has ended."""
        if self.is_open:
            connection.idle_since = monotonic()
            self.idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.connections.discard(connection)

    def close_idle(self, before: float = math.inf) -> None:
        """Close the connections that are idle since before `before` (monotonic seconds)."""
        for connection in [connection for connection in self.idle if connection.idle_since < before]:
            connection.close()

    def stop(self) -> None:
        """Send nothing new to this address, nor what still waits for a connection to it."""
        self.is_open = False
        self.close_idle()
        for attempt, task in list(self.connecting.items()):
            del self.connecting[attempt]
            task.cancel()
            attempt.end(AttemptResult.CONNECT_FAILED)

    def _usable_idle_connections(self) -> list[Connection]:
        """List the connections idle neither too shortly nor too long, the one used last first."""
        now = monotonic()
        latest = now - SETTLE_TIME_S
        earliest = now - min(self.idle_policy.limit, self.owner.max_idle_time)
        return [
            connection for connection in reversed(self.idle) if earliest < connection.idle_since <= latest
        ]

    async def _connect(self, attempt: Attempt) -> None:
        """Establish a connection for the attempt, and send it unless it has ended meanwhile."""
        connection: Connection | None = None
        try:
            connection = await self._open_connection()
        except (OSError, ValueError):  # refused, out of time or descriptors, or no address at all
            pass
        finally:
            is_waiting = self.connecting.pop(attempt, None) is not None
        if connection is not None:
            self.owner.connections.add(connection)
            if is_waiting and self._may_start(attempt, connection):
                connection.start(attempt)
                return
            connection.close()
        if is_waiting:
            attempt.end(AttemptResult.CONNECT_FAILED)

    async def _open_connection(self) -> Connection:
        """Connect to the address. Raises OSError, TimeoutError among them, and ValueError."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.owner.connect_timeout):
            _, connection = await loop.create_connection(lambda: Connection(self), *self.address)
        return connection

    def _may_start(self, attempt: Attempt, connection: Connection) -> bool:
        """Tell whether the attempt and its new connection are both still alive."""
        assert connection.transport is not None
        return not attempt.is_ended and self.is_open and not connection.transport.is_closing()
