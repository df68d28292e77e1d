"""A whole installation on loopback: stand-in hosts, counter and discovery, and real gateways in processes of
their own, each with a settings file as an operator would write it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from apigateway.emulators.clients import Kind as Used
from apigateway.emulators.counter import StandInCounter
from apigateway.emulators.discovery import StandInDiscovery
from apigateway.emulators.eureka import StandInEureka, instance
from apigateway.emulators.hosts import Command, StandInHost, fields
from apigateway.emulators.ledger import Ceiling, Kind, Ledger, Terms
from apigateway.emulators.ports import free_port
from apigateway.emulators.relay import Links

UNKNOWN_WORK = 0.05  # s of a request whose class the shape does not know
READY_WAIT = 20.0  # s for a gateway to say that it listens
STARTING = 8  # gateways at once


@dataclass(frozen=True, slots=True)
class Class:
    """A class of requests; `work` in seconds of one core, `share` of the traffic."""

    effect: str
    aim: float
    deadline: float
    worth: float
    work: float
    share: float
    scope: str = "all"
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    rate: float  # units a second
    burst: float  # units
    price: float = 1.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Shape:
    """What is installed. Times in seconds."""

    classes: Mapping[str, Class]
    plans: Mapping[str, Plan]
    gateways: int = 3
    zones: Sequence[str] = ("a", "b", "c")
    hosts: int = 9
    cores: int = 2
    queue: int = 16
    cold_share: float = 0.2
    cold_time: float = 8.0
    drain_grace: float = 2.0
    ceiling_slack: float = 0.1  # part of its burst
    extra: Mapping[str, str] = field(default_factory=dict)  # further keys of a table, in TOML
    plugins: str = ""  # [[plugins]] of each gateway, in TOML
    grpc: str = ""  # a class: each gateway has the rate limit service too, and its checks are of that class

    def terms(self) -> Terms:
        return Terms(
            {name: Kind(c.effect, c.scope, c.memory) for name, c in self.classes.items()},
            {
                name: Ceiling(p.ceiling_rate, p.ceiling_burst, self.ceiling_slack)
                for name, p in self.plans.items()
                if p.ceiling_rate
            },
            drain_grace=self.drain_grace,
        )

    def used(self) -> list[Used]:
        return [Used(name, c.effect, c.share, c.deadline) for name, c in self.classes.items()]


class Gateway:
    """One gateway's settings file and process."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"g{number}"
        self.zone = fleet.shape.zones[number % len(fleet.shape.zones)]
        self.port, self.checks = free_port(), free_port()  # of RESP2, and of the rate limit service
        self.discovery = StandInDiscovery(self.name, fleet.ledger)
        self.file = fleet.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.reading: asyncio.Task[None] | None = None
        self.listens = asyncio.Event()

    def write(self) -> None:
        shape, links = self.fleet.shape, self.fleet.links
        counter = links.counter[self.name].port if links is not None else self.fleet.counter.port
        tables = {
            "gateway": f'name = "{self.name}"\nindex = {self.number}\ngateways = {shape.gateways}\n'
            f'zone = "{self.zone}"\nseed = {self.number + 1}',
            "limits": "max_attempts = 6",
            "rules": f"drain_grace = {shape.drain_grace}\ncold_share = {shape.cold_share}\n"
            f"cold_time = {shape.cold_time}",
            "hosts": f'source = "{self.fleet.source}"\ndiscovery = "127.0.0.1:{self.discovery.port}"\n'
            'reports = ["inflight", "queue", "util"]',
            "eureka": f'urls = ["{self.fleet.registry.url}"]\nname = "roster"\npoll = {self.fleet.poll}\n'
            f'user = "{self.name}"\npassword = "none"',
            "counter": f'address = "127.0.0.1:{counter}"',
            "daemon": f'state = "{self.fleet.folder / self.name}"',
        }
        for name, c in shape.classes.items():
            tables[f"classes.{name}"] = (
                f'effect = "{c.effect}"\naim = {c.aim}\ndeadline = {c.deadline}\nworth = {c.worth}\n'
                + (f'scope = "{c.scope}"\nmemory = {c.memory}' if c.effect == "keyed" else "")
            )
        for name, p in shape.plans.items():
            tables[f"plans.{name}"] = (
                f"rate = {p.rate}\nburst = {p.burst}\nprice = {p.price}\nceiling_rate = {p.ceiling_rate}\n"
                f"ceiling_burst = {p.ceiling_burst}\nceiling_slack = {shape.ceiling_slack * p.ceiling_burst}"
            )
        for name, text in shape.extra.items():
            tables[name] = tables.get(name, "") + "\n" + text
        records = f'[records]\nfile = "{self.name}.records"\n' if shape.plugins else ""
        listener = f'[[listeners]]\naddress = "127.0.0.1:{self.port}"\n'
        if shape.grpc:
            listener += f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{self.checks}"\n'
            records += (
                f'[[ratelimit.rules]]\ndomain = "roster"\nentries = ["customer", "plan"]\n'
                f'customer = "{{customer}}"\nplan = "{{plan}}"\nclass = "{shape.grpc}"\n'
            )
        self.file.write_text(
            listener
            + "".join(f"[{name}]\n{text}\n" for name, text in tables.items())
            + shape.plugins
            + records
        )

    async def start(self, *arguments: str) -> None:
        """Until it says that it listens. Raises RuntimeError with its last lines if it does not."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        root = Path(__file__).resolve().parents[2]
        self.listens.clear()
        environment["PYTHONPATH"] = os.pathsep.join([str(root), environment.get("PYTHONPATH", "")])
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "apigateway",
            "serve",
            str(self.file),
            *arguments,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
        )
        self.reading = asyncio.get_running_loop().create_task(self.read(self.process))
        try:
            async with asyncio.timeout(READY_WAIT):
                await self.listens.wait()
                self.fleet.ledger.listens(self.name)
        except TimeoutError as err:
            raise RuntimeError(f"{self.name} does not listen:\n" + "\n".join(self.log[-5:])) from err

    async def read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.append(line.decode("utf-8", "replace").rstrip())
            if " listens on " in self.log[-1]:
                self.listens.set()

    async def kill(self) -> None:
        """Outright, as a machine that loses power: what it held is for its clients to ask again."""
        assert self.process is not None
        self.fleet.ledger.died(self.name)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self) -> int:
        """By SIGTERM; its exit code."""
        if self.process is None or self.process.returncode is not None:
            return 0
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


class Fleet:
    """`folder` gets settings files and state folders. `source`: discovery or eureka, which is asked every
    `poll` seconds and where each host is registered and renewed for as long as its process lives. `links`:
    gateways reach hosts (named by discovery) and the counter through relays, which can be faulty."""

    def __init__(
        self,
        shape: Shape,
        folder: Path,
        work: Callable[[Command], float] | None = None,
        source: str = "discovery",
        poll: float = 0.5,
        links: Links | None = None,
    ) -> None:
        self.links = links
        self.shape, self.folder, self.source, self.poll = shape, folder, source, poll
        self.ledger = Ledger(shape.terms())
        self.counter = StandInCounter()
        self.registry = StandInEureka(ledger=self.ledger)
        self.renewing: asyncio.Task[None] | None = None
        count = len(shape.zones)
        self.hosts = [
            StandInHost(
                name=f"h{n}",
                zone=shape.zones[n % count],
                cell=n % count,
                cores=shape.cores,
                queue=shape.queue,
                work=work or self.work,
                cold_share=shape.cold_share,
                cold_time=shape.cold_time,
                ledger=self.ledger,
            )
            for n in range(shape.hosts)
        ]
        self.gateways = [Gateway(self, n) for n in range(shape.gateways)]

    def work(self, command: Command) -> float:
        """Seconds; a class that the shape does not know is somebody's who tries by hand."""
        kind = self.shape.classes.get(fields(command).get("c", ""))
        return kind.work if kind is not None else UNKNOWN_WORK

    def tell(self, *changed: tuple[StandInHost, str]) -> None:
        """Discovery tells all gateways of hosts that are now up, draining or removed."""
        for gateway in self.gateways:
            gateway.discovery.change([self.entry(gateway, host, state) for host, state in changed])
        for host, state in changed:
            if state == "up":
                self.registry.override("ROSTER", host.name, "")
                self.register(host)
            elif state == "draining":
                self.registry.override("ROSTER", host.name, "OUT_OF_SERVICE")
            else:
                self.registry.cancel("ROSTER", host.name)

    def entry(self, gateway: Gateway, host: StandInHost, state: str = "up") -> dict[str, Any]:
        """A host as this gateway's discovery names it: at its relay, where there is one."""
        told = host.entry(state)
        if self.links is not None:
            told["addr"] = f"127.0.0.1:{self.links.hosts[gateway.zone, host.name].port}"
        return told

    def register(self, host: StandInHost) -> None:
        self.registry.register(
            instance(host.name, host.port, zone=host.zone, cell=str(host.cell), kind="std")
        )

    async def renew(self) -> None:
        """Each host that is there renews, also one that answers nothing."""
        while True:
            await asyncio.sleep(5.0)
            for host in self.hosts:
                self.registry.renew("ROSTER", host.name)

    async def __aenter__(self) -> Self:
        for server in (*self.hosts, self.counter):
            await server.open()
        await self.registry.__aenter__()
        for host in self.hosts:
            self.register(host)
            self.registry.long_ago("ROSTER", host.name)
        self.renewing = asyncio.get_running_loop().create_task(self.renew())
        if self.links is not None:
            for zone in dict.fromkeys(gateway.zone for gateway in self.gateways):
                for host in self.hosts:
                    await self.links.to_host(zone, host.name, ("127.0.0.1", host.port))
            for gateway in self.gateways:
                await self.links.to_counter(gateway.name, ("127.0.0.1", self.counter.port))
        for gateway in self.gateways:
            gateway.discovery.servers = [self.entry(gateway, host) for host in self.hosts]
            await gateway.discovery.__aenter__()
            gateway.write()
        try:  # a few at a time: each start takes a core for a while
            for first in range(0, len(self.gateways), STARTING):
                group = self.gateways[first : first + STARTING]
                await asyncio.gather(*(gateway.start() for gateway in group))
        except BaseException:  # nothing is left behind by a start that fails or is interrupted
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))
        for gateway in self.gateways:
            await gateway.discovery.__aexit__()
        if self.links is not None:
            await self.links.close()
        if self.renewing is not None:
            self.renewing.cancel()
        await self.registry.__aexit__()
        for server in (*self.hosts, self.counter):
            await server.__aexit__()
