"""Clients that speak RESP2 to gateways and write down what comes back, and customers whose traffic they
carry."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import hiredis

from apigateway.emulators.ledger import Ledger
from apigateway.emulators.resp import bulk

Address = tuple[str, int]
GIVE_UP = 1.0  # s past its own time after which a client takes a request for lost


@dataclass(frozen=True, slots=True)
class Order:
    """One request. `wait`: seconds that its client waits; `spread` gateways in a row from `first` may get
    it."""

    id: str
    customer: str  # 16 hex digits
    plan: str
    cls: str
    effect: str  # safe, keyed, unsafe
    wait: float
    units: float = 1.0
    spread: int = 1
    first: int = 0
    again: bool = False

    def message(self) -> bytes:
        terms = (
            f"c={self.cls},t={self.plan},d={int(self.wait * 1000)},units={self.units:g},"
            f"spread={self.spread},first={self.first}"
        )
        terms += f",k={self.id}" * (self.effect == "keyed") + ",r=1" * self.again
        write = self.effect != "safe"
        parts = [
            b"API.WRITE" if write else b"API.READ",
            self.customer.encode(),
            self.id.encode(),
            terms.encode(),
        ]
        parts += [b"BODY"] * write
        return b"*%d\r\n%s" % (len(parts), b"".join(bulk(part) for part in parts))


@dataclass(frozen=True, slots=True)
class Answer:
    """`kind`: served, refused, failed; lost: the connection ended or nothing came; unreachable: never
    sent."""

    kind: str
    value: bytes = b""
    come_again: float = 0.0  # s, with a refusal


def read_answer(reply: Any) -> Answer:
    if isinstance(reply, bytes):
        return Answer("served", reply)
    words = str(reply).split()
    if isinstance(reply, hiredis.ReplyError) and words[0] == "BUSY":
        return Answer("refused", b"", int(words[1]) / 1000 if len(words) > 1 else 0.0)
    return Answer("failed")


class Line(asyncio.Protocol):
    """A kept connection with one request on it at a time."""

    def __init__(self, client: Client, gateway: str) -> None:
        self.client, self.gateway = client, gateway
        self.parser = hiredis.Reader(notEnoughData=...)
        self.waiting: asyncio.Future[Answer] | None = None
        self.used = 0  # requests that were answered on it
        self.open = True
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (got := self.parser.gets()) is not ...:
            if self.waiting is None or self.waiting.done():
                self.client.ledger.unasked(self.gateway)
            else:
                self.used += 1
                self.waiting.set_result(read_answer(got))

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        idle = self.client.idle[self.gateway]
        if self in idle:
            idle.remove(self)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(Answer("lost"))

    async def ask(self, message: bytes, seconds: float) -> Answer:
        self.waiting = asyncio.get_running_loop().create_future()
        self.transport.write(message)
        try:
            async with asyncio.timeout(seconds):
                answer = await self.waiting
        except TimeoutError:
            self.transport.abort()
            return Answer("lost")
        self.waiting = None
        return answer


class Client:
    """Requests to gateways by name. `refused` counts connections that were refused."""

    def __init__(self, ledger: Ledger, gateways: Mapping[str, Address]) -> None:
        self.ledger, self.gateways = ledger, gateways
        self.idle: dict[str, list[Line]] = {name: [] for name in gateways}
        self.refused = 0

    async def line(self, gateway: str, fresh: bool = False) -> Line | None:
        """None if the gateway cannot be reached."""
        if self.idle[gateway] and not fresh:
            return self.idle[gateway].pop()
        try:
            async with asyncio.timeout(1.0):
                loop = asyncio.get_running_loop()
                _, line = await loop.create_connection(lambda: Line(self, gateway), *self.gateways[gateway])
        except (OSError, TimeoutError):
            self.refused += 1
            return None
        return line

    async def ask(self, gateway: str, order: Order) -> Answer:
        """The gateway may close a connection between requests; what crosses that goes once more on a new
        one."""
        line = await self.line(gateway)
        if line is None:
            return Answer("unreachable")
        kept, answer = line.used > 0, await self.on(line, order)
        if answer.kind == "lost" and kept:
            again = await self.line(gateway, fresh=True)
            if again is not None:
                line, answer = again, await self.on(again, order)
        if answer.kind == "lost":
            self.ledger.broke_off(order.id)
        else:
            self.ledger.answered(order.id, answer.kind, answer.value)
            if line.open:
                self.idle[gateway].append(line)
        return answer

    async def on(self, line: Line, order: Order) -> Answer:
        self.ledger.asked(
            order.id, line.gateway, order.wait, order.customer, order.plan, order.cls, order.units
        )
        return await line.ask(order.message(), order.wait + GIVE_UP)

    def close(self) -> None:
        for line in itertools.chain.from_iterable(list(lines) for lines in self.idle.values()):
            line.transport.close()


@dataclass(frozen=True, slots=True)
class Kind:
    """A class as customers use it: its share of requests and how long they wait."""

    name: str
    effect: str
    share: float
    wait: float


@dataclass(frozen=True, slots=True)
class Customer:
    id: str
    plan: str
    rate: float  # requests a second that it asks for
    first: int
    spread: int


class Traffic:
    """Customers' requests by a schedule of their own (Poisson), whatever the gateways do. Whom a gateway
    refuses comes once more, after the time that it was told; whom it does not reach tries another gateway of
    its set."""

    def __init__(
        self,
        client: Client,
        customers: Sequence[Customer],
        kinds: Sequence[Kind],
        seed: int = 1,
        retries: float = 0.5,
    ) -> None:
        self.client, self.customers, self.kinds, self.retries = client, customers, kinds, retries
        self.rng = random.Random(seed)
        self.names = list(client.gateways)
        self.tasks: set[asyncio.Task[None]] = set()
        self.latency: list[float] = []  # s, of what was served
        self.ids = 0
        self.prefix = f"{self.rng.getrandbits(32):08x}"

    def order(self, customer: Customer, kind: Kind, again: bool = False) -> Order:
        self.ids += 1
        return Order(
            f"{self.prefix}{self.ids:08x}",
            customer.id,
            customer.plan,
            kind.name,
            kind.effect,
            kind.wait,
            1.0,
            customer.spread,
            customer.first,
            again,
        )

    async def one(self, customer: Customer, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        began, again = loop.time(), False
        while True:
            count = len(self.names)
            places = [self.names[(customer.first + n) % count] for n in range(customer.spread)]
            self.rng.shuffle(places)
            answer = Answer("unreachable")
            for place in places:
                answer = await self.client.ask(place, self.order(customer, kind, again))
                if answer.kind != "unreachable":
                    break
            if answer.kind == "served":
                self.latency.append(loop.time() - began)
            if again or answer.kind != "refused" or self.rng.random() >= self.retries:
                return
            again = True
            await asyncio.sleep(max(0.1, answer.come_again))

    def start(self, customer: Customer) -> None:
        kind = self.rng.choices(self.kinds, [k.share for k in self.kinds])[0]
        task = asyncio.get_running_loop().create_task(self.one(customer, kind))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds: float) -> None:
        """Ends once each request has come to its end."""
        loop = asyncio.get_running_loop()
        due = [(self.rng.expovariate(c.rate), n) for n, c in enumerate(self.customers) if c.rate > 0]
        schedule = []
        while due:
            at, n = due.pop()
            if at < seconds:
                schedule.append((at, n))
                due.append((at + self.rng.expovariate(self.customers[n].rate), n))
        began = loop.time()
        for at, n in sorted(schedule):
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            self.start(self.customers[n])
        while self.tasks:
            await asyncio.wait(list(self.tasks))
