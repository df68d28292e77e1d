"""What an experiment is: the simulations that are to be run, and what is shown of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.simulation.scenario import Scenario

MODULE_POLICY = "module"  # the decision module; "module:FILE": one that stands in a file of its own


class SweptValue(NamedTuple):
    """A key that an experiment sweeps, and its value in one run."""

    key: str  # of a scenario, with dots between tables
    value: Any


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One simulation of an experiment."""

    case: str
    swept: tuple[SweptValue, ...]
    seed: int
    scenario: Scenario


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment as its file describes it.

    Attributes:
        columns: The figures that the table shows.
        runs: In the order of the file: by case, swept values and seed.
    """

    name: str
    columns: tuple[str, ...]
    runs: tuple[PlannedRun, ...]


def is_module_policy(policy: str) -> bool:
    """Return whether a scenario's policy is a decision module, and no baseline."""
    return policy.startswith(MODULE_POLICY)


def module_path(policy: str) -> str:
    """Return the file of a policy "module:FILE"; empty for the program's own module."""
    return policy.partition(":")[2] if is_module_policy(policy) else ""
