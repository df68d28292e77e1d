"""Run the soak: `python -m apigateway.tools.hostile_soak.main --seed N [--runs N] [--jobs N] [--crowds]`."""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import uvloop

from apigateway.tools.hostile_soak.plan import HostilePlan, draw_crowd_plan, draw_hostile_plan
from apigateway.tools.hostile_soak.run import HostileResult, run_hostile_plan

HEADING = (
    f"{'seed':>6}  {'requests':>8}  {'served':>6}  {'slowest':>7}  {'before, peak, after MiB':>23}  "
    f"{'failed':>6}  broken"
)
SHOWN_BREACHES = 5
SHOWN_LOG_LINES = 10


def run_plans(plans: Sequence[HostilePlan], jobs: int) -> list[HostileResult]:
    """Run plans, `jobs` at a time and each in a process of its own, and print a line for each."""
    context = multiprocessing.get_context("spawn")
    results = []
    with ProcessPoolExecutor(jobs, mp_context=context) as executor:
        for result in executor.map(play, plans):
            print(format_result(result), flush=True)
            results.append(result)
    return results


def play(plan: HostilePlan) -> HostileResult:
    """Run a plan on an event loop of its own."""
    return uvloop.run(run_hostile_plan(plan))


def format_result(result: HostileResult) -> str:
    """Return the line of a run, and what to replay it by if a rule was broken."""
    sizes = f"{result.baseline_mib:6.0f}{result.peak_mib:8.0f}{result.rested_mib:9.0f}"
    kinds = ", ".join(f"{abuse.connections} {abuse.kind}" for abuse in result.plan.abuses)
    kinds += "".join(f" crowd of {crowd.connections} {crowd.script}" for crowd in result.plan.crowds)
    line = (
        f"{result.plan.base.seed:6d}  {result.soak.request_count:8d}  {result.soak.served_count:6d}  "
        f"{result.slowest_s:7.2f}  {sizes}  {result.failed_count:6d}  {len(result.breaches)}  {kinds}"
    )
    if not result.breaches:
        return line
    details = [f"    {breach}" for breach in result.breaches[:SHOWN_BREACHES]]
    details.append(f"  plan (replay it with --seed {result.plan.base.seed}):\n{result.plan}")
    details += [f"    log: {log_line}" for log_line in result.soak.log_lines[-SHOWN_LOG_LINES:]]
    return "\n".join([line, *details])


def main() -> int:
    """Run the soak, and return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="runs, with seeds in a row")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--crowds", action="store_true", help="crowds that are drawn by grammar")
    options = parser.parse_args()
    draw = draw_crowd_plan if options.crowds else draw_hostile_plan
    plans = [draw(seed) for seed in range(options.seed, options.seed + options.runs)]
    print(HEADING)
    results = run_plans(plans, options.jobs)
    broken = [result for result in results if result.breaches]
    print(
        f"{len(results)} runs, {sum(result.soak.request_count for result in results)} requests, "
        f"{len(broken)} runs with broken rules; largest {max(result.peak_mib for result in results):.0f} MiB"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
