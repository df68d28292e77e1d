"""Clients that send customers' requests to gateways over RESP2.

They record each request and its answer in the ledger.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from apigateway.emulators.client_messages import Answer, ClientRequest, ResultKind, parse_answer
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.timing.timestamped_socket import ReceivedReply, ReplyReader

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
TIMEOUT_MARGIN_S = 1.0  # after its timeout, a client counts a request as lost
CONNECT_TIMEOUT_S = 1.0
MIN_RETRY_WAIT_S = 0.1
ID_PREFIX_BITS = 32  # shared by all request ids of one `Traffic`


class ReceivedAnswer(NamedTuple):
    """An answer, and when its last byte arrived at the client's socket, by `time.monotonic`."""

    answer: Answer
    arrived_at: float = math.nan  # not known of a lost request
    is_merged: bool = False  # as of a `ReceivedReply`


class ClientConnection:
    """A persistent connection with at most one open request.

    It reads its socket itself, to learn from the kernel when an answer arrived: the event loop may read it
    later, which is not the gateway's delay.

    Attributes:
        answer_count: The number of requests answered on it.
        is_open: Whether it has not been closed.
    """

    def __init__(self, client: Client, gateway: str, sock: socket.socket) -> None:
        self._client = client
        self._socket = sock
        self._pending: asyncio.Future[ReceivedAnswer] | None = None
        self.gateway = gateway
        self.answer_count = 0
        self.is_open = True
        self._reader = ReplyReader(sock, self._on_reply, self._on_ended)

    def _on_reply(self, reply: ReceivedReply) -> None:
        """Complete the open request with its reply; record a reply without a request in the ledger."""
        if self._pending is None or self._pending.done():
            self._client.ledger.record_unsolicited_answer(self.gateway)
        else:
            self.answer_count += 1
            self._pending.set_result(
                ReceivedAnswer(parse_answer(reply.value), reply.arrived_at, reply.is_merged)
            )

    def _on_ended(self, _ended_at: float) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection; an open request counts as lost."""
        if not self.is_open:
            return
        self.is_open = False
        self._reader.stop()
        self._socket.close()
        self._client.remove_idle(self)
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(ReceivedAnswer(Answer(ResultKind.LOST)))

    async def send(self, message: bytes, seconds: float) -> ReceivedAnswer:
        """Send a request and return its answer; after `seconds` without one it counts as lost."""
        loop = asyncio.get_running_loop()
        self._pending = loop.create_future()
        try:
            async with asyncio.timeout(seconds):
                await loop.sock_sendall(self._socket, message)
                received = await self._pending
        except (TimeoutError, OSError):
            self.close()
            return ReceivedAnswer(Answer(ResultKind.LOST))
        self._pending = None
        return received


class Client:
    """Sends requests to gateways by name.

    Attributes:
        connect_failures: The number of connections that could not be opened.
    """

    def __init__(self, ledger: Ledger, gateways: Mapping[str, Address]) -> None:
        self.ledger = ledger
        self.gateways = gateways
        self._idle: dict[str, list[ClientConnection]] = {name: [] for name in gateways}
        self.connect_failures = 0

    async def send(self, gateway: str, request: ClientRequest) -> Answer:
        """Send a request, record it in the ledger and return its answer.

        The gateway may close an idle connection just as a request is sent on it. Such a request is sent once
        more, on a new connection.
        """
        connection = await self._connection(gateway)
        if connection is None:
            return Answer(ResultKind.UNREACHABLE)
        was_used = connection.answer_count > 0
        received = await self._send_on(connection, request)
        if received.answer.kind == ResultKind.LOST and was_used:
            new_connection = await self._connection(gateway, is_new=True)
            if new_connection is not None:
                connection = new_connection
                received = await self._send_on(connection, request)
        answer = received.answer
        if answer.kind == ResultKind.LOST:
            self.ledger.record_disconnect(request.id)
        else:
            self.ledger.record_answer(
                request.id, answer.kind, answer.value, received.arrived_at, received.is_merged
            )
            if connection.is_open:
                self._idle[gateway].append(connection)
        return answer

    async def _connection(self, gateway: str, is_new: bool = False) -> ClientConnection | None:
        """Return an idle connection or a new one; None if the gateway cannot be reached."""
        if self._idle[gateway] and not is_new:
            return self._idle[gateway].pop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, self.gateways[gateway])
        except (OSError, TimeoutError):
            sock.close()
            self.connect_failures += 1
            return None
        return ClientConnection(self, gateway, sock)

    async def _send_on(self, connection: ClientConnection, request: ClientRequest) -> ReceivedAnswer:
        self.ledger.record_request(
            request.id,
            connection.gateway,
            request.timeout_s,
            request.customer,
            request.plan,
            request.service_class,
            request.units,
        )
        return await connection.send(request.encode(), request.timeout_s + TIMEOUT_MARGIN_S)

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        idle = self._idle[connection.gateway]
        if connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in itertools.chain.from_iterable(list(idle) for idle in self._idle.values()):
            connection.close()


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class in the traffic: its share of the requests, and their timeout."""

    name: str
    effect: str
    share: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer that uses `gateway_count` consecutive gateways from `first_gateway` on."""

    id: str
    plan: str
    rate: float  # requests a second
    first_gateway: int
    gateway_count: int


class ScheduledRequest(NamedTuple):
    """The time of a customer's next request, with the customer's index."""

    at: float  # seconds from the start of the traffic
    customer: int


class Traffic:
    """Customers' requests on a Poisson schedule that does not depend on the gateways' answers (open loop).

    A share of the refused requests is retried once, after the wait that the refusal names. If a gateway
    cannot be reached, the request goes to another gateway of its customer.

    Attributes:
        tasks: The tasks of the open requests.
        latencies_s: The latency of each served request.
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
            customers: The customers that send requests.
            classes: The classes of the requests.
            seed: The seed of the schedule.
            retry_share: The share of refused requests that are retried.
        """
        self.client = client
        self.customers = customers
        self.classes = classes
        self.retry_share = retry_share
        self.tasks: set[asyncio.Task[None]] = set()
        self.latencies_s: list[float] = []
        self._rng = random.Random(seed)
        self._gateways = list(client.gateways)
        self._request_count = 0
        self._id_prefix = f"{self._rng.getrandbits(ID_PREFIX_BITS):08x}"

    async def run(self, seconds: float) -> None:
        """Send requests for `seconds`, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        schedule = self._draw_schedule(seconds)
        started_at = loop.time()
        for due in schedule:
            await asyncio.sleep(max(0.0, started_at + due.at - loop.time()))
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
        """Start a request of a customer."""
        traffic_class = self._rng.choices(
            self.classes, [traffic_class.share for traffic_class in self.classes]
        )[0]
        task = asyncio.get_running_loop().create_task(self._request(customer, traffic_class))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _request(self, customer: Customer, traffic_class: TrafficClass) -> None:
        """Send a request; if it is refused, retry it once with probability `retry_share`."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        is_retry = False
        while True:
            answer = await self._try_gateways(customer, traffic_class, is_retry)
            if answer.kind == ResultKind.SERVED:
                self.latencies_s.append(loop.time() - started_at)
            if is_retry or answer.kind != ResultKind.REFUSED or self._rng.random() >= self.retry_share:
                return
            is_retry = True
            await asyncio.sleep(max(MIN_RETRY_WAIT_S, answer.retry_after_s))

    async def _try_gateways(self, customer: Customer, traffic_class: TrafficClass, is_retry: bool) -> Answer:
        """Send a request to the customer's gateways in a random order until one can be reached."""
        count = len(self._gateways)
        gateways = [
            self._gateways[(customer.first_gateway + n) % count] for n in range(customer.gateway_count)
        ]
        self._rng.shuffle(gateways)
        for gateway in gateways:
            answer = await self.client.send(gateway, self._new_request(customer, traffic_class, is_retry))
            if answer.kind != ResultKind.UNREACHABLE:
                return answer
        return Answer(ResultKind.UNREACHABLE)

    def _new_request(self, customer: Customer, traffic_class: TrafficClass, is_retry: bool) -> ClientRequest:
        self._request_count += 1
        return ClientRequest(
            id=f"{self._id_prefix}{self._request_count:08x}",
            customer=customer.id,
            plan=customer.plan,
            service_class=traffic_class.name,
            effect=traffic_class.effect,
            timeout_s=traffic_class.timeout_s,
            gateway_count=customer.gateway_count,
            first_gateway=customer.first_gateway,
            is_retry=is_retry,
        )
