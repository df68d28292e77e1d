"""Case 1: requests that a stopping gateway reads after it has failed all others.

Three gateways are restarted with SIGTERM, one after another. Clients go on sending on the connections that
stay open. A request that came whole to a host and whose connection the gateway then closes without an answer
is lost.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from standins import (  # noqa: E402
    Agent,
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

GATEWAYS = 2
HOSTS = 10
ZONES = ("east-wing", "west-wing", "north-wing")
CONNECTIONS = 10  # of the front to each gateway
# First tries a second at each gateway: inside quotas the hosts' whole capacity (10 hosts of 4 cores, 0.24 s a
# request: 166 a second), and 0.6 of that from two customers far beyond their quotas.
INSIDE_RATE = 83.0
HOT_RATE = 50.0
HOT_CUSTOMERS = (1, 2)
CUSTOMERS = 200  # inside their quotas of 3 requests a second
RETRIES = 2  # of a refused request, at once
RESTARTS = 12  # one after another
LOAD_BEFORE_S = 2.0  # of load on a gateway before each SIGTERM
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline (3 s at most) and 0.7 s
LAST_ANSWERS_S = 7.0  # after the load, the longest deadline and more
CLASSES = {"roster-read": (41, 5.0), "shift-update": (40, 6.0), "staff-notice": (19, 5.0)}
MEAN_WORK = {"roster-read": (0.15, 0.25), "shift-update": (0.21, 0.39), "staff-notice": (0.15, 0.25)}
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Front:
    """The front's connections to one gateway: it sends on each for as long as it stays open."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record = record
        self.gateway = gateway
        self.requests: list[Request] = []
        self.is_sending = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the connections and send."""
        self.is_sending = True
        for _ in range(CONNECTIONS):
            connection = await ClientConnection(self.record, self.gateway).open()
            self.tasks.append(asyncio.ensure_future(self._send_on(connection)))

    async def _send_on(self, connection: ClientConnection) -> None:
        while self.is_sending and connection.is_open:
            is_hot = random.random() < HOT_RATE / (HOT_RATE + INSIDE_RATE)
            customer = random.choice(HOT_CUSTOMERS) if is_hot else random.randrange(100, 100 + CUSTOMERS)
            names = list(CLASSES)
            name = random.choices(names, [CLASSES[name][0] for name in names])[0]
            self._send(connection, name, customer, RETRIES)
            await asyncio.sleep(random.uniform(0, 2 * CONNECTIONS / (HOT_RATE + INSIDE_RATE)))

    def _send(self, connection: ClientConnection, name: str, customer: int, retries: int) -> None:
        timeout = CLASSES[name][1] * random.uniform(0.5, 1.0)
        request = Request(f"{random.getrandbits(64):016x}", name, timeout, self.gateway.name)
        self.requests.append(request)

        def on_answer() -> None:
            if request.outcome == "refused" and retries and self.is_sending and connection.is_open:
                self._send(connection, name, customer, retries - 1)

        request.on_answer = on_answer
        connection.send(request, encode(request, customer, spread=GATEWAYS))

    async def stop(self) -> None:
        """Send nothing more."""
        self.is_sending = False
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()


class Run:
    """The deployment and its requests."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.record = Record(Path(__file__).parent / "record.txt")
        self.hosts = [
            Host(self.record, f"s-{index}", ZONES[index % 3], index // 5, _work) for index in range(HOSTS)
        ]
        self.registry = Registry()
        self.counter = Counter()
        self.agents = [Agent(self.registry) for _ in range(GATEWAYS)]
        self.gateways: list[Gateway] = []
        self.fronts: list[Front] = []

    async def start(self) -> None:
        """Start the stand-ins and the gateways."""
        for server in (*self.hosts, self.counter, *self.agents):
            await server.open()
        for host in self.hosts:
            self.registry.set(host.entry())
        for index, agent in enumerate(self.agents):
            gateway = Gateway(self.record, index, self.folder, self.counter, agent)
            gateway.write_config(make_settings(GATEWAYS), self.registry.full())
            self.gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        for gateway in self.gateways:
            self.fronts.append(Front(self.record, gateway))
            await self.fronts[-1].start()

    async def restart(self, index: int) -> None:
        """Restart a gateway as planned restarts do; without trouble it goes on."""
        await asyncio.sleep(LOAD_BEFORE_S)
        if not WITH_TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            return
        gateway, front = self.gateways[index], self.fronts[index]
        assert gateway.process is not None
        gateway.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateway.process.wait(), KILL_AFTER_S)
            self.record.write(f"gateway {gateway.name} ended with {gateway.process.returncode}")
        except TimeoutError:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        await front.stop()
        await gateway.start()
        await front.start()

    async def stop(self) -> None:
        """Await the last answers, and end everything."""
        for front in self.fronts:
            await front.stop()
        await asyncio.sleep(LAST_ANSWERS_S)
        await self.end()

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.end()
        for server in (*self.hosts, self.counter, *self.agents):
            await server.kill()

    def judge(self) -> int:
        """Return how many requests were forwarded and lost, and record each."""
        came_at = {attempt.request_id: attempt for host in self.hosts for attempt in host.attempts}
        requests = [request for front in self.fronts for request in front.requests]
        lost = [
            request for request in requests if request.answered_at is None and request.request_id in came_at
        ]
        for request in lost:
            attempt = came_at[request.request_id]
            self.record.write(
                f"LOST {request.request_id} {request.service_class}: sent, forwarded to {attempt.host.name} "
                f"{(attempt.at - request.sent_at) * 1000:.1f} ms later, "
                f"{'run, ' if attempt.ran_at is not None else ''}never answered"
            )
        outcomes = {name: 0 for name in ("served", "refused", "failed", "open")}
        for request in requests:
            outcomes[request.outcome] += 1
        text = f"{len(requests)} requests: {outcomes}; forwarded and never answered: {len(lost)}"
        self.record.write(text)
        print(text)
        return len(lost)


def _work(attempt: object) -> float:
    low, high = MEAN_WORK[attempt.fields["c"]]  # type: ignore[attr-defined]
    return random.uniform(low, high)


async def main() -> int:
    """Play the case; return 1 if a request was lost, 2 if it could not run."""
    run = Run()
    try:
        await run.start()
    except (OSError, RuntimeError) as error:
        print(f"could not run: {error}")
        await run.end()
        return 2
    try:
        for number in range(RESTARTS):
            await run.restart(number % GATEWAYS)
        await run.stop()
        return 1 if run.judge() else 0
    except (OSError, RuntimeError) as error:
        print(f"could not run: {error}")
        return 2
    finally:
        await run.end()
        run.record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
