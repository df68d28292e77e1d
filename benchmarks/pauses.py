"""Measures what pauses of gateways (SIGSTOP, SIGCONT) do to callers, hosts and the counter.

    python benchmarks/pauses.py [--gateways 1] [--hosts 3] [--pauses 8] [--lengths 0 0.14 0.3 0.6]
                                [--idle-timeout S] [--seed 1] [--seconds 20]

Each gateway is an `api-gateway serve` process; clients, hosts and the counter share this process. For each
length the gateways are paused together at times drawn from the seed, under steady load. It prints the
requests by outcome, the hosts in backoff right after a pause, and how long after it the counter is called
again. A length of 0 means no pauses.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway.daemon.status_query import query_gateway  # noqa: E402
from apigateway.emulators.fleet import ClassSettings, FleetSettings, Gateway, PlanSettings  # noqa: E402
from apigateway.emulators.ledger import format_verdicts  # noqa: E402
from apigateway.emulators.loaded_fleet import LoadedFleet, draw_customers  # noqa: E402

CLASSES = {
    "read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.02, 0.5),
    "update": ClassSettings("keyed", 1.2, 3.0, 5.0, 0.02, 0.3, "cell", 4.0),
    "note": ClassSettings("unsafe", 1.0, 3.0, 3.0, 0.02, 0.2),
}
CUSTOMERS = 10
REQUESTS_PER_SECOND = 120.0  # of all customers
USE_OF_QUOTA = 0.9  # of each customer, in the mean
BURST_S = 3.0  # of the rate
POLL_PERIOD_S = 0.005
MAX_GAP_S = 5.0  # until the counter is called again
SETTLE_S = 0.02  # after a pause, before the status is asked for


def fleet_settings(options: argparse.Namespace) -> FleetSettings:
    """Return the settings of the installation."""
    hosts_keys = f"idle_close = {options.idle_timeout}" if options.idle_timeout else ""
    rate = REQUESTS_PER_SECOND / CUSTOMERS / USE_OF_QUOTA
    return FleetSettings(
        CLASSES,
        {"quota": PlanSettings(rate, BURST_S * rate)},
        gateways=options.gateways,
        zones=("a",),
        hosts=options.hosts,
        cores=8,
        extra_keys={"overload": "on = false", "hosts": hosts_keys},
    )


class PausedFleet:
    """A loaded fleet whose gateways are paused."""

    def __init__(self, loaded: LoadedFleet, rng: random.Random) -> None:
        self.loaded = loaded
        self.gaps_s: list[float] = []
        self.backoffs = 0  # hosts in backoff right after a pause, over all gateways and pauses
        self._rng = rng

    async def pause(self, length_s: float) -> None:
        """Pause all gateways once."""
        gateways = self.loaded.fleet.gateways
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        call_count = len(self.loaded.fleet.counter.calls)
        self._signal(signal.SIGCONT)
        continued_at = time.monotonic()
        await asyncio.sleep(SETTLE_S)
        for gateway in gateways:
            self.backoffs += await hosts_in_backoff(gateway)
        while len(self.loaded.fleet.counter.calls) == call_count:
            if time.monotonic() > continued_at + MAX_GAP_S:
                break
            await asyncio.sleep(POLL_PERIOD_S)
        self.gaps_s.append(time.monotonic() - continued_at)

    def _signal(self, number: signal.Signals) -> None:
        for gateway in self.loaded.fleet.gateways:
            assert gateway.process is not None
            gateway.process.send_signal(number)


async def hosts_in_backoff(gateway: Gateway) -> int:
    """Return the number of hosts that a gateway leaves alone."""
    path = str(gateway.settings_file.parent / gateway.name / "handover")
    status = await query_gateway(path, "hosts")
    return sum(bool(host["choice"].get("rests")) for host in status["hosts"])


async def measure(options: argparse.Namespace, length_s: float) -> None:
    """Run one fleet with pauses of one length, and print its figures."""
    rng = random.Random(f"pauses/{options.seed}")
    customers = draw_customers(options.gateways, ["quota"], REQUESTS_PER_SECOND, CUSTOMERS, seed=options.seed)
    with tempfile.TemporaryDirectory() as folder:
        async with LoadedFleet(
            Path(folder), fleet_settings(options), customers, links=False, seed=options.seed
        ) as loaded:
            task = loaded.start_traffic(options.seconds)
            paused = PausedFleet(loaded, rng)
            if length_s:
                for _ in range(options.pauses):
                    await asyncio.sleep(rng.uniform(0.5, 1.5) * options.seconds / options.pauses / 2)
                    await paused.pause(length_s)
            await task
            report(loaded, paused, length_s, options.seconds)


def report(loaded: LoadedFleet, paused: PausedFleet, length_s: float, seconds: float) -> None:
    """Print a line of figures."""
    outcomes: Counter[str] = Counter()
    for (_, _, outcome), count in loaded.fleet.ledger.outcomes().items():
        outcomes[outcome] += count
    gap_s = statistics.median(paused.gaps_s) if paused.gaps_s else float("nan")
    worst_s = max(paused.gaps_s, default=float("nan"))
    print(
        f"{length_s:5.2f} s  {dict(outcomes)}  hosts in backoff {paused.backoffs}  "
        f"counter called again after {gap_s:.3f} s (worst {worst_s:.3f})  "
        f"calls {len(loaded.fleet.counter.calls) / seconds:.0f}/s",
        flush=True,
    )
    broken = [verdict for verdict in loaded.verdicts() if verdict.breaches]
    if broken:
        print(format_verdicts(broken), flush=True)


def main() -> None:
    """Measure each length in turn."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--pauses", type=int, default=8, help="pauses of each run")
    parser.add_argument("--lengths", type=float, nargs="+", default=[0.0, 0.14, 0.3, 0.6])
    parser.add_argument("--idle-timeout", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    for length_s in options.lengths:
        uvloop.run(measure(options, length_s))


if __name__ == "__main__":
    main()
