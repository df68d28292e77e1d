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
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, draw_request, play  # noqa: E402
from standins import Attempt, ClientConnection, Gateway, encode  # noqa: E402

GATEWAYS = 3
HOSTS = 10
CONNECTIONS = 10  # of the front to each gateway
# Requests a second of each customer, whose quota is 3. Of 100 customers 12 ask for 4.8 times their quota,
# 10 use nearly all of it, and the others half of it or less. Inside the quotas that is 166 a second, all
# that 10 hosts of 4 cores can do at 0.24 s a request.
CUSTOMER_RATES = {
    **dict.fromkeys(range(12), 4.8 * 3.0),
    **dict.fromkeys(range(12, 22), 2.9),
    **dict.fromkeys(range(22, 100), 1.3),
}
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
        customers, rates = list(CUSTOMER_RATES), list(CUSTOMER_RATES.values())
        mean_pause = GATEWAYS * CONNECTIONS / sum(rates)
        while self.is_sending and connection.is_open:
            self._send(connection, random.choices(customers, rates)[0], RETRIES)
            await asyncio.sleep(random.uniform(0, 2 * mean_pause))

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
