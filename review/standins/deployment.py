"""A small deployment: gateways by the deploy file, hosts, discovery and counter; and ordinary clients."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins import (
    Agent,
    Attempt,
    ClientConnection,
    Counter,
    Gateway,
    Host,
    Record,
    Registry,
    Request,
    encode,
    make_settings,
)

ZONES = ("east-wing", "west-wing", "north-wing")
CELL_SIZE = 5
# Share of the requests in percent, and the time after which a client gives up, in seconds.
CLASSES = {"roster-read": (41, 5.0), "shift-update": (40, 6.0), "staff-notice": (19, 5.0)}
CONNECTIONS = 10  # of the ordinary clients to each gateway, with one request at a time
PAUSE_S = 0.15  # mean time between two requests on one of them: about 27 requests a second at each gateway
CUSTOMERS = range(100, 300)
LAG_PROBE_S = 0.02


def draw_class() -> tuple[str, float]:
    """Return the class of a new request, and its time: 50 to 100% of the class's time to give up."""
    names = list(CLASSES)
    name = random.choices(names, [CLASSES[name][0] for name in names])[0]
    return name, CLASSES[name][1] * random.uniform(0.5, 1.0)


def draw_request(gateway: Gateway) -> Request:
    """Return a new request to a gateway."""
    name, timeout = draw_class()
    return Request(f"{random.getrandbits(64):016x}", name, timeout, gateway.name)


class Deployment:
    """The gateways and the stand-ins of a case, and all requests of its good clients."""

    def __init__(
        self,
        folder: Path,
        gateway_count: int,
        host_count: int,
        work: Callable[[Attempt], float] | None = None,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.hosts = [
            Host(self.record, f"s-{index}", ZONES[index % len(ZONES)], index // CELL_SIZE, work)
            for index in range(host_count)
        ]
        self.registry = Registry()
        self.counter = Counter()
        self.agents = [Agent(self.registry) for _ in range(gateway_count)]
        self._scratch = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.gateways = [
            Gateway(self.record, index, Path(self._scratch.name), self.counter, agent)
            for index, agent in enumerate(self.agents)
        ]
        self.requests: list[Request] = []
        self.is_loading = True
        self.most_lag_s = 0.0  # by which the stand-ins' own loop was late
        self._lag_probe: asyncio.Task[None] | None = None
        self._clients: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the stand-ins and the gateways."""
        for server in (*self.hosts, self.counter, *self.agents):
            await server.open()
        for host in self.hosts:
            self.registry.set(host.entry())
        for gateway in self.gateways:
            gateway.write_config(make_settings(len(self.gateways)), self.registry.full())
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self._lag_probe = asyncio.ensure_future(self._probe_lag())

    async def _probe_lag(self) -> None:
        while True:
            due_at = time.monotonic() + LAG_PROBE_S
            await asyncio.sleep(LAG_PROBE_S)
            self.most_lag_s = max(self.most_lag_s, time.monotonic() - due_at)

    async def end(self) -> None:
        """End all processes and stand-ins."""
        if self._lag_probe is not None:
            self._lag_probe.cancel()
        for client in self._clients:
            client.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for server in (*self.hosts, self.counter, *self.agents):
            await server.kill()
        self._scratch.cleanup()

    def start_ordinary_load(self) -> None:
        """Let ordinary clients send to all gateways for as long as `is_loading` is set."""
        for gateway in self.gateways:
            for _ in range(CONNECTIONS):
                self._clients.append(asyncio.ensure_future(self._ordinary_client(gateway)))

    async def _ordinary_client(self, gateway: Gateway) -> None:
        connection: ClientConnection | None = None
        while self.is_loading:
            await asyncio.sleep(random.uniform(0, 2 * PAUSE_S))
            if connection is None or not connection.is_open:
                try:
                    connection = await ClientConnection(self.record, gateway).open()
                except OSError:
                    continue
            request = draw_request(gateway)
            self.requests.append(request)
            spread = len(self.gateways)
            connection.send(request, encode(request, random.choice(CUSTOMERS), spread=spread))
            while connection.pending and connection.is_open:
                await asyncio.sleep(0.005)

    def forwarded(self) -> dict[str, Attempt]:
        """Return an attempt that came whole to a host, by the id of its request."""
        return {attempt.request_id: attempt for host in self.hosts for attempt in host.attempts}

    def outcomes(self) -> dict[str, int]:
        """Return how many requests ended in which way."""
        counts = dict.fromkeys(("served", "refused", "failed", "open"), 0)
        for request in self.requests:
            counts[request.outcome] += 1
        return counts

    def report(self, text: str) -> None:
        """Record and print a line on the whole run."""
        self.record.write(text)
        print(text)


async def play(deployment: Deployment, scene: Callable[[], Awaitable[int]]) -> int:
    """Start a deployment, play `scene`, which returns the exit code, and end everything; 2 on failure."""
    try:
        await deployment.start()
        return await scene()
    except (OSError, RuntimeError) as error:
        print(f"could not run: {error}")
        return 2
    finally:
        await deployment.end()
        deployment.record.close()
