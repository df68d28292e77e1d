"""A crowd of gateway processes under a stream of requests, with what came of it: for tests and benchmarks."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from apigateway.emulators.clients import Client, Customer, Traffic
from apigateway.emulators.fleet import Fleet, Gateway, Shape
from apigateway.emulators.hosts import Command, StandInHost
from apigateway.emulators.ledger import Verdict
from apigateway.emulators.relay import Links

LOOK = 0.05  # s between two looks at what hosts hold
STEP = 0.01  # s between two looks at whether something has come about


def customers(
    gateways: int,
    plans: Sequence[str],
    rate: float,
    count: int,
    seed: int = 1,
    spread: tuple[int, int] = (2, 6),
) -> list[Customer]:
    """`count` of them, `rate` requests a second in all, shared unevenly; each comes through some gateways in
    a row."""
    rng = random.Random(f"customers/{seed}")
    pulls = [rng.lognormvariate(0.0, 0.7) for _ in range(count)]
    total = sum(pulls)
    return [
        Customer(
            f"{n:016x}",
            plans[n % len(plans)],
            rate * pull / total,
            rng.randrange(gateways),
            min(gateways, rng.randint(*spread)),
        )
        for n, pull in enumerate(pulls)
    ]


class Crowd:
    """`async with` starts it, and ends it whatever happens. `rate`: requests a second, over all customers."""

    def __init__(
        self,
        folder: Path,
        shape: Shape,
        people: Sequence[Customer],
        links: bool = True,
        seed: int = 1,
        work: Any = None,
    ) -> None:
        self.links = Links(seed) if links else None
        self.fleet = Fleet(shape, folder, work=work, links=self.links)
        self.people, self.seed = people, seed
        self.longest: Counter[str] = Counter()  # most that a host held at once
        self.idle = self.looks = 0.0  # looks at cores that idled while as much waited elsewhere; at all cores
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        await self.fleet.__aenter__()
        addresses = {g.name: ("127.0.0.1", g.port) for g in self.fleet.gateways}
        self.client = Client(self.fleet.ledger, addresses)
        self.traffic = Traffic(self.client, self.people, self.fleet.shape.used(), seed=self.seed, retries=1.0)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()
        await self.fleet.__aexit__()

    def begin(self, seconds: float) -> asyncio.Task[None]:
        """Requests, for so long; the task ends once each has come to its end."""
        loop = asyncio.get_running_loop()
        self.tasks += [loop.create_task(self.look()), loop.create_task(self.traffic.run(seconds))]
        return self.tasks[-1]

    async def look(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            busy = waiting = cores = 0
            for host in self.fleet.hosts:
                held = host.running + len(host.line)
                self.longest[host.name] = max(self.longest[host.name], held)
                busy, waiting, cores = busy + host.running, waiting + len(host.line), cores + host.cores
            self.idle += min(cores - busy, waiting)
            self.looks += cores

    async def served(self, more: int, playing: asyncio.Task[None]) -> None:
        """Until so many more have been served, or all has been played."""
        until = len(self.traffic.latency) + more
        while len(self.traffic.latency) < until and not playing.done():
            await asyncio.sleep(STEP)

    async def end(self, playing: asyncio.Task[None]) -> None:
        """Send nothing more, and wait until all that was sent has come to its end."""
        playing.cancel()
        while self.traffic.tasks:
            await asyncio.wait(list(self.traffic.tasks))

    def taken(self) -> Counter[str]:
        """Requests that have come to each host so far."""
        return Counter({host.name: len(host.commands) for host in self.fleet.hosts})

    async def replace(self, old: StandInHost, grace: float) -> None:
        """It drains; past the grace it dies and comes back at its address, cold, and is told as new."""
        self.fleet.tell((old, "draining"))
        await asyncio.sleep(grace)
        await old.restart()
        self.fleet.tell((old, "up"))

    async def kill(self, gone: Sequence[Gateway]) -> None:
        await asyncio.gather(*(gateway.kill() for gateway in gone))

    async def revive(self, gone: Sequence[Gateway], at_once: int = 0) -> None:
        """`at_once`: so many start side by side, which leaves the others their cores; 0: all."""
        turn = asyncio.Semaphore(at_once or len(gone) or 1)

        async def one(gateway: Gateway) -> None:
            async with turn:
                await gateway.start()

        await asyncio.gather(*(one(gateway) for gateway in gone))

    def part_served(self) -> float:
        told = self.fleet.ledger.outcomes()
        return sum(n for (*_, how), n in told.items() if how == "served") / max(1, sum(told.values()))

    def verdicts(self) -> Sequence[Verdict]:
        return self.fleet.ledger.judge()


def exponential(mean: float, seed: int = 1) -> Any:
    """Work of a request in seconds of one core, drawn anew for each."""
    rng = random.Random(f"work/{seed}")

    def work(command: Command) -> float:
        return rng.expovariate(1 / mean)

    return work
