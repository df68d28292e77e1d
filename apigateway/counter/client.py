"""Client of the quota counter: pipelines calls over a few persistent connections, sharded by counter key."""

from __future__ import annotations

import asyncio

from apigateway.counter import wire
from apigateway.counter.connection import CounterConnection
from apigateway.counter.pending_call import PendingCall, ResultCallback
from apigateway.event_loop import call_after_poll
from apigateway.messages import CounterCallResult
from apigateway.upstream.address import Address

CONNECTION_COUNT = 4  # several, so that a slow partition of the counter does not delay the keys of the others

_LIVENESS_CHECK_INTERVAL_S = 0.25
_MIN_REPLY_TIMEOUT_S = 0.5  # shortest time after which a connection with an overdue reply is aborted
# Multiple of the call timeout that is used if it is longer; all overdue calls have timed out by then.
_REPLY_TIMEOUT_FACTOR = 2


class QuotaCounterClient:
    """Adds to totals on the quota counter.

    Attributes:
        timeout: Seconds after which a call is reported as timed out.
        connections: The connections in use, by index.
        replacements: Connections to a new address, by the index at which they are used once connected.
        retiring: Replaced connections that still wait for replies.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        """Create a client, which `start` connects. `timeout` is in seconds."""
        self.timeout = timeout
        self.connections: list[CounterConnection] = []
        self.replacements: dict[int, CounterConnection] = {}
        self.retiring: set[CounterConnection] = set()
        self._address = address
        self._any_connected = asyncio.Event()  # set once any connection has been established
        self._liveness_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect, and to check the connections periodically."""
        self.connections = [self._create_connection() for _ in range(CONNECTION_COUNT)]
        self._liveness_task = asyncio.get_running_loop().create_task(self._check_liveness())

    def close(self) -> None:
        """Close all connections immediately."""
        if self._liveness_task is not None:
            self._liveness_task.cancel()
        for connection in [*self.connections, *self.replacements.values(), *self.retiring]:
            connection.close()

    def change_address(self, address: Address) -> None:
        """Migrate to a new address; each connection is used until its replacement is established."""
        self._address = address
        for superseded in self.replacements.values():
            superseded.close()
        self.replacements = {index: self._create_connection() for index in range(CONNECTION_COUNT)}

    async def wait_until_connected(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds until any connection is established; return whether one was."""
        try:
            async with asyncio.timeout(timeout):
                await self._any_connected.wait()
        except TimeoutError:
            return False
        return True

    def add(self, counter_key: int, amount: float, lifetime: float, on_result: ResultCallback) -> None:
        """Add to a total, which the counter deletes when its lifetime is over.

        Args:
            counter_key: Key of the total.
            amount: Units to add, sent with seven significant digits.
            lifetime: Seconds for which the counter keeps the total.
            on_result: Called exactly once, and never before this method has returned.
        """
        call = PendingCall(counter_key, on_result)
        loop = asyncio.get_running_loop()
        if self._write(call, wire.encode_add(counter_key, amount, lifetime)):
            call.set_deadline(loop, self.timeout)
        else:
            loop.call_soon(call.finish, CounterCallResult.CONNECT_FAILED)

    def _write(self, call: PendingCall, command: bytes) -> bool:
        """Write to the connection of the key, which keeps the key's replies in order, or to another one.

        Another connection is used while that one reconnects, as it does after each malformed reply.
        """
        index = call.counter_key % CONNECTION_COUNT
        for connection in self.connections[index:] + self.connections[:index]:
            if connection.write(call, command):
                return True
        return False

    def _create_connection(self) -> CounterConnection:
        reply_timeout = max(_MIN_REPLY_TIMEOUT_S, _REPLY_TIMEOUT_FACTOR * self.timeout)
        return CounterConnection(self._address, self._on_connected, reply_timeout)

    def _on_connected(self, connection: CounterConnection) -> None:
        self._any_connected.set()
        for index, replacement in self.replacements.items():
            if replacement is connection:
                self._replace(index)
                return

    def _replace(self, index: int) -> None:
        """Switch to the replacement at this index and retire the connection that it replaces."""
        replaced = self.connections[index]
        self.connections[index] = self.replacements.pop(index)
        self.retiring.add(replaced)
        replaced.retire()

    async def _check_liveness(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_LIVENESS_CHECK_INTERVAL_S)
            call_after_poll(loop, self._check_connections)

    def _check_connections(self) -> None:
        for connection in [*self.connections, *self.retiring]:
            connection.check_liveness()
        self.retiring = {connection for connection in self.retiring if connection.pending_calls}
