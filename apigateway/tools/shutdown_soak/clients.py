"""Clients that keep using their connections until the gateway ends them, each kind in its own way."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
from collections.abc import Coroutine

from apigateway.emulators.client_messages import ClientRequest
from apigateway.emulators.ledger import Ledger
from apigateway.tools.shutdown_soak.connection import OpenRequest, SoakConnection
from apigateway.tools.shutdown_soak.plan import SoakPlan

# A request that was written this long before the end of its connection may have crossed it unread.
CROSSING_S = 0.25
ANSWER_MARGIN_S = 1.0  # after its timeout, and all pauses of the gateway, a client takes a request for lost
HALF_COMMAND_LIMIT_S = 3.0  # in which half a command gets its error or the end of its connection
HALF_COMMAND_MARGIN_S = 0.5
RECONNECT_PAUSE_S = 0.02
MAX_BUSY_INTERVAL_S = 0.02  # between two requests on a connection that is never idle
NEWCOMER_INTERVAL_S = 0.01
EFFECTS = {"read": "safe", "write": "keyed", "note": "unsafe"}


class SoakClients:
    """All clients of one run.

    Attributes:
        connect_failures: The number of connections that could not be opened.
        breaches: Rules of this module that were broken, a line each.
        stopped_at: When the gateway was told to end, by `time.monotonic`; infinite if it was not.
        has_crowd: Whether a crowd fills the descriptors; new connections may be closed unread then.
    """

    def __init__(self, plan: SoakPlan, port: int, ledger: Ledger) -> None:
        self.connect_failures = 0
        self.breaches: list[str] = []
        self.stopped_at = math.inf
        self.has_crowd = False
        self._plan = plan
        self._port = port
        self._ledger = ledger
        self._rng = random.Random(f"clients/{plan.seed}")
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[SoakConnection] = set()
        self._resent: set[str] = set()
        self._is_over = False

    # Life cycle

    def start(self) -> None:
        """Start the clients of the plan."""
        plan = self._plan
        for client, count in (
            (self._send_steadily, plan.steady_clients),
            (self._pipeline, plan.pipelining_clients),
            (self._rest, plan.resting_clients),
            (self._send_half_a_command, plan.half_command_clients),
            (self._leave, plan.leaving_clients),
            (self._half_close, plan.half_closing_clients),
            (self._keep_busy, plan.busy_connections),
        ):
            for _ in range(count):
                self.run(client())

    def run(self, client: Coroutine[None, None, None]) -> None:
        """Run a client until `stop`."""
        task = asyncio.get_running_loop().create_task(client)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop all clients: the gateway has ended."""
        self._is_over = True
        await asyncio.sleep(0)  # connections that ended with the gateway are read first
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.breaches.append(f"a client failed: {result!r}")
        for connection in list(self._connections):
            connection.leave()

    # Connections and requests

    async def connect(self) -> SoakConnection | None:
        """Open a connection; None if the gateway does not accept one, or new ones do not come any more."""
        if self._are_newcomers_over():
            return None
        connection = await SoakConnection.open(self._port, self._ledger, self._on_connection_ended)
        if connection is None:
            self.connect_failures += 1
            return None
        if self._are_newcomers_over():  # this loop was late, and the gateway may have given the connection up
            connection.leave()
            return None
        self._connections.add(connection)
        return connection

    def _are_newcomers_over(self) -> bool:
        return time.monotonic() > self.stopped_at + self._plan.newcomers_s

    def new_request(self) -> ClientRequest:
        """Draw a request."""
        rng = self._rng
        service_class = rng.choice(list(EFFECTS))
        longest = self._plan.longest_deadline_s
        return ClientRequest(
            id=f"{self._plan.seed & 0xFFFF:04x}{next(self._numbers):012x}",
            customer=f"{rng.randrange(8):016x}",
            plan="p",
            service_class=service_class,
            effect=EFFECTS[service_class],
            timeout_s=round(rng.uniform(min(0.25, longest), longest), 3),
        )

    def _on_connection_ended(self, connection: SoakConnection) -> None:
        """Decide what the gateway owes to the requests that were open on a connection that it has ended."""
        self._connections.discard(connection)
        for open_request in connection.open_requests:
            request_id = open_request.request.id
            is_crossing = (
                connection.ended_at - open_request.written_at < CROSSING_S and connection.answer_count > 0
            )
            is_shut_unread = self.has_crowd and connection.answer_count == 0
            if is_shut_unread or (is_crossing and request_id in self._resent):
                self._ledger.excuse_unforwarded(request_id)
            elif is_crossing and not self._is_over:
                self._resent.add(request_id)
                self.run(self._resend(open_request))
            elif is_crossing:
                self._ledger.excuse_unforwarded(request_id)
            else:
                self._ledger.record_disconnect(request_id, self._describe(connection, open_request))
        connection.open_requests.clear()

    def _describe(self, connection: SoakConnection, open_request: OpenRequest) -> str:
        """Return what is known of a connection that ended without the answer to a request."""
        ended_s = connection.ended_at - open_request.written_at
        parts = [
            f"connection opened {connection.opened_at - self.stopped_at:.3f} s after the signal",
            f"{connection.answer_count} answers on it",
            f"its end arrived {ended_s:.3f} s after the request was written",
        ]
        if open_request.request.id in self._resent:
            parts.append("sent once more")
        return ", ".join(parts)

    async def _resend(self, open_request: OpenRequest) -> None:
        """Send a request that crossed the end of its connection once more, on a new connection."""
        request = open_request.request
        connection = await self.connect()
        if connection is None:
            self._ledger.excuse_unforwarded(request.id)
            return
        await self.call(connection, request)

    async def call(self, connection: SoakConnection, *requests: ClientRequest) -> bool:
        """Send requests at once and wait for their answers; return whether the connection is still open."""
        if not connection.send(*requests):
            return False
        paused_s = sum(pause.lasts_s for pause in self._plan.pauses)
        timeout = max(request.timeout_s for request in requests) + paused_s + ANSWER_MARGIN_S
        try:
            async with asyncio.timeout(timeout):
                while connection.open_requests:
                    connection.answered.clear()
                    await connection.answered.wait()
        except TimeoutError:
            for open_request in connection.open_requests:
                self._ledger.record_disconnect(open_request.request.id)
            connection.open_requests.clear()
            connection.leave()
        return not connection.ended.is_set()

    # Kinds of clients

    async def _send_steadily(self) -> None:
        """Send one request after another on a connection, and open a new one when it ends."""
        while True:
            connection = await self.connect()
            while connection is not None and await self.call(connection, self.new_request()):
                await asyncio.sleep(self._rng.uniform(0.0, 0.02))
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _pipeline(self) -> None:
        """Send several requests at once."""
        while True:
            connection = await self.connect()
            while connection is not None:
                requests = [self.new_request() for _ in range(self._rng.randint(2, 20))]
                if not await self.call(connection, *requests):
                    break
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _rest(self) -> None:
        """Rest between requests, also until the gateway ends the connection."""
        while True:
            connection = await self.connect()
            while connection is not None and await self.call(connection, self.new_request()):
                await asyncio.sleep(self._rng.choice([0.05, 0.3, 1.0, 3.0]))
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _send_half_a_command(self) -> None:
        """Stop in the middle of a command and stay; that is owed an error or the connection's end."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            connection = await self.connect()
            if connection is None:
                continue
            data = self.new_request().encode()
            connection.send_bytes(data[: self._rng.randrange(1, len(data) - 1)])
            limit_s = HALF_COMMAND_LIMIT_S + HALF_COMMAND_MARGIN_S
            try:
                async with asyncio.timeout(limit_s):
                    await connection.ended.wait()
            except TimeoutError:
                if not connection.other_replies:
                    self.breaches.append(f"half a command got neither an error nor an end in {limit_s} s")
                connection.leave()

    async def _leave(self) -> None:
        """Leave at once or while the request is out."""
        while True:
            connection = await self.connect()
            if connection is not None and connection.send(self.new_request()):
                await asyncio.sleep(self._rng.choice([0.0, 0.001, 0.02, 0.1]))
                connection.leave()
            await asyncio.sleep(self._rng.uniform(0.02, 0.2))

    async def _half_close(self) -> None:
        """End the sending side while a request is out, and stay."""
        while True:
            connection = await self.connect()
            if connection is not None and connection.send(self.new_request()):
                await asyncio.sleep(self._rng.choice([0.0, 0.01]))
                connection.half_close()
                await connection.ended.wait()
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))

    async def _keep_busy(self) -> None:
        """Send requests without waiting for answers, so that the connection is never idle."""
        while True:
            connection = await self.connect()
            while connection is not None and connection.send(self.new_request()):
                await asyncio.sleep(self._rng.uniform(0.0, MAX_BUSY_INTERVAL_S))
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def open_newcomers(self) -> None:
        """Open new connections with one request each, as long as the gateway accepts some."""
        while (connection := await self.connect()) is not None:
            self.run(self._call_and_leave(connection))
            await asyncio.sleep(NEWCOMER_INTERVAL_S)

    async def _call_and_leave(self, connection: SoakConnection) -> None:
        if await self.call(connection, self.new_request()):
            connection.leave()

    async def crowd(self, size: int, seconds: float) -> None:
        """Fill the gateway's descriptors with idle connections for a time."""
        self.has_crowd = True
        connections = [await self.connect() for _ in range(size)]
        await asyncio.sleep(seconds)
        for connection in connections:
            if connection is not None:
                connection.leave()
        # Connections that were refused meanwhile may be noticed a little later.
        await asyncio.sleep(CROSSING_S)
        self.has_crowd = False
