"""Run the soak: `python -m apigateway.tools.shutdown_soak.main --seed N [--runs N] [--jobs N]`.

With `--pauses` and `--busy-connections` the same plans are played with these in addition.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import uvloop

from apigateway.tools.shutdown_soak.plan import SoakPlan, draw_plan
from apigateway.tools.shutdown_soak.run import SoakResult, run_plan

HEADING = f"{'seed':>6}  {'program':8}  {'requests':>8}  {'served':>6}  {'exit':>5}  {'kill':>5}  broken"
SHOWN_BREACHES = 5
SHOWN_LOG_LINES = 20


def run_plans(plans: Sequence[SoakPlan], jobs: int) -> list[SoakResult]:
    """Run plans, `jobs` at a time, and print a line for each.

    Each runs in a process of its own, so that the clients and hosts of one do not hold up those of another.
    """
    context = multiprocessing.get_context("spawn")
    results = []
    with ProcessPoolExecutor(jobs, mp_context=context) as executor:
        for result in executor.map(play, plans):
            print(format_result(result), flush=True)
            results.append(result)
    return results


def play(plan: SoakPlan) -> SoakResult:
    """Run a plan on an event loop of its own."""
    return uvloop.run(run_plan(plan))


def format_result(result: SoakResult) -> str:
    """Return the line of a run, and what to replay it by if a rule was broken."""
    plan = result.plan
    line = (
        f"{plan.seed:6d}  {plan.program:8}  {result.request_count:8d}  {result.served_count:6d}  "
        f"{result.exit_s:5.2f}  {plan.kill_after_s:5.2f}  {len(result.breaches)}"
    )
    if not result.request_count:
        line += "  (nothing was asked: only the exit was judged)"
    if not result.breaches:
        return line
    details = [f"    {breach}" for breach in result.breaches[:SHOWN_BREACHES]]
    options = f"--seed {plan.seed}"
    options += " --pauses" if plan.pauses else ""
    options += " --busy-connections" if plan.busy_connections else ""
    details.append(f"  plan (replay it with {options}):\n{plan}")
    details += [f"    log: {log_line}" for log_line in result.log_lines[-SHOWN_LOG_LINES:]]
    return "\n".join([line, *details])


def main() -> int:
    """Run the soak, and return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="runs, with seeds in a row")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--pauses", action="store_true", help="pause the gateway during the load and its end")
    parser.add_argument("--busy-connections", action="store_true", help="keep some connections always busy")
    parser.add_argument("--plan", action="store_true", help="print the plans and run nothing")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.runs)
    plans = [draw_plan(seed, options.pauses, options.busy_connections) for seed in seeds]
    if options.plan:
        print("\n".join(f"seed {plan.seed}:\n{plan}" for plan in plans))
        return 0
    print(HEADING)
    results = run_plans(plans, options.jobs)
    broken = [result for result in results if result.breaches]
    nearest = min(results, key=lambda result: result.plan.kill_after_s - result.exit_s)
    print(
        f"{len(results)} runs, {sum(result.request_count for result in results)} requests, "
        f"{len(broken)} runs with broken rules; slowest exit {nearest.exit_s:.2f} s of "
        f"{nearest.plan.kill_after_s:.2f} s (seed {nearest.plan.seed})"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
