"""A complete installation on loopback: emulated hosts, counter, discovery and registry, and real gateways.

Each gateway is a separate process with a settings file as an operator would write it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.eureka import EmulatedEureka, instance
from apigateway.emulators.fleet_settings import ClassSettings, FleetSettings, PlanSettings
from apigateway.emulators.gateway_process import Gateway
from apigateway.emulators.hosts import Command, EmulatedHost, fields
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.relay import Links

__all__ = ["ClassSettings", "Fleet", "Gateway", "PlanSettings", "FleetSettings"]

DEFAULT_WORK_S = 0.05  # for a class that is not in the settings
RENEWAL_PERIOD_S = 5.0  # of the hosts' leases at the registry
STARTS_AT_ONCE = 8  # gateways; each start keeps a core busy for a while
HOST_APP = "ROSTER"  # the hosts' application at the registry
HOST_KIND = "std"


class Fleet:
    """An installation; within the context all servers are open and all gateways listen.

    Attributes:
        folder: Receives the settings files and state folders.
        source: Where gateways read their hosts from: "discovery", or "eureka", which they poll every `poll_s`
            and where each host is registered and renewed while the installation runs.
        links: The relays, possibly faulty, through which gateways reach hosts (whose addresses they learn
            from discovery) and the counter; None means direct connections.
    """

    def __init__(
        self,
        settings: FleetSettings,
        folder: Path,
        work: Callable[[Command], float] | None = None,
        source: str = "discovery",
        poll_s: float = 0.5,
        links: Links | None = None,
    ) -> None:
        self.settings = settings
        self.folder = folder
        self.source = source
        self.poll_s = poll_s
        self.links = links
        self.ledger = Ledger(settings.rule_limits())
        self.counter = EmulatedCounter()
        self.registry = EmulatedEureka(ledger=self.ledger)
        self._renewal: asyncio.Task[None] | None = None
        self.hosts = [self._new_host(number, work or self.class_work) for number in range(settings.hosts)]
        self.gateways = [Gateway(self, number) for number in range(settings.gateways)]

    def _new_host(self, number: int, work: Callable[[Command], float]) -> EmulatedHost:
        settings = self.settings
        zone_number = number % len(settings.zones)
        return EmulatedHost(
            name=f"h{number}",
            zone=settings.zones[zone_number],
            cell=zone_number,
            cores=settings.cores,
            queue_capacity=settings.queue_capacity,
            work=work,
            cold_share=settings.cold_share,
            cold_time=settings.cold_time,
            ledger=self.ledger,
        )

    def class_work(self, command: Command) -> float:
        """Return the core seconds of work of a command, by its class."""
        cls = self.settings.classes.get(fields(command).get("c", ""))
        # A class that is not in the settings comes from requests sent by hand.
        return cls.work_s if cls is not None else DEFAULT_WORK_S

    def counter_port(self, gateway: str) -> int:
        """Return the port at which a gateway connects to the counter."""
        return self.links.counter[gateway].port if self.links is not None else self.counter.port

    # Discovery and registry

    def announce(self, *changed: tuple[EmulatedHost, str]) -> None:
        """Publish hosts that are now up, draining or removed, in discovery and in the registry."""
        for gateway in self.gateways:
            gateway.discovery.apply_changes([self.entry(gateway, host, state) for host, state in changed])
        for host, state in changed:
            if state == "up":
                self.registry.override(HOST_APP, host.name, "")
                self.register(host)
            elif state == "draining":
                self.registry.override(HOST_APP, host.name, "OUT_OF_SERVICE")
            else:
                self.registry.cancel(HOST_APP, host.name)

    def entry(self, gateway: Gateway, host: EmulatedHost, state: str = "up") -> dict[str, Any]:
        """Return a host's entry in a gateway's discovery, with the address of its relay if there is one."""
        entry = host.entry(state)
        if self.links is not None:
            entry["addr"] = f"127.0.0.1:{self.links.hosts[gateway.zone, host.name].port}"
        return entry

    def register(self, host: EmulatedHost) -> None:
        """Register a host at the registry."""
        self.registry.register(
            instance(host.name, host.port, zone=host.zone, cell=str(host.cell), kind=HOST_KIND)
        )

    async def _renew(self) -> None:
        """Renew the leases of all registered hosts periodically, even of hosts that do not answer."""
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            for host in self.hosts:
                self.registry.renew(HOST_APP, host.name)

    # Life cycle

    async def __aenter__(self) -> Self:
        for server in (*self.hosts, self.counter):
            await server.open()
        await self.registry.__aenter__()
        for host in self.hosts:
            self.register(host)
            self.registry.mark_warm(HOST_APP, host.name)
        self._renewal = asyncio.get_running_loop().create_task(self._renew())
        if self.links is not None:
            await self._open_links(self.links)
        for gateway in self.gateways:
            gateway.discovery.servers = [self.entry(gateway, host) for host in self.hosts]
            await gateway.discovery.__aenter__()
            gateway.write_settings()
        try:
            await self._start_gateways()
        except BaseException:  # clean up after a start that failed or was interrupted
            await self.__aexit__()
            raise
        return self

    async def _open_links(self, links: Links) -> None:
        for zone in dict.fromkeys(gateway.zone for gateway in self.gateways):
            for host in self.hosts:
                await links.to_host(zone, host.name, ("127.0.0.1", host.port))
        for gateway in self.gateways:
            await links.to_counter(gateway.name, ("127.0.0.1", self.counter.port))

    async def _start_gateways(self) -> None:
        for first in range(0, len(self.gateways), STARTS_AT_ONCE):
            group = self.gateways[first : first + STARTS_AT_ONCE]
            await asyncio.gather(*(gateway.start() for gateway in group))

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        for gateway in self.gateways:
            await gateway.discovery.__aexit__()
        if self.links is not None:
            await self.links.close()
        if self._renewal is not None:
            self._renewal.cancel()
        await self.registry.__aexit__()
        for server in (*self.hosts, self.counter):
            await server.__aexit__()
