"""Runs the simulations of an experiment in parallel worker processes."""

from __future__ import annotations

import importlib.util
import os
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context
from typing import Any, NamedTuple

from apigateway.simulation.decision_module import ModuleFactory
from apigateway.simulation.simulation import Simulation
from apigateway.tools.experiment.experiment import PlannedRun, is_module_policy, module_path

MAX_SHOWN_VIOLATIONS = 3  # broken rules reported per run
MODULE_NAME = "apigateway_other_policy"  # Python module name of a decision module loaded from a file
# Estimated duration of a run whose policy has no argument, relative to a run whose policy has one. The latter
# is mostly a baseline that sees past state.
FULL_RUN_COST_RATIO = 3


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run.

    Attributes:
        figures: Figures by their names in reports; "seconds" holds the counts by second.
        violations: The first broken rules.
        is_module: Whether the policy was a decision module rather than a baseline.
    """

    figures: dict[str, Any]
    violations: tuple[str, ...]
    is_module: bool


class FinishedRun(NamedTuple):
    """A finished run with its number in the experiment."""

    number: int
    result: RunResult


def load_module(policy: str) -> ModuleFactory:
    """Return the factory of a policy's decision modules, from this program or from a file.

    Raises:
        FileNotFoundError: The file does not exist.
    """
    path = module_path(policy)
    if not path:
        from apigateway.policy import Gateway

        return Gateway
    spec = importlib.util.spec_from_file_location(MODULE_NAME, path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module  # dataclasses look up their module there
    spec.loader.exec_module(module)
    factory: ModuleFactory = module.Gateway
    return factory


def run_simulation(run: PlannedRun) -> RunResult:
    """Run one simulation."""
    policy = run.scenario.policy
    simulation = Simulation(run.scenario, run.seed, load_module(policy))
    figures = simulation.run()
    violations = simulation.metrics.violations[:MAX_SHOWN_VIOLATIONS]
    return RunResult(figures, tuple(str(violation) for violation in violations), is_module_policy(policy))


def run_simulations(runs: tuple[PlannedRun, ...], process_count: int = 0) -> Iterator[FinishedRun]:
    """Run simulations in parallel, and yield each result as its run finishes.

    The longest runs start first, so that no long run is left alone at the end.

    Args:
        runs: The runs to simulate.
        process_count: Number of parallel processes; 0: all cores but one.
    """
    max_workers = process_count or max(1, (os.cpu_count() or 2) - 1)
    longest_first = sorted(range(len(runs)), key=lambda number: -estimated_cost(runs[number]))
    with ProcessPoolExecutor(max_workers, get_context("spawn")) as pool:
        numbers = {pool.submit(run_simulation, runs[number]): number for number in longest_first}
        try:
            for future in as_completed(numbers):
                yield FinishedRun(numbers[future], future.result())
        finally:
            for future in numbers:
                future.cancel()


def estimated_cost(run: PlannedRun) -> float:
    """Return the estimated duration of a run, relative to other runs."""
    scenario = run.scenario
    busy_cores = scenario.load * scenario.machines.count * scenario.machines.cores
    has_argument = ":" in scenario.policy
    return busy_cores * (scenario.length + scenario.warm_up) * (1 if has_argument else FULL_RUN_COST_RATIO)
