"""A small deployment: hosts in three zones, a counter, and gateways with an agent each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from standins2.agent import Agent
from standins2.case import Stage
from standins2.client import Clients
from standins2.counter import Counter
from standins2.gateways import SOCKETS, Gateway
from standins2.host import Attempt, Host
from standins2.settings import NOTICE, READ, UPDATE, ZONES, make_settings, plan

HOSTS = 9
GATEWAYS = 3
CORES = 4
WORK_S = 0.2
SERVICES = [READ, UPDATE, NOTICE]
PLANS = [
    plan("basic", 0.89, 5.0, 0.88),
    plan("standard", 3.6, 17.0, 1.2),
    plan("enterprise", 11.0, 18.0, 1.8, 20.0, 36.0, over_cost=0.8),
]


def usual_work(_attempt: Attempt) -> float:
    """Return the seconds of one core that every command needs."""
    return WORK_S


class Deployment:
    """The parts of a deployment, all of which the stage closes.

    Attributes:
        hosts: The hosts.
        agents: The gateways' agents, in the gateways' order.
        gateways: The gateways.
        clients: The clients.
    """

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.hosts: list[Host] = []
        self.agents: list[Agent] = []
        self.gateways: list[Gateway] = []
        self.clients: Clients

    async def open(
        self,
        services: list[dict[str, Any]] | None = None,
        plans: list[dict[str, Any]] | None = None,
        gateways: int = GATEWAYS,
        hosts: int = HOSTS,
        sockets: int = SOCKETS,
        work_s: Callable[[Attempt], float] = usual_work,
        **changes: dict[str, Any],
    ) -> None:
        """Open hosts and counter, start the gateways, and wait until all are ready."""
        record = self.stage.record
        self.hosts = [
            Host(record, f"h{number}", ZONES[number % 3], number % 3, CORES, work_s)
            for number in range(hosts)
        ]
        counter = Counter()
        await self.stage.opened(*self.hosts, counter)
        entries = [host.entry() for host in self.hosts]
        for number in range(gateways):
            agent = Agent(entries)
            await self.stage.opened(agent)
            self.agents.append(agent)
            settings = make_settings(
                number, gateways, ZONES[number % 3], services or SERVICES, plans or PLANS, **changes
            )
            gateway = Gateway(self.stage.folder, number, settings, entries, agent.port, counter.port)
            gateway.configuration["limits"]["sockets"] = sockets
            self.stage.push_async_callback(gateway.kill)
            self.gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self.clients = Clients(record, [gateway.port for gateway in self.gateways])
        self.stage.callback(self.clients.close)
