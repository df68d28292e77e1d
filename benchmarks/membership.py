"""What does following a Eureka registry cost, and does it keep the cutoff and the service?

    python benchmarks/membership.py cost  [--sizes 10,100,1000,5000] [--json FILE]
    python benchmarks/membership.py flips [--flips 1000] [--json FILE]
    python benchmarks/membership.py walk  [--seeds 5] [--json FILE]
    python benchmarks/membership.py serve [--seconds 60] [--json FILE]

cost: CPU of a poll and memory of the list by the number of instances, whole lists, deltas with nothing new
and with ten changes. flips: seeded changes of state under load; time from told to the last new send, by the
ledger. walk: seeded random faults of the registry under load, the five rules judged. serve: the share served
while the registry is silent, and after it came back empty, beside a healthy one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway import messages  # noqa: E402
from apigateway.emulators.clients import Client, Customer, Traffic  # noqa: E402
from apigateway.emulators.eureka import EmulatedEureka, instance  # noqa: E402
from apigateway.emulators.fleet import ClassSettings, Fleet, FleetSettings, PlanSettings  # noqa: E402
from apigateway.emulators.ledger import format_verdicts  # noqa: E402
from apigateway.emulators.script import Step  # noqa: E402
from apigateway.membership.eureka.source import EurekaSource, RegistrySettings  # noqa: E402
from apigateway.membership.listing import EndpointListing  # noqa: E402

SHAPE = FleetSettings(
    classes={
        "read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.01, 0.6),
        "note": ClassSettings("unsafe", 1.0, 3.0, 1.0, 0.01, 0.4),
    },
    plans={"p": PlanSettings(100_000.0, 100_000.0)},
    gateways=2,
    hosts=6,
    cores=4,
    queue_capacity=100,
    zones=("a", "b"),
    cold_time=0.0,
    extra_keys={"trust": "calm_time = 0.0", "daemon": "log_lines = 10000"},
)


NOTHING = EndpointListing(messages.EndpointList("cached", 0, ()), {})


# Cost


async def cost(told: argparse.Namespace) -> list[dict[str, Any]]:
    """The registry runs in a process of its own, so that CPU counted here is the source's."""
    rows = []
    for size in (int(text) for text in told.sizes.split(",")):
        registry = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "registry", "--sizes", str(size), stdout=asyncio.subprocess.PIPE
        )
        assert registry.stdout is not None
        url = (await registry.stdout.readline()).decode().strip()
        row: dict[str, Any] = {"instances": size}
        for name, path, delta in (
            ("whole", "", False),
            ("quiet delta", "", True),
            ("10 changes", "/touch", True),
        ):
            asked = RegistrySettings((url,), use_deltas=delta, timeout=10.0)
            source = EurekaSource(asked, NOTHING, lambda _: None, lambda: None)
            if not await source.poll():
                raise RuntimeError("the stand-in does not answer")
            figures = []
            for _turn in range(20):
                if path:
                    assert source.session is not None
                    async with source.session.put(url + path):
                        pass
                source.etags = {}  # or a whole list would be told as unchanged
                began = time.process_time()
                if not await source.poll():
                    raise RuntimeError("the stand-in does not answer")
                figures.append((time.process_time() - began) * 1000)
            row[f"{name} ms"] = round(statistics.median(figures), 2)
            await source.close()
        tracemalloc.start()
        source = EurekaSource(RegistrySettings((url,), timeout=10.0), NOTHING, lambda _: None, lambda: None)
        await source.poll()
        row["list MB"] = round(tracemalloc.get_traced_memory()[0] / 1e6, 2)
        tracemalloc.stop()
        await source.close()
        row["CPU s a minute"] = round(row["quiet delta ms"] * 12 / 1000, 3)
        registry.terminate()
        await registry.wait()
        rows.append(row)
    return rows


class Touched(EmulatedEureka):
    """Each PUT changes ten instances, and deltas tell those alone."""

    turn = 0

    async def handle_write(self, request: web.Request) -> web.Response:
        self.turn, self.changes = self.turn + 1, []
        for n in range(10):
            self.override("ROSTER", f"node{n}", "OUT_OF_SERVICE" if self.turn % 2 else "")
        return web.Response()


async def registry(told: argparse.Namespace) -> None:
    """The other process of `cost`."""
    held = Touched(base_path="/eureka")
    for n in range(int(told.sizes)):
        ip = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
        held.register(instance(f"node{n}", 8000, ip=ip, zone="a", cell="1"))
    held.changes = []
    async with held:
        print(held.url, flush=True)
        await asyncio.sleep(600.0)


# Under load


async def under_load(
    seed: int,
    act: Callable[[Fleet, Traffic], Awaitable[None]],
    rate: float = 120.0,
    shape: FleetSettings = SHAPE,
) -> tuple[Fleet, Traffic]:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(shape, Path(folder), source="eureka", poll_s=0.1) as fleet:
            client = Client(fleet.ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
            customers = [Customer(f"{n + 1:016x}", "p", rate / 8, n % 2, 2) for n in range(8)]
            traffic = Traffic(client, customers, shape.traffic_classes(), seed, retry_share=0.0)
            running = asyncio.ensure_future(traffic.run(3600.0))
            while len(traffic.latencies_s) < 50:
                await asyncio.sleep(0.01)
            await act(fleet, traffic)
            running.cancel()
            while traffic.tasks:
                await asyncio.wait(list(traffic.tasks))
            client.close()
    return fleet, traffic


def judged(fleet: Fleet) -> bool:
    verdicts = fleet.ledger.check_rules()
    kept = all(v.kept for v in verdicts)
    if not kept:
        print(format_verdicts(verdicts))
    return kept


async def flips(told: argparse.Namespace) -> list[dict[str, Any]]:
    rng = random.Random(told.seed)

    async def act(fleet: Fleet, _: Traffic) -> None:
        for _turn in range(told.flips):
            host = rng.choice(fleet.hosts[2:])
            fleet.registry.override(
                "ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", "STARTING", "", ""])
            )
            await asyncio.sleep(rng.uniform(0.0, 0.1))

    fleet, _ = await under_load(told.seed, act)
    late, tellings = [], 0
    for (gateway, host), changes in fleet.ledger.host_states.items():
        sends = [
            a.first_byte_at
            for a in fleet.ledger.attempts
            if a.host == host and fleet.ledger.requests[a.id].gateway == gateway
        ]
        for n, (at, state) in enumerate(changes):
            if state == "up":
                continue
            until = changes[n + 1][0] if n + 1 < len(changes) else float("inf")
            tellings += 1
            after = [first - at for first in sends if at < first < until]
            late.append(max(after, default=0.0) * 1000)
    late.sort()
    return [
        {
            "flips": told.flips,
            "drains told": tellings,
            "requests": len(fleet.ledger.requests),
            "told to last send ms, median": round(late[len(late) // 2], 2),
            "99th": round(late[int(len(late) * 0.99)], 2),
            "most": round(late[-1], 2),
            "rules kept": judged(fleet),
        }
    ]


async def walk(told: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for seed in range(told.seed, told.seed + told.seeds):
        rng, did = random.Random(seed), []

        async def act(fleet: Fleet, _: Traffic, rng: random.Random = rng, did: list[str] = did) -> None:
            held = fleet.registry
            for _turn in range(40):
                what = rng.choice(
                    ["silent", "error", "half", "spoilt", "restart", "hash", "lost", "clock", "flip", "fill"]
                )
                did.append(what)
                if what in ("silent", "error", "half", "spoilt"):
                    held.script.set_steps(Step(what, count=rng.randint(1, 8)))
                elif what == "restart":
                    held.restart()
                elif what == "hash":
                    held.hashcode = rng.choice([None, "UP_99_"])
                elif what == "lost":
                    held.empty_deltas = rng.randint(1, 5)
                elif what == "clock":
                    held.clock_offset_s = rng.uniform(-100.0, 100.0)
                elif what == "flip":
                    host = rng.choice(fleet.hosts)
                    held.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                else:
                    for host in fleet.hosts:
                        fleet.register(host)
                await asyncio.sleep(rng.uniform(0.0, 0.4))
            held.script.set_steps()
            for host in fleet.hosts:
                held.override("ROSTER", host.name, "")
                fleet.register(host)
            await asyncio.sleep(1.0)

        fleet, _ = await under_load(seed, act)
        counts: dict[str, int] = {}
        for (_, _, kind), count in fleet.ledger.outcomes().items():
            counts[kind] = counts.get(kind, 0) + count
        rows.append({"seed": seed, "faults": len(did), **counts, "rules kept": judged(fleet)})
    return rows


async def serve(told: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for name in ("healthy", "silent", "empty restart"):

        async def act(fleet: Fleet, traffic: Traffic, name: str = name) -> None:
            if name == "silent":
                fleet.registry.script.set_steps(Step("silent"))
            elif name == "empty restart":
                fleet.registry.restart()
            for _turn in range(round(told.seconds)):
                await asyncio.sleep(1.0)

        fleet, _ = await under_load(told.seed, act)
        served = sum(count for (_, _, kind), count in fleet.ledger.outcomes().items() if kind == "served")
        total = len(fleet.ledger.requests)
        rows.append(
            {
                "registry": name,
                "seconds": told.seconds,
                "requests": total,
                "served share": round(served / total, 4),
                "rules kept": judged(fleet),
            }
        )
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("cost", "flips", "walk", "serve", "registry"))
    parser.add_argument("--sizes", default="10,100,1000,5000")
    parser.add_argument("--flips", type=int, default=1000)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    if told.what == "registry":
        uvloop.run(registry(told))
        return
    rows = uvloop.run({"cost": cost, "flips": flips, "walk": walk, "serve": serve}[told.what](told))
    for row in rows:
        print("; ".join(f"{key} {value}" for key, value in row.items()))
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
