"""Clients that speak RESP2 to gateways, and customers whose traffic they carry.

The ledger is told of each request and of what comes back.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import hiredis

from apigateway.emulators.client_messages import Answer, ClientRequest, ResultKind, parse_answer
from apigateway.emulators.ledger import Ledger

__all__ = [
    "Address",
    "Answer",
    "Client",
    "Customer",
    "TrafficClass",
    "ClientRequest",
    "Traffic",
    "parse_answer",
]

Address = tuple[str, int]
TIMEOUT_MARGIN_S = 1.0  # past its own time, after which a client takes a request for lost
CONNECT_TIMEOUT_S = 1.0
MIN_RETRY_WAIT_S = 0.1
ID_PREFIX_BITS = 32  # of the ids of one traffic


class ClientConnection(asyncio.Protocol):
    """A connection that is kept, with one request on it at a time.

    Attributes:
        answer_count: Requests that were answered on it.
        is_open: Whether the gateway has not ended it.
    """

    def __init__(self, client: Client, gateway: str) -> None:
        self._client = client
        self._parser = hiredis.Reader(notEnoughData=...)
        self._pending: asyncio.Future[Answer] | None = None
        self.gateway = gateway
        self.answer_count = 0
        self.is_open = True
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Hand the replies over; one that nobody waits for goes to the ledger."""
        self._parser.feed(data)
        while (reply := self._parser.gets()) is not ...:
            if self._pending is None or self._pending.done():
                self._client.ledger.record_unsolicited_answer(self.gateway)
            else:
                self.answer_count += 1
                self._pending.set_result(parse_answer(reply))

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the request that waits for lost."""
        self.is_open = False
        self._client.remove_idle(self)
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(Answer(ResultKind.LOST))

    async def send(self, message: bytes, seconds: float) -> Answer:
        """Send a request and wait for its answer; after so many seconds it is lost."""
        self._pending = asyncio.get_running_loop().create_future()
        self.transport.write(message)
        try:
            async with asyncio.timeout(seconds):
                answer = await self._pending
        except TimeoutError:
            self.transport.abort()
            return Answer(ResultKind.LOST)
        self._pending = None
        return answer


class Client:
    """Sends requests to gateways by name.

    Attributes:
        connect_failures: Connections that were refused.
    """

    def __init__(self, ledger: Ledger, gateways: Mapping[str, Address]) -> None:
        self.ledger = ledger
        self.gateways = gateways
        self._idle: dict[str, list[ClientConnection]] = {name: [] for name in gateways}
        self.connect_failures = 0

    async def send(self, gateway: str, order: ClientRequest) -> Answer:
        """Send a request and return its answer, which the ledger is told.

        The gateway may close a connection between requests; a request that crosses that is sent once more, on
        a new connection.
        """
        connection = await self._connection(gateway)
        if connection is None:
            return Answer(ResultKind.UNREACHABLE)
        was_used = connection.answer_count > 0
        answer = await self._ask_on(connection, order)
        if answer.kind == ResultKind.LOST and was_used:
            new_connection = await self._connection(gateway, is_new=True)
            if new_connection is not None:
                connection = new_connection
                answer = await self._ask_on(connection, order)
        if answer.kind == ResultKind.LOST:
            self.ledger.record_disconnect(order.id)
        else:
            self.ledger.record_answer(order.id, answer.kind, answer.value)
            if connection.is_open:
                self._idle[gateway].append(connection)
        return answer

    async def _connection(self, gateway: str, is_new: bool = False) -> ClientConnection | None:
        """Return an idle connection or a new one; None if the gateway cannot be reached."""
        if self._idle[gateway] and not is_new:
            return self._idle[gateway].pop()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self, gateway), *self.gateways[gateway]
                )
        except (OSError, TimeoutError):
            self.connect_failures += 1
            return None
        return connection

    async def _ask_on(self, connection: ClientConnection, order: ClientRequest) -> Answer:
        self.ledger.record_request(
            order.id,
            connection.gateway,
            order.timeout_s,
            order.customer,
            order.plan,
            order.service_class,
            order.units,
        )
        return await connection.send(order.encode(), order.timeout_s + TIMEOUT_MARGIN_S)

    def remove_idle(self, connection: ClientConnection) -> None:
        """Keep a connection no longer: it has ended."""
        idle = self._idle[connection.gateway]
        if connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in itertools.chain.from_iterable(list(idle) for idle in self._idle.values()):
            connection.transport.close()


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class as customers use it: its share of requests and how many seconds they wait."""

    name: str
    effect: str
    share: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer: it comes through `gateway_count` gateways in a row from `first_gateway` on."""

    id: str
    plan: str
    rate: float  # requests a second that it asks for
    first_gateway: int
    gateway_count: int


class ScheduledRequest(NamedTuple):
    """When a customer asks next, by its number."""

    at: float  # s from the start of the traffic
    customer: int


class Traffic:
    """Customers' requests by a schedule of their own (Poisson), whatever the gateways do.

    Whom a gateway refuses comes once more, after the time that it was told; whom it does not reach tries
    another gateway of its set.

    Attributes:
        tasks: The requests that are under way.
        latencies_s: Seconds of each request that was served.
    """

    def __init__(
        self,
        client: Client,
        customers: Sequence[Customer],
        classes: Sequence[TrafficClass],
        seed: int = 1,
        retry_share: float = 0.5,
    ) -> None:
        """Prepare the traffic.

        Args:
            client: Sends the requests.
            customers: Who asks.
            classes: What they ask for.
            seed: Of the schedule.
            retry_share: Part of those refused that come again.
        """
        self.client = client
        self.customers = customers
        self.classes = classes
        self.retry_share = retry_share
        self.tasks: set[asyncio.Task[None]] = set()
        self.latencies_s: list[float] = []
        self._rng = random.Random(seed)
        self._gateways = list(client.gateways)
        self._orders = 0
        self._id_prefix = f"{self._rng.getrandbits(ID_PREFIX_BITS):08x}"

    async def run(self, seconds: float) -> None:
        """Send requests for so long, and wait until each has come to its end."""
        loop = asyncio.get_running_loop()
        schedule = self._draw_schedule(seconds)
        began = loop.time()
        for due in schedule:
            await asyncio.sleep(max(0.0, began + due.at - loop.time()))
            self.start_request(self.customers[due.customer])
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    def _draw_schedule(self, seconds: float) -> list[ScheduledRequest]:
        due = [
            ScheduledRequest(self._rng.expovariate(customer.rate), number)
            for number, customer in enumerate(self.customers)
            if customer.rate > 0
        ]
        schedule: list[ScheduledRequest] = []
        while due:
            request = due.pop()
            if request.at < seconds:
                schedule.append(request)
                interval = self._rng.expovariate(self.customers[request.customer].rate)
                due.append(ScheduledRequest(request.at + interval, request.customer))
        return sorted(schedule)

    def start_request(self, customer: Customer) -> None:
        """Begin a request of a customer."""
        kind = self._rng.choices(self.classes, [kind.share for kind in self.classes])[0]
        task = asyncio.get_running_loop().create_task(self._request(customer, kind))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _request(self, customer: Customer, kind: TrafficClass) -> None:
        """Send a request, and once more if it is refused."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        is_retry = False
        while True:
            answer = await self._try_gateways(customer, kind, is_retry)
            if answer.kind == ResultKind.SERVED:
                self.latencies_s.append(loop.time() - began)
            if is_retry or answer.kind != ResultKind.REFUSED or self._rng.random() >= self.retry_share:
                return
            is_retry = True
            await asyncio.sleep(max(MIN_RETRY_WAIT_S, answer.retry_after_s))

    async def _try_gateways(self, customer: Customer, kind: TrafficClass, is_retry: bool) -> Answer:
        """Send a request to the customer's gateways in a random order, until one is reached."""
        count = len(self._gateways)
        gateways = [
            self._gateways[(customer.first_gateway + n) % count] for n in range(customer.gateway_count)
        ]
        self._rng.shuffle(gateways)
        for gateway in gateways:
            answer = await self.client.send(gateway, self._new_order(customer, kind, is_retry))
            if answer.kind != ResultKind.UNREACHABLE:
                return answer
        return Answer(ResultKind.UNREACHABLE)

    def _new_order(self, customer: Customer, kind: TrafficClass, is_retry: bool) -> ClientRequest:
        self._orders += 1
        return ClientRequest(
            id=f"{self._id_prefix}{self._orders:08x}",
            customer=customer.id,
            plan=customer.plan,
            service_class=kind.name,
            effect=kind.effect,
            timeout_s=kind.timeout_s,
            gateway_count=customer.gateway_count,
            first_gateway=customer.first_gateway,
            is_retry=is_retry,
        )
