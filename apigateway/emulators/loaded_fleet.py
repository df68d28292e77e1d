"""Many gateway processes under load, with measurements, for tests and benchmarks."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from apigateway.emulators.clients import Client, Customer, Traffic
from apigateway.emulators.fleet import Fleet, FleetSettings, Gateway
from apigateway.emulators.hosts import Command, EmulatedHost
from apigateway.emulators.ledger import Verdict
from apigateway.emulators.ledger_records import AnswerKind
from apigateway.emulators.relay import Links

SAMPLE_PERIOD_S = 0.05  # between two samples of the hosts' load
POLL_PERIOD_S = 0.01  # between two checks of a condition
TRAFFIC_SIGMA = 0.7  # of the log-normal distribution of customers' traffic


def draw_customers(
    gateways: int,
    plans: Sequence[str],
    rate: float,
    count: int,
    seed: int = 1,
    spread: tuple[int, int] = (2, 6),
) -> list[Customer]:
    """Draw customers with a log-normal distribution of traffic.

    Args:
        gateways: The number of gateways, of which each customer uses some consecutive ones.
        plans: The plans, assigned to customers in turn.
        rate: Requests a second of all customers together.
        count: The number of customers.
        seed: The seed of the random draws.
        spread: The minimum and maximum number of gateways of a customer.
    """
    rng = random.Random(f"customers/{seed}")
    weights = [rng.lognormvariate(0.0, TRAFFIC_SIGMA) for _ in range(count)]
    total = sum(weights)
    return [
        Customer(
            id=f"{number:016x}",
            plan=plans[number % len(plans)],
            rate=rate * weight / total,
            first_gateway=rng.randrange(gateways),
            gateway_count=min(gateways, rng.randint(*spread)),
        )
        for number, weight in enumerate(weights)
    ]


class LoadedFleet:
    """An installation and its clients; the context starts it, and stops it even after an error.

    Attributes:
        max_held_requests: The most requests that each host held at the same time.
        idle_core_samples: Sum over all samples of the idle cores, at most as many as requests waited.
        core_samples: Sum over all samples of all cores, idle or not.
    """

    def __init__(
        self,
        folder: Path,
        settings: FleetSettings,
        customers: Sequence[Customer],
        links: bool = True,
        seed: int = 1,
        work: Any = None,
    ) -> None:
        self.links = Links(seed) if links else None
        self.fleet = Fleet(settings, folder, work=work, links=self.links)
        self.customers = customers
        self.seed = seed
        self.max_held_requests: Counter[str] = Counter()
        self.idle_core_samples = 0.0
        self.core_samples = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        await self.fleet.__aenter__()
        addresses = {g.name: ("127.0.0.1", g.port) for g in self.fleet.gateways}
        self.fleet.ledger.loop_lag.start()
        self.client = Client(self.fleet.ledger, addresses)
        self.traffic = Traffic(
            self.client,
            self.customers,
            self.fleet.settings.traffic_classes(),
            seed=self.seed,
            retry_share=1.0,
        )
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()
        self.fleet.ledger.loop_lag.stop()
        await self.fleet.__aexit__()

    def start_traffic(self, seconds: float) -> asyncio.Task[None]:
        """Send requests for `seconds`; return the task, which finishes once all requests have ended."""
        loop = asyncio.get_running_loop()
        sampling = loop.create_task(self._sample())
        traffic_task = loop.create_task(self.traffic.run(seconds))
        self.tasks += [sampling, traffic_task]
        return traffic_task

    async def _sample(self) -> None:
        """Sample the load of the hosts periodically."""
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            hosts = self.fleet.hosts
            for host in hosts:
                held = host.running + len(host.queued)
                self.max_held_requests[host.name] = max(self.max_held_requests[host.name], held)
            busy = sum(host.running for host in hosts)
            waiting = sum(len(host.queued) for host in hosts)
            cores = sum(host.cores for host in hosts)
            self.idle_core_samples += min(cores - busy, waiting)
            self.core_samples += cores

    async def wait_for_served(self, request_count: int, traffic_task: asyncio.Task[None]) -> None:
        """Wait until `request_count` more requests have been served, or the traffic has ended."""
        target_count = len(self.traffic.latencies_s) + request_count
        while len(self.traffic.latencies_s) < target_count and not traffic_task.done():
            await asyncio.sleep(POLL_PERIOD_S)

    async def stop_traffic(self, traffic_task: asyncio.Task[None]) -> None:
        """Stop sending requests, and wait until all open ones have ended."""
        traffic_task.cancel()
        while self.traffic.tasks:
            await asyncio.wait(list(self.traffic.tasks))

    def received_counts(self) -> Counter[str]:
        """Return the number of commands that each host has received so far."""
        return Counter({host.name: len(host.commands) for host in self.fleet.hosts})

    async def replace_host(self, host: EmulatedHost, grace: float) -> None:
        """Drain a host, restart it after the grace time, cold and at its address, and announce it as up."""
        self.fleet.announce((host, "draining"))
        await asyncio.sleep(grace)
        await host.restart()
        self.fleet.announce((host, "up"))

    async def kill_gateways(self, gateways: Sequence[Gateway]) -> None:
        """Kill gateways at the same time."""
        await asyncio.gather(*(gateway.kill() for gateway in gateways))

    async def restart_gateways(self, gateways: Sequence[Gateway], max_concurrent: int = 0) -> None:
        """Restart gateways, `max_concurrent` at a time to leave cores to the others; 0 means all at once."""
        slots = asyncio.Semaphore(max_concurrent or len(gateways) or 1)

        async def start(gateway: Gateway) -> None:
            async with slots:
                await gateway.start()

        await asyncio.gather(*(start(gateway) for gateway in gateways))

    def served_share(self) -> float:
        """Return the share of requests that were served."""
        counts = self.fleet.ledger.outcomes()
        served = sum(count for (*_, outcome), count in counts.items() if outcome == AnswerKind.SERVED)
        return served / max(1, sum(counts.values()))

    def verdicts(self) -> Sequence[Verdict]:
        """Return the ledger's verdicts."""
        return self.fleet.ledger.check_rules()


def exponential_work(mean: float, seed: int = 1) -> Any:
    """Return a function that draws a request's work, in seconds of one core, with the given mean."""
    rng = random.Random(f"work/{seed}")

    def work(command: Command) -> float:
        return rng.expovariate(1 / mean)

    return work
