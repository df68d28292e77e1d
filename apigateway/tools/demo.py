"""`api-gateway demo`: an installation of stand-ins and three real gateways, some trouble, and what came of
it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import signal
import tempfile
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.status_query import query_gateway
from apigateway.emulators.clients import Client, Customer, Traffic
from apigateway.emulators.fleet import Class, Fleet, Plan, Shape
from apigateway.emulators.ledger import Attempt, Ledger, Verdict
from apigateway.emulators.script import Step
from apigateway.plugins.records import read_records
from apigateway.plugins.testkit import read_plugins

SHAPE = Shape(
    classes={
        "roster-read": Class("safe", 1.0, 3.0, 1.0, 0.06, 0.41),
        "shift-update": Class("keyed", 1.5, 4.0, 5.0, 0.09, 0.40, "cell", 6.0),
        "staff-notice": Class("unsafe", 1.0, 3.0, 3.0, 0.06, 0.19),
    },
    plans={
        "basic": Plan(1.0, 5.0, 0.88),
        "standard": Plan(3.0, 12.0, 1.2),
        "enterprise": Plan(12.0, 24.0, 1.8, 24.0, 48.0),
    },
)
# What customers ask for, in parts of their rate: under, at and over their quotas.
ASKS = {
    "basic": [0.4] * 8 + [0.95] * 3 + [2.5],
    "standard": [0.4] * 6 + [0.95] * 2 + [3.0],
    "enterprise": [0.4, 0.95, 4.0],
}
KINDS = ("served", "refused", "failed", "lost", "with gateway")


def customers(seed: int) -> list[Customer]:
    rng, made = random.Random(seed), list[Customer]()
    for plan, parts in ASKS.items():
        for part in parts:
            made.append(
                Customer(
                    f"{len(made) + 1:016x}",
                    plan,
                    part * SHAPE.plans[plan].rate,
                    rng.randrange(SHAPE.gateways),
                    rng.randint(2, SHAPE.gateways),
                )
            )
    return made


class Demo:
    def __init__(self, fleet: Fleet, seconds: float, seed: int, console: Console) -> None:
        self.fleet, self.seconds, self.console = fleet, seconds, console
        self.client = Client(fleet.ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
        self.traffic = Traffic(self.client, customers(seed), SHAPE.used(), seed)
        self.checks: Any = None  # standins.checks.Checks, where half of it comes by them
        self.asking: list[Customer] = []
        self.notes: list[str] = []
        self.rows: list[tuple[int, dict[str, int]]] = []

    def note(self, second: float, text: str) -> None:
        self.notes.append(f"{second:4.1f} s  {text}")
        if not self.console.is_terminal:
            self.console.print(self.notes[-1])

    async def trouble(self) -> None:
        """A host falls silent, one drains and comes back cold, a gateway dies and returns."""
        fleet, loop = self.fleet, asyncio.get_running_loop()
        silent, leaving = fleet.hosts[1], fleet.hosts[5]
        gateway = fleet.gateways[2]
        began = loop.time()

        async def drains() -> None:
            fleet.tell((leaving, "draining"))

        async def returns() -> None:
            await leaving.restart()
            fleet.tell((leaving, "up"))

        async def falls_silent() -> None:
            silent.script.play(Step("silent", seconds=0.25 * self.seconds))

        steps: list[tuple[float, str, Callable[[], Awaitable[None]]]] = [
            (0.15, f"host {silent.name} falls silent: it takes requests and answers none", falls_silent),
            (0.30, f"host {leaving.name} drains", drains),
            (0.45, f"gateway {gateway.name} is killed", gateway.kill),
            (0.60, f"gateway {gateway.name} returns with nothing but its settings", gateway.start),
            (0.65, f"host {leaving.name} comes back, cold", returns),
        ]
        for part, text, act in steps:
            await asyncio.sleep(max(0.0, began + part * self.seconds - loop.time()))
            self.note(loop.time() - began, text)
            await act()

    async def watch(self, live: Live | None) -> None:
        second, before = 0, dict.fromkeys(KINDS, 0)
        while True:
            await asyncio.sleep(1.0)
            second += 1
            now = totals(self.fleet.ledger)
            self.rows.append((second, {kind: now[kind] - before[kind] for kind in KINDS}))
            before = now
            if live is not None:
                live.update(self.screen())
            else:
                told = ", ".join(f"{kind} {count}" for kind, count in self.rows[-1][1].items() if count)
                self.console.print(f"{second:4d} s  {told}")

    def screen(self) -> Group:
        table = Table("second", *KINDS[:3], title="answers a second")
        for second, counts in self.rows[-12:]:
            table.add_row(str(second), *(str(counts[kind]) for kind in KINDS[:3]))
        return Group(table, *self.notes)

    async def run(self) -> tuple[Verdict, ...]:
        with contextlib.ExitStack() as stack:
            live = None
            if self.console.is_terminal:
                live = stack.enter_context(Live(console=self.console, transient=True))
            watch, trouble = asyncio.ensure_future(self.watch(live)), asyncio.ensure_future(self.trouble())
            try:
                more = (self.checks.run(self.asking, self.seconds),) if self.checks is not None else ()
                await asyncio.gather(self.traffic.run(self.seconds), *more)
                await trouble
            finally:
                watch.cancel()
                trouble.cancel()
        self.client.close()
        return self.fleet.ledger.judge()


def totals(ledger: Ledger) -> dict[str, int]:
    counts = dict.fromkeys(KINDS, 0)
    for t in ledger.tries.values():
        if t.answers:
            counts[t.answers[0][1]] += 1
    return counts


def summary(ledger: Ledger, latency: list[float]) -> Table:
    counts: dict[tuple[str, str], dict[str, int]] = defaultdict(lambda: dict.fromkeys(KINDS, 0))
    for (plan, cls, kind), count in ledger.outcomes().items():
        counts[plan, cls][kind] += count
    middle = sorted(latency)[len(latency) // 2] * 1000 if latency else 0.0
    title = f"what became of each request; served in {middle:.0f} ms (median)"
    table = Table("plan", "class", *KINDS, title=title)
    for (plan, cls), row in sorted(counts.items()):
        table.add_row(plan, cls, *(str(row[kind]) for kind in KINDS))
    return table


def verdicts_table(verdicts: tuple[Verdict, ...]) -> Table:
    table = Table("rule", "verdict", "cases", title="the five rules, judged from what passed on the sockets")
    for verdict in verdicts:
        word = "kept" if verdict.kept and verdict.checked else "not seen" if verdict.kept else "BROKEN"
        table.add_row(verdict.rule, word, str(verdict.checked))
        for text in verdict.breaches[:3]:
            table.add_row("", text, "")
    return table


def plugged(paths: list[str]) -> str:
    """[[plugins]] of these files, each naming its file in full. Raises InvalidConfigFileError or OSError."""
    texts = []
    for path in paths:
        file = Path(path) / "plugin.toml" if Path(path).is_dir() else Path(path)
        read_plugins(str(file))  # told now, not by three gateways that do not start
        beside = str(file.resolve().parent) + os.sep
        texts.append(
            re.sub(
                r'^file = "',
                lambda found, beside=beside: found.group() + beside,  # type: ignore[misc]
                file.read_text(encoding="utf-8"),
                flags=re.MULTILINE,
            )
        )
    return "\n".join(texts)


def plugins_table(fleet: Fleet) -> Table:
    """What the gateways' records tell of plug-ins."""
    table = Table("plug-ins", "requests", title="what plug-ins did, from the gateways' records")
    counts: Counter[str] = Counter()
    for path in sorted(fleet.folder.glob("*.records")):
        for _, told in read_records(str(path)):
            counts["asked about"] += 1
            counts.update(f"tagged {key}={value}" for key, value in told["tags"].items())
            counts.update([f"routed {told['route']}"] if told["route"] else [])
            counts.update([f"refused by {told['by']}: {told['class']}"] if told["by"] else [])
    for what, count in sorted(counts.items()):
        table.add_row(what, str(count))
    return table


def split(demo: Demo) -> None:
    """Half of each customer's requests come as checks, at any of the gateways: so its set is all of them."""
    from apigateway.emulators.checks import Checks

    halved = [replace(c, rate=c.rate / 2, first=0, spread=SHAPE.gateways) for c in demo.traffic.customers]
    demo.traffic.customers = demo.asking = halved
    demo.checks = Checks(demo.fleet.ledger, {g.name: ("127.0.0.1", g.checks) for g in demo.fleet.gateways})


def checks_table(demo: Demo) -> Table:
    """What checks were told, and how near to its ceiling anyone came."""
    ledger, latency = demo.fleet.ledger, sorted(demo.checks.latency)
    middle = latency[len(latency) // 2] * 1000 if latency else 0.0
    table = Table(
        "checks by gRPC", "count", title=f"the rate limit service; answered in {middle:.1f} ms (median)"
    )
    for kind, count in sorted(demo.checks.counts.items()):
        table.add_row(kind, str(count))
    by_id: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(ledger.attempts, key=lambda a: a.last):
        by_id[attempt.id].append(attempt)
    for customer, (least, slack) in sorted(ledger.stores(by_id).items()):
        plan = next(c.plan for c in demo.asking if c.id == customer)
        told = f"{max(0.0, -least):.1f} units past it, {slack:.1f} are its slack"
        table.add_row(
            f"ceiling of {customer[-4:]} ({plan})", f"{least:.1f} left at the least" if least >= 0 else told
        )
    return table


async def demo(
    seconds: float,
    seed: int,
    keep: bool,
    source: str,
    plugins: list[str],
    console: Console,
    folder: Path,
    grpc: bool = False,
) -> int:
    told = "a Eureka registry" if source == "eureka" else source
    console.print(
        f"{SHAPE.gateways} gateways, {SHAPE.hosts} hosts in zones {', '.join(SHAPE.zones)}, a "
        f"counter, "
        f"{told}; {seconds:.0f} s of traffic"
    )
    shape = replace(SHAPE, plugins=plugged(plugins)) if plugins else SHAPE
    if grpc:
        shape = replace(shape, grpc="roster-read")
    async with Fleet(shape, folder, source=source) as fleet:
        run = Demo(fleet, seconds, seed, console)
        if grpc:
            split(run)
        verdicts = await run.run()
        for note in run.notes if console.is_terminal else ():
            console.print(note)
        console.print(summary(fleet.ledger, run.traffic.latency), verdicts_table(verdicts))
        if grpc:
            console.print(checks_table(run))
            await run.checks.close()
        if plugins:
            await records_written(fleet)
            console.print(plugins_table(fleet))
        if keep:
            await kept(fleet, console)
    return int(not all(verdict.kept for verdict in verdicts))


async def records_written(fleet: Fleet) -> None:
    """Until no gateway has records that wait for its disk: they are written as soon as there are no more."""
    for gateway in fleet.gateways:
        while True:
            told = await query_gateway(str(fleet.folder / gateway.name / "handover"), "plugins")
            if not told["records"] or not told["records"]["waiting"]:
                break
            await asyncio.sleep(0.05)


async def kept(fleet: Fleet, console: Console) -> None:
    """Until Ctrl-C."""
    port = fleet.gateways[0].port
    addresses = ", ".join(f"127.0.0.1:{gateway.port}" for gateway in fleet.gateways)
    if fleet.shape.grpc:
        console.print(
            "The rate limit service: "
            f"api-gateway ratelimit ask 127.0.0.1:{fleet.gateways[0].checks} --domain roster "
            "customer=00000000000000ff plan=basic",
            soft_wrap=True,
        )
    console.print(
        f"The gateways stay up: {addresses}. Try one:\n"
        f"  redis-cli -p {port} API.READ 00000000000000ff request-1 "
        f"c=roster-read,t=basic,d=3000,units=1,spread=3,first=0\n"
        f"Each request needs an id of its own. Settings and state: {fleet.folder}. Ctrl-C ends it.",
        soft_wrap=True,
    )
    listed = fleet.folder / "hosts.toml"
    listed.write_text(
        "".join(
            f'[[hosts]]\nid = "{h.name}"\naddress = "{h.address}:{h.port}"\nzone = "{h.zone}"\n'
            f"cell = {h.cell}\n"
            for h in fleet.hosts
        )
    )
    console.print(
        f"For gateways of your own: hosts in {listed}, counter.address "
        f"127.0.0.1:{fleet.counter.port}, "
        f"a registry at {fleet.registry.url}.",
        soft_wrap=True,
    )
    told = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, told.set)
    await told.wait()


def main(seconds: float, seed: int, keep: bool, source: str, plugins: list[str], grpc: bool = False) -> int:
    """Exit code 1 if a rule broke."""
    console = Console()
    try:
        plugged(plugins)
    except (InvalidConfigFileError, OSError) as err:
        console.print(f"api-gateway: {err}", soft_wrap=True)
        return 2
    with tempfile.TemporaryDirectory(prefix="apigateway-") as folder:
        return int(uvloop.run(demo(seconds, seed, keep, source, plugins, console, Path(folder), grpc)))
