"""What do hand-overs and reloads cost clients under constant load?

    python benchmarks/handover.py [--handovers 20] [--reloads 200] [--rate 200] [--json FILE]

One gateway, three stand-in hosts, requests on their own schedule. Counts what was lost, refused as a request
and refused as a connection, and the longest time without a served answer; then the same span with neither.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway.emulators.clients import Client, Customer, Traffic  # noqa: E402
from apigateway.emulators.fleet import ClassSettings, Fleet, FleetSettings, Gateway, PlanSettings  # noqa: E402
from apigateway.emulators.ledger import format_verdicts  # noqa: E402

SHAPE = FleetSettings(
    classes={
        "read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.005, 0.6),
        "note": ClassSettings("unsafe", 1.0, 3.0, 1.0, 0.005, 0.4),
    },
    plans={"p": PlanSettings(100_000.0, 100_000.0)},
    gateways=1,
    hosts=3,
    cores=4,
    queue_capacity=200,
    zones=("a",),
    extra_keys={"daemon": "log_lines = 10000"},
)


async def lines(gateway: Gateway, word: str, more: int) -> None:
    """Until its log has so many lines with `word`."""
    while sum(word in line for line in gateway.log_lines) < more:
        await asyncio.sleep(0.005)


async def handovers(gateway: Gateway, count: int) -> None:
    for _ in range(count):
        old = gateway.process
        await gateway.start("--take-over")
        assert old is not None
        if await old.wait() != 0:
            raise RuntimeError("a predecessor did not end well")


async def reloads(gateway: Gateway, count: int) -> None:
    text = gateway.settings_file.read_text()
    before = sum("reload: " in line for line in gateway.log_lines)
    for n in range(count):
        gateway.settings_file.write_text(text.replace("[limits]", f"[limits]\nmax_open = {10_000 + n}"))
        assert gateway.process is not None
        gateway.process.send_signal(1)
        await lines(gateway, "reload: took effect", before + n + 1)


async def span(name: str, rate: float, act: Callable[[Gateway], Awaitable[None]]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(SHAPE, Path(folder)) as fleet:
            gateway = fleet.gateways[0]
            client = Client(fleet.ledger, {"g0": ("127.0.0.1", gateway.port)})
            customers = [Customer(f"{n + 1:016x}", "p", rate / 8, 0, 1) for n in range(8)]
            traffic = Traffic(client, customers, SHAPE.traffic_classes(), retry_share=0.0)
            running = asyncio.ensure_future(traffic.run(3600.0))
            while len(traffic.latencies_s) < 100:
                await asyncio.sleep(0.01)
            began = time.monotonic()
            await act(gateway)
            seconds = time.monotonic() - began
            running.cancel()
            while traffic.tasks:
                await asyncio.wait(list(traffic.tasks))
            client.close()
            served = sorted(t.answers[0][0] for t in fleet.ledger.requests.values() if t.answers)
            gap = max(b - a for a, b in zip(served, served[1:], strict=False))
            counts: dict[str, int] = {}
            for (_, _, kind), count in fleet.ledger.outcomes().items():
                counts[kind] = counts.get(kind, 0) + count
            verdicts = fleet.ledger.check_rules()
            if not all(v.kept for v in verdicts):
                print(format_verdicts(verdicts))
            latency = sorted(traffic.latencies_s)
            return {
                "what": name,
                "seconds": round(seconds, 1),
                **counts,
                "lost": counts.get("lost", 0),
                "refused connections": client.connect_failures,
                "longest gap ms": round(gap * 1000, 1),
                "p99 ms": round(latency[int(len(latency) * 0.99)] * 1000, 1),
                "slowest ms": round(latency[-1] * 1000, 1),
                "rules kept": all(v.kept for v in verdicts),
            }


async def measure(told: argparse.Namespace) -> list[dict[str, Any]]:
    spans = [
        await span(f"{told.handovers} hand-overs", told.rate, lambda g: handovers(g, told.handovers)),
        await span(f"{told.reloads} reloads", told.rate, lambda g: reloads(g, told.reloads)),
    ]
    return [*spans, await span("neither", told.rate, lambda _: asyncio.sleep(spans[0]["seconds"]))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--handovers", type=int, default=20)
    parser.add_argument("--reloads", type=int, default=200)
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second")
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    spans = uvloop.run(measure(told))
    for figures in spans:
        print("; ".join(f"{key} {value}" if key != "what" else str(value) for key, value in figures.items()))
    if told.json:
        Path(told.json).write_text(json.dumps(spans, indent=1))


if __name__ == "__main__":
    main()
