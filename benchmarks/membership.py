"""Measures the cost of following a Eureka registry, and the effect of its changes and faults on requests.

    python benchmarks/membership.py cost  [--sizes 10,100,1000,5000] [--json FILE]
    python benchmarks/membership.py flips [--flips 1000] [--json FILE]
    python benchmarks/membership.py walk  [--seeds 5] [--json FILE]
    python benchmarks/membership.py serve [--seconds 60] [--json FILE]

cost: CPU of a poll and memory of the list by the number of instances, for full lists, deltas without changes
and deltas with ten changes. flips: seeded state changes under load; the time from the drain of a host to the
last new attempt at it, by the ledger. walk: seeded random faults of the registry under load, with a check of
the five rules. serve: the share of requests served while the registry does not answer, after it restarted
empty, and while it is healthy.
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

FLEET_SETTINGS = FleetSettings(
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


EMPTY_LISTING = EndpointListing(messages.EndpointList("cached", 0, ()), {})


# Cost


async def measure_cost(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Measure polls. The registry runs in another process, so that only the source's CPU time is counted."""
    rows = []
    for size in (int(text) for text in args.sizes.split(",")):
        registry_process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "registry", "--sizes", str(size), stdout=asyncio.subprocess.PIPE
        )
        assert registry_process.stdout is not None
        url = (await registry_process.stdout.readline()).decode().strip()
        row: dict[str, Any] = {"instances": size}
        for name, change_path, use_deltas in (
            ("whole", "", False),
            ("quiet delta", "", True),
            ("10 changes", "/touch", True),
        ):
            settings = RegistrySettings((url,), use_deltas=use_deltas, timeout=10.0)
            source = EurekaSource(settings, EMPTY_LISTING, lambda _: None, lambda: None)
            if not await source.poll():
                raise RuntimeError("the emulated registry does not answer")
            poll_ms = []
            for _turn in range(20):
                if change_path:
                    assert source.session is not None
                    async with source.session.put(url + change_path):
                        pass
                source.etags = {}  # otherwise the registry reports an unchanged list
                started_at = time.process_time()
                if not await source.poll():
                    raise RuntimeError("the emulated registry does not answer")
                poll_ms.append((time.process_time() - started_at) * 1000)
            row[f"{name} ms"] = round(statistics.median(poll_ms), 2)
            await source.close()
        tracemalloc.start()
        source = EurekaSource(
            RegistrySettings((url,), timeout=10.0), EMPTY_LISTING, lambda _: None, lambda: None
        )
        await source.poll()
        row["list MB"] = round(tracemalloc.get_traced_memory()[0] / 1e6, 2)
        tracemalloc.stop()
        await source.close()
        row["CPU s a minute"] = round(row["quiet delta ms"] * 12 / 1000, 3)
        registry_process.terminate()
        await registry_process.wait()
        rows.append(row)
    return rows


class ChangingRegistry(EmulatedEureka):
    """A registry that changes ten instances on each PUT; its deltas contain only those."""

    change_count = 0

    async def handle_write(self, request: web.Request) -> web.Response:
        self.change_count, self.changes = self.change_count + 1, []
        for n in range(10):
            self.override("ROSTER", f"node{n}", "OUT_OF_SERVICE" if self.change_count % 2 else "")
        return web.Response()


async def run_registry(args: argparse.Namespace) -> None:
    """Run the registry process of `cost`."""
    emulated = ChangingRegistry(base_path="/eureka")
    for n in range(int(args.sizes)):
        ip = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
        emulated.register(instance(f"node{n}", 8000, ip=ip, zone="a", cell="1"))
    emulated.changes = []
    async with emulated:
        print(emulated.url, flush=True)
        await asyncio.sleep(600.0)


# Under load


async def run_under_load(
    seed: int,
    action: Callable[[Fleet, Traffic], Awaitable[None]],
    rate: float = 120.0,
    settings: FleetSettings = FLEET_SETTINGS,
) -> tuple[Fleet, Traffic]:
    """Run an action while customers send requests; return the fleet with its ledger, and the traffic."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(settings, Path(folder), source="eureka", poll_s=0.1) as fleet:
            client = Client(fleet.ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
            customers = [Customer(f"{n + 1:016x}", "p", rate / 8, n % 2, 2) for n in range(8)]
            traffic = Traffic(client, customers, settings.traffic_classes(), seed, retry_share=0.0)
            traffic_task = asyncio.ensure_future(traffic.run(3600.0))
            while len(traffic.latencies_s) < 50:
                await asyncio.sleep(0.01)
            await action(fleet, traffic)
            traffic_task.cancel()
            while traffic.tasks:
                await asyncio.wait(list(traffic.tasks))
            client.close()
    return fleet, traffic


def check_rules(fleet: Fleet) -> bool:
    """Return whether all rules were kept; otherwise print the breaches."""
    verdicts = fleet.ledger.check_rules()
    kept = all(verdict.kept for verdict in verdicts)
    if not kept:
        print(format_verdicts(verdicts))
    return kept


async def measure_flips(args: argparse.Namespace) -> list[dict[str, Any]]:
    rng = random.Random(args.seed)

    async def action(fleet: Fleet, _: Traffic) -> None:
        for _turn in range(args.flips):
            host = rng.choice(fleet.hosts[2:])
            fleet.registry.override(
                "ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", "STARTING", "", ""])
            )
            await asyncio.sleep(rng.uniform(0.0, 0.1))

    fleet, _ = await run_under_load(args.seed, action)
    delays_ms, drain_count = [], 0
    for (gateway, host), changes in fleet.ledger.host_states.items():
        send_times = [
            attempt.first_byte_at
            for attempt in fleet.ledger.attempts
            if attempt.host == host and fleet.ledger.requests[attempt.id].gateway == gateway
        ]
        for n, (at, state) in enumerate(changes):
            if state == "up":
                continue
            until = changes[n + 1][0] if n + 1 < len(changes) else float("inf")
            drain_count += 1
            delays = [first - at for first in send_times if at < first < until]
            delays_ms.append(max(delays, default=0.0) * 1000)
    delays_ms.sort()
    return [
        {
            "flips": args.flips,
            "drains told": drain_count,
            "requests": len(fleet.ledger.requests),
            "told to last send ms, median": round(delays_ms[len(delays_ms) // 2], 2),
            "99th": round(delays_ms[int(len(delays_ms) * 0.99)], 2),
            "most": round(delays_ms[-1], 2),
            "rules kept": check_rules(fleet),
        }
    ]


async def run_random_walk(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for seed in range(args.seed, args.seed + args.seeds):
        rng, faults = random.Random(seed), []

        async def action(
            fleet: Fleet, _: Traffic, rng: random.Random = rng, faults: list[str] = faults
        ) -> None:
            registry = fleet.registry
            for _turn in range(40):
                fault = rng.choice(
                    ["silent", "error", "half", "spoilt", "restart", "hash", "lost", "clock", "flip", "fill"]
                )
                faults.append(fault)
                if fault in ("silent", "error", "half", "spoilt"):
                    registry.script.set_steps(Step(fault, count=rng.randint(1, 8)))
                elif fault == "restart":
                    registry.restart()
                elif fault == "hash":
                    registry.hashcode = rng.choice([None, "UP_99_"])
                elif fault == "lost":
                    registry.empty_deltas = rng.randint(1, 5)
                elif fault == "clock":
                    registry.clock_offset_s = rng.uniform(-100.0, 100.0)
                elif fault == "flip":
                    host = rng.choice(fleet.hosts)
                    registry.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                else:
                    for host in fleet.hosts:
                        fleet.register(host)
                await asyncio.sleep(rng.uniform(0.0, 0.4))
            registry.script.set_steps()
            for host in fleet.hosts:
                registry.override("ROSTER", host.name, "")
                fleet.register(host)
            await asyncio.sleep(1.0)

        fleet, _ = await run_under_load(seed, action)
        counts: dict[str, int] = {}
        for (_, _, outcome), count in fleet.ledger.outcomes().items():
            counts[outcome] = counts.get(outcome, 0) + count
        rows.append({"seed": seed, "faults": len(faults), **counts, "rules kept": check_rules(fleet)})
    return rows


async def measure_service(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for name in ("healthy", "silent", "empty restart"):

        async def action(fleet: Fleet, traffic: Traffic, name: str = name) -> None:
            if name == "silent":
                fleet.registry.script.set_steps(Step("silent"))
            elif name == "empty restart":
                fleet.registry.restart()
            for _turn in range(round(args.seconds)):
                await asyncio.sleep(1.0)

        fleet, _ = await run_under_load(args.seed, action)
        served = sum(
            count for (_, _, outcome), count in fleet.ledger.outcomes().items() if outcome == "served"
        )
        total = len(fleet.ledger.requests)
        rows.append(
            {
                "registry": name,
                "seconds": args.seconds,
                "requests": total,
                "served share": round(served / total, 4),
                "rules kept": check_rules(fleet),
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
    args = parser.parse_args()
    if args.what == "registry":
        uvloop.run(run_registry(args))
        return
    rows = uvloop.run(
        {"cost": measure_cost, "flips": measure_flips, "walk": run_random_walk, "serve": measure_service}[
            args.what
        ](args)
    )
    for row in rows:
        print("; ".join(f"{key} {value}" for key, value in row.items()))
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
