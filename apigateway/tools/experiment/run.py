"""Plays an experiment's plays side by side, each in a process of its own."""

from __future__ import annotations

import importlib.util
import os
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import Any

from apigateway.simulation.decision_module import ModuleFactory
from apigateway.simulation.simulation import Simulation
from apigateway.tools.experiment.plan import MODULE, Play

SHOWN_RULES = 3  # broken rules of a play that are told


def module(policy: str) -> ModuleFactory:
    """What makes the decision modules: the program's own, or the class `Gateway` of a file."""
    path = policy.partition(":")[2] if policy.startswith(MODULE + ":") else ""
    if not path:
        from apigateway.policy import Gateway

        return Gateway
    spec = importlib.util.spec_from_file_location("apigateway_other_policy", path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(path)
    made = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = made  # its dataclasses look themselves up there
    spec.loader.exec_module(made)
    other: ModuleFactory = made.Gateway
    return other


def play(one: Play) -> dict[str, Any]:
    """Its figures, and the first of the rules that it broke."""
    simulation = Simulation(one.scenario, one.seed, module(one.scenario.policy))
    figures = simulation.run()
    own = one.scenario.policy.startswith(MODULE)
    return {
        **figures,
        "rules": [str(violation) for violation in simulation.metrics.violations[:SHOWN_RULES]],
        "module": own,
    }


def play_all(plays: tuple[Play, ...], processes: int = 0) -> Iterator[tuple[int, dict[str, Any]]]:
    """Number and figures of each, as they end. The longest begin first: none is then waited for alone."""
    most = processes or max(1, (os.cpu_count() or 2) - 1)
    order = sorted(range(len(plays)), key=lambda n: -cost(plays[n]))
    with ProcessPoolExecutor(most, get_context("spawn")) as pool:
        waiting = {pool.submit(play, plays[n]): n for n in order}
        try:
            for done in as_completed(waiting):
                yield waiting[done], done.result()
        finally:
            for one in waiting:
                one.cancel()


def cost(one: Play) -> float:
    s = one.scenario
    return s.load * s.machines.count * s.machines.cores * (s.length + s.warm_up) * (3 - 2 * (":" in s.policy))
