"""Does the ceiling hold over RESP2 and gRPC together, and how far does the quota, while the counter stalls?

    python benchmarks/ratelimit_mixed.py [--seconds 60] [--json FILE]

Three gateways, nine hosts, four customers that each ask for three times their ceiling (six times their
quota), by RESP2 and by checks (grpcio) 1:1 and 9:1. The counter falls silent for 2 s in each 6. The ledger
judges from what passed: requests as hosts saw them, checks as their clients were told. Beside the verdict:
what passed in all against what quota and ceiling allow in that time, and how near any customer's ceiling came
to being passed over any span (its store, which fills at the ceiling's rate up to its burst: the least that
was ever in it; below none, minus that is the largest excess)."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway.emulators.checks import CheckClient  # noqa: E402
from apigateway.emulators.clients import Client, Customer, Traffic  # noqa: E402
from apigateway.emulators.fleet import ClassSettings, Fleet, FleetSettings, PlanSettings  # noqa: E402
from apigateway.emulators.ledger import Attempt  # noqa: E402
from apigateway.emulators.script import Step  # noqa: E402

RATE, BURST, CEILING, CEILING_BURST, ASKED = 8.0, 16.0, 16.0, 32.0, 48.0  # units a second, units
CUSTOMERS = [f"{n:016x}" for n in range(1, 5)]
SHAPE = FleetSettings(
    classes={"roster-read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.03, 1.0)},
    plans={"enterprise": PlanSettings(RATE, BURST, 1.8, CEILING, CEILING_BURST)},
    check_class="roster-read",
)


async def stalls(fleet: Fleet, seconds: float) -> None:
    for _ in range(int(seconds / 6)):
        await asyncio.sleep(4.0)
        fleet.counter.script.set_steps(Step("silent", duration_s=2.0))
        await asyncio.sleep(2.0)
        fleet.counter.script.set_steps()


async def play(resp: float, seconds: float, folder: Path) -> dict[str, Any]:
    """`resp`: the part of what is asked that comes by RESP2."""
    async with Fleet(SHAPE, folder) as fleet:
        ledger = fleet.ledger
        client = Client(ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
        checks = CheckClient(ledger, {g.name: ("127.0.0.1", g.rate_limit_port) for g in fleet.gateways})

        def asking(part: float) -> list[Customer]:
            return [Customer(name, "enterprise", ASKED * part, 0, SHAPE.gateways) for name in CUSTOMERS]

        traffic = Traffic(client, asking(resp), SHAPE.traffic_classes(), retry_share=0.0)
        began = asyncio.get_running_loop().time()
        await asyncio.gather(
            traffic.run(seconds), checks.run(asking(1 - resp), seconds), stalls(fleet, seconds)
        )
        span = asyncio.get_running_loop().time() - began
        client.close()
        await checks.close()
        verdicts = ledger.check_rules()
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(ledger.attempts, key=lambda a: a.last_byte_at):
            by_id[attempt.id].append(attempt)
        stores = ledger.ceiling_uses(by_id)
        sent = sum(1 for id in by_id if id in ledger.requests)
        granted = sum(units for *_, units in ledger.grants)
    count = len(CUSTOMERS)
    return {
        "resp_sent": sent,
        "checks_granted": granted,
        "passed": sent + granted,
        "asked": len(ledger.requests) + sum(checks.outcome_counts.values()),
        "span_s": span,
        "quota": count * (BURST + RATE * seconds),
        "ceiling": count * (CEILING_BURST + CEILING * seconds),
        "least_left": min(least for least, _ in stores.values()),
        "slack": min(slack for _, slack in stores.values()),
        "checks": dict(checks.outcome_counts),
        "broken": [text for v in verdicts for text in v.breaches],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    figures = {}
    print(
        f"{'RESP2:gRPC':>10} {'asked':>7} {'passed':>7} {'of quota':>9} {'of ceiling':>11} "
        f"{'least left':>11} {'slack':>6}  rules"
    )
    for name, resp in (("1:1", 0.5), ("9:1", 0.9)):
        with tempfile.TemporaryDirectory(prefix="mixed-") as folder:
            row = figures[name] = uvloop.run(play(resp, told.seconds, Path(folder)))
        print(
            f"{name:>10} {row['asked']:7d} {row['passed']:7.0f} {row['passed'] / row['quota']:9.3f} "
            f"{row['passed'] / row['ceiling']:11.3f} {row['least_left']:11.1f} {row['slack']:6.1f}  "
            f"{'BROKEN ' + row['broken'][0] if row['broken'] else 'kept'}",
            flush=True,
        )
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
