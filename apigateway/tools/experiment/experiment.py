"""The definition of an experiment: its simulation runs, and the columns of its table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.simulation.scenario import Scenario

MODULE_POLICY = "module"  # this program's decision module; "module:FILE" loads another from a file


class SweptValue(NamedTuple):
    """A key that an experiment sweeps, with its value in one run."""

    key: str  # path of a key in a scenario, with dots between tables
    value: Any


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One simulation run of an experiment."""

    case: str
    swept: tuple[SweptValue, ...]
    seed: int
    scenario: Scenario


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment as defined by its file.

    Attributes:
        columns: Names of the figures that the table shows.
        runs: Runs in the order of the file: by case, swept values and seed.
    """

    name: str
    columns: tuple[str, ...]
    runs: tuple[PlannedRun, ...]


def is_module_policy(policy: str) -> bool:
    """Return whether a scenario's policy is a decision module rather than a baseline."""
    return policy.startswith(MODULE_POLICY)


def module_path(policy: str) -> str:
    """Return the file of a policy "module:FILE", or an empty string for this program's own module."""
    return policy.partition(":")[2] if is_module_policy(policy) else ""
