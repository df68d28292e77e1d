"""Checks the ceiling over RESP2 and gRPC together while the counter stalls, and measures quota use.

    python benchmarks/ratelimit_mixed.py [--seconds 60] [--json FILE]

There are three gateways, nine hosts and four customers. Each customer sends three times its ceiling (six
times its quota), over RESP2 and gRPC checks (grpcio) in the ratios 1:1 and 9:1. The counter does not answer
for 2 s of every 6 s. The ledger checks the rules against the requests that hosts received and the answers
that clients of checks got. Besides the verdict, the benchmark prints the units that passed relative to
those that quota and ceiling allow in that time, and the least level of any customer's token bucket for its
ceiling, which fills at the ceiling's rate up to its burst. A negative level is the largest excess over the
ceiling in any time span.
"""

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

# Units per second and units; SENT_RATE is the request rate of each customer.
RATE, BURST, CEILING, CEILING_BURST, SENT_RATE = 8.0, 16.0, 16.0, 32.0, 48.0
CUSTOMERS = [f"{n:016x}" for n in range(1, 5)]
FLEET_SETTINGS = FleetSettings(
    classes={"roster-read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.03, 1.0)},
    plans={"enterprise": PlanSettings(RATE, BURST, 1.8, CEILING, CEILING_BURST)},
    check_class="roster-read",
)


async def stall_counter(fleet: Fleet, seconds: float) -> None:
    """Silence the counter for the last 2 s of every 6 s."""
    for _ in range(int(seconds / 6)):
        await asyncio.sleep(4.0)
        fleet.counter.script.set_steps(Step("silent", duration_s=2.0))
        await asyncio.sleep(2.0)
        fleet.counter.script.set_steps()


async def measure(resp_share: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Run the load; `resp_share` is the share of requests that are sent over RESP2."""
    async with Fleet(FLEET_SETTINGS, folder) as fleet:
        ledger = fleet.ledger
        client = Client(ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
        checks = CheckClient(ledger, {g.name: ("127.0.0.1", g.rate_limit_port) for g in fleet.gateways})

        def customers_with_share(share: float) -> list[Customer]:
            return [
                Customer(name, "enterprise", SENT_RATE * share, 0, FLEET_SETTINGS.gateways)
                for name in CUSTOMERS
            ]

        traffic = Traffic(
            client, customers_with_share(resp_share), FLEET_SETTINGS.traffic_classes(), retry_share=0.0
        )
        started_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            traffic.run(seconds),
            checks.run(customers_with_share(1 - resp_share), seconds),
            stall_counter(fleet, seconds),
        )
        elapsed = asyncio.get_running_loop().time() - started_at
        client.close()
        await checks.close()
        verdicts = ledger.check_rules()
        attempts_by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(ledger.attempts, key=lambda attempt: attempt.last_byte_at):
            attempts_by_id[attempt.id].append(attempt)
        ceiling_uses = ledger.ceiling_uses(attempts_by_id)
        resp_sent = sum(1 for request_id in attempts_by_id if request_id in ledger.requests)
        granted = sum(units for *_, units in ledger.grants)
    customer_count = len(CUSTOMERS)
    return {
        "resp_sent": resp_sent,
        "checks_granted": granted,
        "passed": resp_sent + granted,
        "asked": len(ledger.requests) + sum(checks.outcome_counts.values()),
        "span_s": elapsed,
        "quota": customer_count * (BURST + RATE * seconds),
        "ceiling": customer_count * (CEILING_BURST + CEILING * seconds),
        "least_left": min(least for least, _ in ceiling_uses.values()),
        "slack": min(slack for _, slack in ceiling_uses.values()),
        "checks": dict(checks.outcome_counts),
        "broken": [breach for verdict in verdicts for breach in verdict.breaches],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    figures = {}
    print(
        f"{'RESP2:gRPC':>10} {'asked':>7} {'passed':>7} {'of quota':>9} {'of ceiling':>11} "
        f"{'least left':>11} {'slack':>6}  rules"
    )
    for name, resp_share in (("1:1", 0.5), ("9:1", 0.9)):
        with tempfile.TemporaryDirectory(prefix="mixed-") as folder:
            row = figures[name] = uvloop.run(measure(resp_share, args.seconds, Path(folder)))
        print(
            f"{name:>10} {row['asked']:7d} {row['passed']:7.0f} {row['passed'] / row['quota']:9.3f} "
            f"{row['passed'] / row['ceiling']:11.3f} {row['least_left']:11.1f} {row['slack']:6.1f}  "
            f"{'BROKEN ' + row['broken'][0] if row['broken'] else 'kept'}",
            flush=True,
        )
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
