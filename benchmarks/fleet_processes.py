"""Compares real gateway processes with the simulated fleet, under steady load and after a mass restart.

    python benchmarks/fleet_processes.py [--gateways 200] [--hosts 50] [--load 0.4] [--seconds 12]
                                         [--json FILE]

Real: each gateway is an `api-gateway serve` process, with relays between zones and hosts. Clients, hosts and
relays share one process, which limits the load. Model: the simulation with the same parameters and the same
distribution of work; its hosts run as many requests at once as they have cores. The arrival times of requests
differ between the two.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway import messages  # noqa: E402
from apigateway.emulators.fleet import ClassSettings, FleetSettings, PlanSettings  # noqa: E402
from apigateway.emulators.ledger import format_verdicts  # noqa: E402
from apigateway.emulators.loaded_fleet import LoadedFleet, draw_customers, exponential_work  # noqa: E402
from apigateway.policy import Gateway  # noqa: E402
from apigateway.simulation.scenario import (  # noqa: E402
    FREE,
    CustomerSettings,
    EndpointListSettings,
    FaultSettings,
    HostSettings,
    Scenario,
    Workload,
)
from apigateway.simulation.simulation import Simulation  # noqa: E402

MEAN_WORK_S, CORES, QUEUE = 0.2, 4, 48  # work of a request; cores and queue length of a host
LATENCY_OBJECTIVE_S, DEADLINE_S = 2.0, 5.0
KILLED_SHARE, DOWNTIME_S = 0.7, 3.0  # gateways that are killed at once, and the time until they are restarted
MAX_PARALLEL_STARTS = 3  # starting gateways take cores that the running ones need
SPREAD = 20, 60  # least and greatest number of gateways that a customer uses


def summarize(
    accepted: Sequence[int], latencies: Sequence[float], longest: int, idle: float, served: float
) -> dict[str, Any]:
    """Return the figures of a run; `accepted` is the number of requests of each host."""
    times, mean = sorted(latencies), statistics.fmean(accepted)
    return {
        "served": served,
        "in_aim": sum(latency <= LATENCY_OBJECTIVE_S for latency in times) / max(1, len(times)) * served,
        "p50_ms": 1000 * times[len(times) // 2],
        "p99_ms": 1000 * times[int(0.99 * len(times))],
        "host_cv": statistics.pstdev(accepted) / mean,
        "most_host": max(accepted) / mean,
        "least_host": min(accepted) / mean,
        "longest": longest,
        "idle_waiting": idle,
    }


async def run_processes(args: argparse.Namespace, with_kill: bool) -> dict[str, Any]:
    """Run real gateway processes, and kill and restart some of them if `with_kill`."""
    settings = FleetSettings(
        {"read": ClassSettings("safe", LATENCY_OBJECTIVE_S, DEADLINE_S, 1.0, MEAN_WORK_S, 1.0)},
        {"p": PlanSettings(1e5, 1e6)},
        gateways=args.gateways,
        hosts=args.hosts,
        cores=CORES,
        queue_capacity=QUEUE,
        extra_keys={"overload": "on = false"},
    )
    rate = args.load * args.hosts * CORES / MEAN_WORK_S
    fleet_customers = draw_customers(args.gateways, ["p"], rate, 400, args.seed, SPREAD)
    with tempfile.TemporaryDirectory() as folder:
        loaded_fleet = LoadedFleet(
            Path(folder),
            settings,
            fleet_customers,
            seed=args.seed,
            work=exponential_work(MEAN_WORK_S, args.seed),
        )
        started_at, downtime_s = time.monotonic(), 0.0
        async with loaded_fleet:
            start_s = time.monotonic() - started_at
            load_task = loaded_fleet.start_traffic(args.warm_up + args.seconds)
            await asyncio.sleep(args.warm_up)
            accepted_before, loaded_fleet.idle_core_samples, loaded_fleet.core_samples = (
                loaded_fleet.received_counts(),
                0.0,
                0.0,
            )
            loaded_fleet.max_held_requests.clear()
            loaded_fleet.traffic.latencies_s.clear()
            if with_kill:
                killed_at = time.monotonic()
                killed = loaded_fleet.fleet.gateways[: int(KILLED_SHARE * args.gateways)]
                await loaded_fleet.kill_gateways(killed)
                await asyncio.sleep(DOWNTIME_S)
                await loaded_fleet.restart_gateways(killed, MAX_PARALLEL_STARTS)
                downtime_s = time.monotonic() - killed_at
            await load_task
            accepted = loaded_fleet.received_counts() - accepted_before
            verdicts = loaded_fleet.verdicts()
            idle = loaded_fleet.idle_core_samples / max(1.0, loaded_fleet.core_samples)
            figures = summarize(
                [accepted[host.name] for host in loaded_fleet.fleet.hosts],
                loaded_fleet.traffic.latencies_s,
                max(loaded_fleet.max_held_requests.values()),
                idle,
                loaded_fleet.served_share(),
            )
    figures["start_s"], figures["away_s"] = start_s, downtime_s
    figures["broken"] = 0 if all(verdict.kept for verdict in verdicts) else format_verdicts(verdicts)
    return figures


def run_simulation(args: argparse.Namespace, downtime_s: float) -> dict[str, Any]:
    """Simulate the same fleet.

    `downtime_s` is the time until the last killed gateway was back; the others came back one after another
    from DOWNTIME_S on. 0 means that no gateway was killed.
    """
    read = messages.ServiceClass(
        "read", LATENCY_OBJECTIVE_S, DEADLINE_S, "safe", "all", 0.0, 1.0, 0.0, False, 0.0
    )
    machines = HostSettings(
        count=args.hosts,
        cores=CORES,
        slots=CORES,
        queue=QUEUE,
        speed_cv=0.0,
        thrash=0.0,
        report_period=0.02,
        report_delay=0.0,
        reports=("inflight", "queue", "util"),
        handshake=0.0,
    )
    low, high = (n / args.gateways for n in SPREAD)
    customer_settings = CustomerSettings(
        (FREE,),
        (1.0,),
        count=400,
        spread=(low, high),
        skew=0.0,
        shift=0.0,
        gateway_skew=0.0,
        busiest=1.0,
        retries=1,
        wait=0.1,
        patience=1.0,
        notice=0.0,
    )
    # Simulated gateways come back evenly spread between 0.75 and 1.25 times `back`.
    faults = (
        (FaultSettings("kill", 0.0, part=KILLED_SHARE, back=(DOWNTIME_S + downtime_s) / 2),)
        if downtime_s
        else ()
    )
    scenario = Scenario(
        gateways=args.gateways,
        load=args.load,
        length=args.seconds,
        warm_up=args.warm_up,
        works=(Workload(read, 1.0, MEAN_WORK_S),),
        machines=machines,
        customers=customer_settings,
        faults=faults,
        listing=EndpointListSettings(0.01, 0.01),
        probes=False,
    )
    simulation = Simulation(scenario, args.seed, Gateway)
    figures = simulation.run()
    return summarize(
        [host.accepted_count for host in simulation.fleet.hosts.values()],
        simulation.metrics.latencies,
        figures["longest"],
        figures["idle_waiting"],
        figures["served"],
    ) | {"broken": figures["broken"]}


def format_cell(value: Any) -> str:
    return f"{value:>10.3f}" if isinstance(value, float) else f"{value!s:>10}"


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--hosts", type=int, default=50)
    parser.add_argument("--load", type=float, default=0.4)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--warm-up", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json")
    args = parser.parse_args()
    runs: dict[str, Any] = {}
    for name, with_kill in (("calm", False), ("seven in ten killed", True)):
        real = uvloop.run(run_processes(args, with_kill))
        runs[name] = {"real": real, "model": run_simulation(args, real["away_s"])}
        print(
            f"{name}: {args.gateways} gateways, {args.hosts} hosts, load {args.load}, started within "
            f"{real['start_s']:.0f} s, down for at most {real['away_s']:.0f} s"
        )
        print(f"  {'':14}{'real':>10}{'model':>10}")
        for key in runs[name]["model"]:
            print(f"  {key:14}{format_cell(runs[name]['real'][key])}{format_cell(runs[name]['model'][key])}")
    if args.json:
        Path(args.json).write_text(json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()
