"""Reads an experiment file (cases, swept values, seeds) and expands it into runs.

A table in the file has the fields of a dataclass in simulation/scenario.py; an omitted key keeps the default
of its field.
"""

from __future__ import annotations

import copy
import itertools
from collections.abc import Iterator
from typing import Any

from apigateway.config_validation import ConfigReader, InvalidConfigFileError, read_toml
from apigateway.tools.experiment.experiment import Experiment, PlannedRun, SweptValue
from apigateway.tools.experiment.scenario_reader import read_scenario, suggest_key

MAX_RUNS = 10_000  # guards against a sweep of many keys that would run for days
DEFAULT_COLUMNS = (
    "in_aim",
    "refused",
    "p50_ms",
    "p99_ms",
    "idle_waiting",
    "connections_each",
    "probes_each",
    "over_quota",
    "broken",
)
TOP_LEVEL_KEYS = ("base", "cases", "columns", "name", "seeds", "sweep")


def read_experiment(path: str, seed_count: int = 0) -> Experiment:
    """Read an experiment file.

    Args:
        path: Path of the file.
        seed_count: Use seeds 1 to this number instead of the seeds in the file; 0: use the seeds in the file.

    Raises:
        InvalidConfigFileError: The file is invalid; it reports all problems of the first invalid case.
    """
    tree = read_toml(path)
    reader = ConfigReader(path)
    _check_top_level(reader, tree)
    sweep = _read_sweep(reader, tree)
    cases = tree.get("cases", [{"name": "base"}])
    seeds = _read_seeds(reader, tree, seed_count)
    _check_run_count(reader, len(cases) * len(seeds), sweep)
    if reader.problems:
        raise InvalidConfigFileError(reader.problems)
    runs: list[PlannedRun] = []
    for number, case in enumerate(cases):
        runs += _read_case(reader, tree.get("base", {}), case, number, sweep, seeds)
        if reader.problems:
            raise InvalidConfigFileError(dict.fromkeys(reader.problems))
    columns = tuple(tree.get("columns", DEFAULT_COLUMNS))
    return Experiment(str(tree.get("name", path)), columns, tuple(runs))


def _check_top_level(reader: ConfigReader, tree: dict[str, Any]) -> None:
    for key, value in tree.items():
        if key not in TOP_LEVEL_KEYS:
            reader.add_problem((key,), value, "unknown key", suggest_key(key, TOP_LEVEL_KEYS))


def _read_sweep(reader: ConfigReader, tree: dict[str, Any]) -> dict[str, list[Any]]:
    """Return the swept keys and their values."""
    sweep: dict[str, list[Any]] = {}
    for key, values in tree.get("sweep", {}).items():
        sweep[key] = values
        if not isinstance(values, list) or not values:
            remedy = "write it as [first, second]"
            reader.add_problem(("sweep", key), values, "is not a list of values", remedy)
            sweep[key] = [values]
    return sweep


def _read_seeds(reader: ConfigReader, tree: dict[str, Any], seed_count: int) -> list[int]:
    if seed_count:
        return list(range(1, seed_count + 1))
    seeds: list[int] = tree.get("seeds", [1])
    if not seeds or not all(isinstance(seed, int) for seed in seeds):
        reader.add_problem(("seeds",), seeds, "is not a list of whole numbers", "write it as [1, 2, 3]")
    return seeds


def _check_run_count(reader: ConfigReader, runs_per_choice: int, sweep: dict[str, list[Any]]) -> None:
    """Report an experiment with too many runs; `runs_per_choice` is the number for one choice of values."""
    count = runs_per_choice
    for values in sweep.values():
        count *= len(values)
    if count > MAX_RUNS:
        reader.add_problem((), None, f"requires {count} runs", f"reduce them to {MAX_RUNS} or fewer")


def _read_case(
    reader: ConfigReader,
    base: dict[str, Any],
    case: dict[str, Any],
    number: int,
    sweep: dict[str, list[Any]],
    seeds: list[int],
) -> Iterator[PlannedRun]:
    """Yield the runs of a case: one for each combination of swept values and each seed."""
    name = str(case.get("name", f"case {number + 1}"))
    own_settings = {key: value for key, value in case.items() if key != "name"}
    choices = ([SweptValue(key, value) for value in values] for key, values in sweep.items())
    for swept in itertools.product(*choices):
        tree = merge_tables(base, own_settings)
        for key, value in swept:
            _set_value(tree, key.split("."), value)
        scenario = read_scenario(reader, tree, ("cases", number))
        if scenario is not None:
            for seed in seeds:
                yield PlannedRun(name, swept, seed, scenario)


def merge_tables(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of `base` with the values of `override`; nested tables are merged."""
    merged = copy.deepcopy(base)
    for key, value in override.items():
        old = merged.get(key)
        if isinstance(old, dict) and isinstance(value, dict):
            merged[key] = merge_tables(old, value)
        else:
            merged[key] = value
    return merged


def _set_value(tree: dict[str, Any], path: list[str], value: Any) -> None:
    for key in path[:-1]:
        tree = tree.setdefault(key, {})
    tree[path[-1]] = value
