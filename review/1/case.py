"""Case 1: requests that a stopping gateway reads after it has failed all others.

Two gateways are restarted with SIGTERM, one after another. Clients go on sending on the connections that stay
open. A request that came whole to a host and whose connection the gateway then closes without an answer is
lost.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, draw_request, play  # noqa: E402
from standins import Attempt, ClientConnection, Gateway, encode  # noqa: E402

GATEWAYS = 2
HOSTS = 10
CONNECTIONS = 10  # of the front to each gateway
# First tries a second at each gateway: inside quotas the hosts' whole capacity (10 hosts of 4 cores, 0.24 s a
# request: 166 a second), and 0.6 of that from two customers far beyond their quotas.
INSIDE_RATE = 83.0
HOT_RATE = 50.0
HOT_CUSTOMERS = (1, 2)
CUSTOMERS = range(100, 300)  # inside their quotas of 3 requests a second
RETRIES = 2  # of a refused request, at once
RESTARTS = 12  # one after another
LOAD_BEFORE_S = 2.0  # of load on a gateway before each SIGTERM
KILL_AFTER_S = 3.7  # after SIGTERM: the longest deadline (3 s at most) and 0.7 s
LAST_ANSWERS_S = 7.0  # after the load, the longest deadline and more
WORK_S = {"roster-read": (0.15, 0.25), "shift-update": (0.21, 0.39), "staff-notice": (0.15, 0.25)}
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Front:
    """The front's connections to one gateway: it sends on each for as long as it stays open."""

    def __init__(self, deployment: Deployment, gateway: Gateway) -> None:
        self.deployment = deployment
        self.gateway = gateway
        self.is_sending = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the connections and send."""
        self.is_sending = True
        for _ in range(CONNECTIONS):
            connection = await ClientConnection(self.deployment.record, self.gateway).open()
            self.tasks.append(asyncio.ensure_future(self._send_on(connection)))

    async def _send_on(self, connection: ClientConnection) -> None:
        rate = (HOT_RATE + INSIDE_RATE) / CONNECTIONS
        while self.is_sending and connection.is_open:
            is_hot = random.random() < HOT_RATE / (HOT_RATE + INSIDE_RATE)
            self._send(connection, random.choice(HOT_CUSTOMERS if is_hot else CUSTOMERS), RETRIES)
            await asyncio.sleep(random.uniform(0, 2 / rate))

    def _send(self, connection: ClientConnection, customer: int, retries: int) -> None:
        request = draw_request(self.gateway)
        self.deployment.requests.append(request)

        def on_answer() -> None:
            if request.outcome == "refused" and retries and self.is_sending and connection.is_open:
                self._send(connection, customer, retries - 1)

        request.on_answer = on_answer
        connection.send(request, encode(request, customer, spread=GATEWAYS))

    async def stop(self) -> None:
        """Send nothing more."""
        self.is_sending = False
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()


class Scene:
    """Restarts under load."""

    def __init__(self) -> None:
        self.deployment = Deployment(FOLDER, GATEWAYS, HOSTS, _work)
        self.fronts = [Front(self.deployment, gateway) for gateway in self.deployment.gateways]

    async def play(self) -> int:
        """Restart the gateways one after another; return 1 if a request was lost, else 0."""
        for front in self.fronts:
            await front.start()
        for number in range(RESTARTS):
            await asyncio.sleep(LOAD_BEFORE_S)
            if WITH_TROUBLE:
                await self._restart(self.fronts[number % GATEWAYS])
            else:
                await asyncio.sleep(KILL_AFTER_S)
        for front in self.fronts:
            await front.stop()
        await asyncio.sleep(LAST_ANSWERS_S)
        return 1 if self._count_lost() else 0

    async def _restart(self, front: Front) -> None:
        """Restart a gateway as a planned restart does."""
        gateway = front.gateway
        assert gateway.process is not None
        gateway.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateway.process.wait(), KILL_AFTER_S)
        except TimeoutError:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        self.deployment.record.write(f"gateway {gateway.name} ended with {gateway.process.returncode}")
        await front.stop()
        await gateway.start()
        await front.start()

    def _count_lost(self) -> int:
        """Return how many requests were forwarded and lost, and record each."""
        deployment = self.deployment
        forwarded = deployment.forwarded()
        lost = [
            request
            for request in deployment.requests
            if request.answered_at is None and request.request_id in forwarded
        ]
        for request in lost:
            attempt = forwarded[request.request_id]
            deployment.record.write(
                f"LOST {request.request_id} {request.service_class}: sent, forwarded to {attempt.host.name} "
                f"{(attempt.at - request.sent_at) * 1000:.1f} ms later, "
                f"{'run, ' if attempt.ran_at is not None else ''}never answered"
            )
        deployment.report(
            f"{len(deployment.requests)} requests: {deployment.outcomes()}; "
            f"forwarded and never answered: {len(lost)}"
        )
        return len(lost)


def _work(attempt: Attempt) -> float:
    return random.uniform(*WORK_S[attempt.fields["c"]])


async def main() -> int:
    """Play the case."""
    scene = Scene()
    return await play(scene.deployment, scene.play)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
