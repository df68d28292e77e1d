"""Converts a table of an experiment file into a scenario, and reports invalid keys and values."""

from __future__ import annotations

import dataclasses
import difflib
import os
from collections.abc import Iterable
from typing import Any

import msgspec

from apigateway.config_validation import MIN_KEY_SIMILARITY, ConfigProblem, ConfigReader, KeyPath, format_path
from apigateway.simulation.baselines import BaselineKind, is_baseline
from apigateway.simulation.scenario import FaultKind, FaultSettings, Scenario
from apigateway.tools.experiment.experiment import MODULE_POLICY, is_module_policy, module_path
from apigateway.tools.experiment.file_keys import item_type, key_of_field, key_types, rename_keys

FAULT_KINDS = tuple(kind.value for kind in FaultKind)
ZONE_FAULTS = (FaultKind.ZONE_OUTAGE, FaultKind.ZONE_PARTITION)  # faults that require a zone


def suggest_key(key: str, valid_keys: Iterable[str]) -> str:
    """Return the remedy for an unknown key: the most similar valid key, or all valid keys."""
    valid_keys = tuple(valid_keys)
    similar = difflib.get_close_matches(key, valid_keys, 1, MIN_KEY_SIMILARITY)
    return f"did you mean `{similar[0]}`?" if similar else f"valid keys: {', '.join(valid_keys)}"


def read_scenario(reader: ConfigReader, tree: dict[str, Any], path: KeyPath) -> Scenario | None:
    """Convert a table into a scenario.

    Args:
        reader: Collects the problems.
        tree: The table; an omitted key keeps its default.
        path: Path of the table in the file, for messages.

    Returns:
        The scenario, or None if the reader has any problems, earlier ones included.
    """
    _check_keys(reader, tree, Scenario, path)
    if reader.problems:
        return None
    try:
        scenario = msgspec.convert(rename_keys(tree, Scenario), Scenario)
    except (msgspec.ValidationError, ValueError) as error:
        _add_conversion_problem(reader, error, path)
        return None
    _check_values(reader, scenario, path)
    return None if reader.problems else scenario


def _check_keys(reader: ConfigReader, tree: object, schema: Any, path: KeyPath) -> None:
    """Report each key that is not a field of the schema, a dataclass."""
    if not dataclasses.is_dataclass(schema) or not isinstance(tree, dict):
        return
    types = key_types(schema)
    for key, value in tree.items():
        if key not in types:
            reader.add_problem((*path, key), value, "unknown key", suggest_key(key, types))
            continue
        inner_schema = item_type(types[key])
        if isinstance(value, list):
            for number, item in enumerate(value):
                _check_keys(reader, item, inner_schema, (*path, key, number))
        else:
            _check_keys(reader, value, inner_schema, (*path, key))


def _add_conversion_problem(reader: ConfigReader, error: Exception, path: KeyPath) -> None:
    """Report a msgspec error, whose text has the form "reason - at `$.key`"."""
    reason, _, location = str(error).partition(" - at ")
    parents, dot, field = location.strip("`$").rpartition(".")
    key = format_path(path) + parents + dot + key_of_field(field)
    problem = ConfigProblem(reader.file, key, "", reason[0].lower() + reason[1:], "correct the value")
    reader.problems.append(problem)


def _check_values(reader: ConfigReader, scenario: Scenario, path: KeyPath) -> None:
    """Report values that have the right type but cannot be simulated."""
    _check_policy(reader, scenario.policy, (*path, "policy"))
    _check_minimums(reader, scenario, path)
    customers = scenario.customers
    if len(customers.plans) != len(customers.shares):
        reason = f"there are {len(customers.plans)} plans"
        key = (*path, "customers", "shares")
        reader.add_problem(key, customers.shares, reason, "give one share per plan")
    for number, fault in enumerate(scenario.faults):
        _check_fault(reader, scenario, fault, (*path, "faults", number))


def _check_policy(reader: ConfigReader, policy: str, path: KeyPath) -> None:
    is_known_module = is_module_policy(policy) and policy.partition(":")[0] == MODULE_POLICY
    if not is_known_module and not is_baseline(policy):
        kinds = ", ".join(BaselineKind)
        remedy = f"use {MODULE_POLICY}, {MODULE_POLICY}:FILE, {kinds}, or BASELINE:AGE in seconds"
        reader.add_problem(path, policy, "is not a policy", remedy)
    file = module_path(policy) if is_known_module else ""
    if file and not os.path.isfile(file):
        reader.add_problem(path, policy, "no such file exists", "name a Python file with a class Gateway")


def _check_minimums(reader: ConfigReader, scenario: Scenario, path: KeyPath) -> None:
    machines = scenario.machines
    counting = scenario.counting
    minimums: tuple[tuple[KeyPath, float, float], ...] = (
        (("gateways",), scenario.gateways, 1),
        (("machines", "count"), machines.count, 1),
        (("length",), scenario.length, 0.1),
        (("load",), scenario.load, 0.001),
        (("machines", "cores"), machines.cores, 0.01),
        (("machines", "report_period"), machines.report_period, 0.01),
        (("counting", "parts"), counting.parts, 1),
        (("counting", "capacity"), counting.capacity, 0.1),
    )
    for key, value, minimum in minimums:
        if value < minimum:
            reader.add_problem((*path, *key), value, f"is less than {minimum}", "raise the value")


def _check_fault(reader: ConfigReader, scenario: Scenario, fault: FaultSettings, path: KeyPath) -> None:
    if fault.what not in FAULT_KINDS:
        remedy = f"valid kinds: {', '.join(FAULT_KINDS)}"
        reader.add_problem((*path, "what"), fault.what, "is not a kind of fault", remedy)
    if fault.what in ZONE_FAULTS and fault.zone not in scenario.zones:
        remedy = f"valid zones: {', '.join(scenario.zones)}"
        reader.add_problem((*path, "zone"), fault.zone, "no such zone is defined", remedy)
    if not 0 <= fault.at <= scenario.length:
        remedy = f"use 0 to {scenario.length:g}"
        reader.add_problem((*path, "at"), fault.at, "is outside the run", remedy)
