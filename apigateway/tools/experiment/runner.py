"""Runs an experiment's simulations side by side, each in a process of its own."""

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

MAX_SHOWN_VIOLATIONS = 3  # of a run
MODULE_NAME = "apigateway_other_policy"  # of a decision module that is loaded from a file
FULL_COST = 3  # of a run, against one whose policy has an argument: mostly a baseline that sees the past


@dataclass(frozen=True, slots=True)
class RunResult:
    """What one run came to.

    Attributes:
        figures: By their names in reports; "seconds" has the counts by second.
        violations: The first broken rules.
        is_module: Whether a decision module was run, and no baseline.
    """

    figures: dict[str, Any]
    violations: tuple[str, ...]
    is_module: bool


class FinishedRun(NamedTuple):
    """A run that has ended, by its number in the experiment."""

    number: int
    result: RunResult


def load_module(policy: str) -> ModuleFactory:
    """Return what makes the decision modules of a policy: the program's own, or those of a file.

    Raises:
        FileNotFoundError: There is no such file.
    """
    path = module_path(policy)
    if not path:
        from apigateway.policy import Gateway

        return Gateway
    spec = importlib.util.spec_from_file_location(MODULE_NAME, path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module  # its dataclasses look themselves up there
    spec.loader.exec_module(module)
    factory: ModuleFactory = module.Gateway
    return factory


def run_one(run: PlannedRun) -> RunResult:
    """Run one simulation."""
    policy = run.scenario.policy
    simulation = Simulation(run.scenario, run.seed, load_module(policy))
    figures = simulation.run()
    violations = simulation.metrics.violations[:MAX_SHOWN_VIOLATIONS]
    return RunResult(figures, tuple(str(violation) for violation in violations), is_module_policy(policy))


def run_all(runs: tuple[PlannedRun, ...], process_count: int = 0) -> Iterator[FinishedRun]:
    """Run simulations side by side, and yield each as it ends.

    The longest begin first, so that none is waited for alone.

    Args:
        runs: The simulations.
        process_count: Processes side by side; 0: as many as there are cores, but one.
    """
    max_workers = process_count or max(1, (os.cpu_count() or 2) - 1)
    longest_first = sorted(range(len(runs)), key=lambda number: -estimated_cost(runs[number]))
    with ProcessPoolExecutor(max_workers, get_context("spawn")) as pool:
        numbers = {pool.submit(run_one, runs[number]): number for number in longest_first}
        try:
            for future in as_completed(numbers):
                yield FinishedRun(numbers[future], future.result())
        finally:
            for future in numbers:
                future.cancel()


def estimated_cost(run: PlannedRun) -> float:
    """Return how long a run takes against others."""
    scenario = run.scenario
    busy_cores = scenario.load * scenario.machines.count * scenario.machines.cores
    has_argument = ":" in scenario.policy
    return busy_cores * (scenario.length + scenario.warm_up) * (1 if has_argument else FULL_COST)
