"""Measures the effect of hand-overs and reloads on clients under constant load.

    python benchmarks/handover.py [--handovers 20] [--reloads 200] [--rate 200] [--json FILE]

There are one gateway, three emulated hosts, and requests on a fixed schedule. Counts lost requests, refused
requests and refused connections, and measures the longest time without a served answer. The last run, of the
same length as the first, has neither hand-overs nor reloads.
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

FLEET_SETTINGS = FleetSettings(
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


async def wait_for_log_lines(gateway: Gateway, text: str, count: int) -> None:
    """Wait until a gateway's log has a number of lines that contain a text."""
    while sum(text in line for line in gateway.log_lines) < count:
        await asyncio.sleep(0.005)


async def run_handovers(gateway: Gateway, count: int) -> None:
    """Hand the gateway over to a new process a number of times."""
    for _ in range(count):
        predecessor = gateway.process
        await gateway.start("--take-over")
        assert predecessor is not None
        if await predecessor.wait() != 0:
            raise RuntimeError("a predecessor exited with an error")


async def run_reloads(gateway: Gateway, count: int) -> None:
    """Reload changed settings a number of times."""
    text = gateway.settings_file.read_text()
    earlier_reloads = sum("reload: " in line for line in gateway.log_lines)
    for index in range(count):
        gateway.settings_file.write_text(text.replace("[limits]", f"[limits]\nmax_open = {10_000 + index}"))
        assert gateway.process is not None
        gateway.process.send_signal(1)
        await wait_for_log_lines(gateway, "reload: took effect", earlier_reloads + index + 1)


async def measure_span(
    name: str, rate: float, action: Callable[[Gateway], Awaitable[None]]
) -> dict[str, Any]:
    """Run an action under load; return the figures of the requests sent meanwhile."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(FLEET_SETTINGS, Path(folder)) as fleet:
            gateway = fleet.gateways[0]
            client = Client(fleet.ledger, {"g0": ("127.0.0.1", gateway.port)})
            customers = [Customer(f"{index + 1:016x}", "p", rate / 8, 0, 1) for index in range(8)]
            traffic = Traffic(client, customers, FLEET_SETTINGS.traffic_classes(), retry_share=0.0)
            traffic_task = asyncio.ensure_future(traffic.run(3600.0))
            while len(traffic.latencies_s) < 100:
                await asyncio.sleep(0.01)
            started_at = time.monotonic()
            await action(gateway)
            seconds = time.monotonic() - started_at
            traffic_task.cancel()
            while traffic.tasks:
                await asyncio.wait(list(traffic.tasks))
            client.close()
            answer_times = sorted(
                request.answers[0][0] for request in fleet.ledger.requests.values() if request.answers
            )
            longest_gap = max(
                later - earlier for earlier, later in zip(answer_times, answer_times[1:], strict=False)
            )
            counts: dict[str, int] = {}
            for (_, _, outcome), count in fleet.ledger.outcomes().items():
                counts[outcome] = counts.get(outcome, 0) + count
            verdicts = fleet.ledger.check_rules()
            if not all(verdict.kept for verdict in verdicts):
                print(format_verdicts(verdicts))
            latencies = sorted(traffic.latencies_s)
            return {
                "what": name,
                "seconds": round(seconds, 1),
                **counts,
                "lost": counts.get("lost", 0),
                "refused connections": client.connect_failures,
                "longest gap ms": round(longest_gap * 1000, 1),
                "p99 ms": round(latencies[int(len(latencies) * 0.99)] * 1000, 1),
                "slowest ms": round(latencies[-1] * 1000, 1),
                "rules kept": all(verdict.kept for verdict in verdicts),
            }


async def measure(args: argparse.Namespace) -> list[dict[str, Any]]:
    spans = [
        await measure_span(
            f"{args.handovers} hand-overs", args.rate, lambda gateway: run_handovers(gateway, args.handovers)
        ),
        await measure_span(
            f"{args.reloads} reloads", args.rate, lambda gateway: run_reloads(gateway, args.reloads)
        ),
    ]
    return [*spans, await measure_span("neither", args.rate, lambda _: asyncio.sleep(spans[0]["seconds"]))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--handovers", type=int, default=20)
    parser.add_argument("--reloads", type=int, default=200)
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    spans = uvloop.run(measure(args))
    for figures in spans:
        print("; ".join(f"{key} {value}" if key != "what" else str(value) for key, value in figures.items()))
    if args.json:
        Path(args.json).write_text(json.dumps(spans, indent=1))


if __name__ == "__main__":
    main()
