"""A file of experiments: cases, what is swept, seeds, to the plays that it asks for.

A table in the file has the fields of a dataclass of simulation/scenario.py; what it leaves out keeps
the default there.
"""

from __future__ import annotations

import copy
import dataclasses
import difflib
import itertools
import os
import typing
from dataclasses import dataclass
from typing import Any

import msgspec

from apigateway.config_validation import ConfigProblem as Wrong
from apigateway.config_validation import ConfigReader, InvalidConfigFileError, format_value, read_toml
from apigateway.simulation.baselines import BaselineKind, is_baseline
from apigateway.simulation.scenario import FaultKind, Scenario

MOST_PLAYS = 10_000
COLUMNS = (
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
MODULE = "module"  # the decision module; "module:FILE" one that stands in a file of its own
FAULT_KINDS = tuple(kind.value for kind in FaultKind)
PARTS = {"name", "seeds", "columns", "base", "sweep", "cases"}


@dataclass(frozen=True, slots=True)
class Play:
    case: str
    swept: tuple[tuple[str, Any], ...]  # what the sweep set: key, value
    seed: int
    scenario: Scenario


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    columns: tuple[str, ...]
    plays: tuple[Play, ...]


def read_experiment(path: str, seeds: int = 0) -> Experiment:
    """`seeds`: so many in place of the file's. Raises InvalidConfigFileError with what is wrong."""
    tree, reader = read_toml(path), ConfigReader(path)
    for key in tree.keys() - PARTS:
        near = difflib.get_close_matches(key, PARTS, 1, 0.6)
        reader.add_problem(
            (key,),
            tree[key],
            "unknown key",
            f"did you mean `{near[0]}`?" if near else f"known here: {', '.join(sorted(PARTS))}",
        )
    sweep, cases = tree.get("sweep", {}), tree.get("cases", [{"name": "base"}])
    numbers = list(range(1, seeds + 1)) if seeds else tree.get("seeds", [1])
    count = len(cases) * len(numbers)
    for key, values in sweep.items():
        if not isinstance(values, list) or not values:
            reader.add_problem(("sweep", key), values, "is no list of values", "write it as [first, second]")
            values = [values]
        count *= len(values)
    if not numbers or not all(isinstance(n, int) for n in numbers):
        reader.add_problem(("seeds",), numbers, "is no list of whole numbers", "write it as [1, 2, 3]")
    if count > MOST_PLAYS:
        reader.add_problem((), None, f"asks for {count} plays", f"{MOST_PLAYS} at most")
    if reader.problems:
        raise InvalidConfigFileError(reader.problems)
    plays = []
    for number, case in enumerate(cases):
        name = str(case.get("name", f"case {number + 1}"))
        for chosen in itertools.product(
            *([(key, value) for value in values] for key, values in sweep.items())
        ):
            own = {key: value for key, value in case.items() if key != "name"}
            merged = merge(tree.get("base", {}), own)
            for key, value in chosen:
                put(merged, key.split("."), value)
            scenario = made(reader, merged, f"cases[{number}]")
            if scenario is not None:
                plays += [Play(name, chosen, seed, scenario) for seed in numbers]
        if reader.problems:
            raise InvalidConfigFileError(dict.fromkeys(reader.problems))
    columns = tuple(tree.get("columns", COLUMNS))
    return Experiment(str(tree.get("name", path)), columns, tuple(plays))


def merge(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """`more` over `base`, table by table."""
    made = copy.deepcopy(base)
    for key, value in more.items():
        old = made.get(key)
        both = isinstance(old, dict) and isinstance(value, dict)
        made[key] = merge(old, value) if both else value  # type: ignore[arg-type]
    return made


def put(tree: dict[str, Any], path: list[str], value: Any) -> None:
    for step in path[:-1]:
        tree = tree.setdefault(step, {})
    tree[path[-1]] = value


def made(reader: ConfigReader, tree: dict[str, Any], where: str) -> Scenario | None:
    """The scenario of a table; None, and why in the reader, if it cannot be played."""
    known(reader, tree, Scenario, where)
    if reader.problems:
        return None
    try:
        scenario = msgspec.convert(tree, Scenario)
    except (msgspec.ValidationError, ValueError) as err:
        text, _, at = str(err).partition(" - at ")
        reader.problems.append(
            Wrong(reader.file, f"{where}{at.strip('`$')}", "", text[0].lower() + text[1:], "mend the value")
        )
        return None
    sound(reader, scenario, where)
    return None if reader.problems else scenario


def known(reader: ConfigReader, tree: object, kind: Any, where: str) -> None:
    """Faults each key that the dataclass does not have."""
    if not dataclasses.is_dataclass(kind) or not isinstance(tree, dict):
        return
    hints = typing.get_type_hints(kind)
    for key, value in tree.items():
        if key not in hints:
            near = difflib.get_close_matches(key, hints, 1, 0.6)
            remedy = f"did you mean `{near[0]}`?" if near else f"known here: {', '.join(hints)}"
            reader.problems.append(
                Wrong(reader.file, f"{where}.{key}", format_value(value), "unknown key", remedy)
            )
            continue
        inner = hints[key]
        items = value if isinstance(value, list) else [value]
        if typing.get_origin(inner) is tuple:
            inner = typing.get_args(inner)[0]
        for number, item in enumerate(items):
            at = f"{where}.{key}[{number}]" if isinstance(value, list) else f"{where}.{key}"
            known(reader, item, inner, at)


def sound(reader: ConfigReader, told: Scenario, where: str) -> None:
    """What a play could not be made of, though each value is of its kind."""

    def bad(key: str, value: object, reason: str, remedy: str) -> None:
        reader.problems.append(Wrong(reader.file, f"{where}.{key}", format_value(value), reason, remedy))

    policy = told.policy.partition(":")[0] if told.policy.startswith(MODULE) else told.policy
    if policy != MODULE and not is_baseline(policy):
        bad(
            "policy",
            told.policy,
            "is no way to choose",
            f"{MODULE}, {MODULE}:FILE, {', '.join(BaselineKind)}, or one of these :SECONDS behind",
        )
    path = told.policy.partition(":")[2] if policy == MODULE else ""
    if path and not os.path.isfile(path):
        bad("policy", told.policy, "there is no such file", "name one that has a class Gateway")
    for key, value, least in (
        ("gateways", told.gateways, 1),
        ("machines.count", told.machines.count, 1),
        ("length", told.length, 0.1),
        ("load", told.load, 0.001),
        ("machines.cores", told.machines.cores, 0.01),
        ("machines.report_period", told.machines.report_period, 0.01),
        ("counting.parts", told.counting.parts, 1),
        ("counting.capacity", told.counting.capacity, 0.1),
    ):
        if value < least:
            bad(key, value, f"is less than {least}", "let it be more")
    if len(told.customers.plans) != len(told.customers.shares):
        bad(
            "customers.shares",
            told.customers.shares,
            f"there are {len(told.customers.plans)} plans",
            "one share for each",
        )
    for number, fault in enumerate(told.faults):
        at = f"faults[{number}]"
        if fault.what not in FAULT_KINDS:
            bad(f"{at}.what", fault.what, "is no fault", f"known: {', '.join(FAULT_KINDS)}")
        if fault.what in ("dark", "cut") and fault.zone not in told.zones:
            bad(f"{at}.zone", fault.zone, "there is no such zone", f"known: {', '.join(told.zones)}")
        if not 0 <= fault.at <= told.length:
            bad(f"{at}.at", fault.at, "lies outside of the play", f"0 to {told.length:g}")
