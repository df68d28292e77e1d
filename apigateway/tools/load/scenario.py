"""Reads and validates a scenario file (TOML): which customers send which requests, when, to which gateways.

The fields of the sections are the keys of the file; docs/operate/load.md describes them.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigReader, ConfigSection, InvalidConfigFileError, read_toml
from apigateway.tools.load.shapes import AnyShape
from apigateway.upstream.address import Address, parse_address

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class RunSection(ConfigSection, frozen=True, kw_only=True):
    """`[run]`: the run as a whole.

    A run is void if the generator started more than the share `late_share` of its requests more than
    `late_ms` late.
    """

    name: str = "scenario"
    seconds: Annotated[float, msgspec.Meta(ge=0, le=1e7)] = 60.0
    seed: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 1
    max_requests: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 1_000_000
    late_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 10.0
    late_share: _Fraction = 0.001


class TargetsSection(ConfigSection, frozen=True, kw_only=True):
    """`[targets]`: the gateways by their index; `off_loopback` allows addresses off loopback."""

    gateways: Annotated[list[str], msgspec.Meta(max_length=10_000)] = []
    off_loopback: bool = False


class ClassSection(ConfigSection, frozen=True, kw_only=True):
    """`[classes.NAME]`: a service class; its clients wait `wait` seconds for an answer."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    wait: _Seconds = 3.0


class PlanSection(ConfigSection, frozen=True, kw_only=True):
    """`[plans.NAME]`: the customers of a plan, called employers in the file.

    The n-th customer sends 1/n^skew times as many requests as the first. `spread` is the number of gateways
    that each customer uses, 0 for all. Its distribution over them changes every `shift` seconds, 0 for never.
    """

    employers: _Count = 1
    skew: Annotated[float, msgspec.Meta(ge=0, le=5)] = 1.0
    spread: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    shift: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0


class StreamSection(ConfigSection, frozen=True, kw_only=True):
    """`[[streams]]`: requests of one class and plan, at the rate that a shape gives."""

    cls: _Name = msgspec.field(name="class")
    plan: _Name
    shape: AnyShape
    arrivals: Literal["poisson", "even"] = "poisson"
    units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    name: _Name = "stream"


class SpellSection(ConfigSection, frozen=True, kw_only=True):
    """`[[spells]]`: some customers send more requests for a limited time.

    A number of `employers` of a plan, drawn with the seed, each send `times` as many requests as usual for
    `length` seconds.
    """

    plan: _Name
    employers: _Count = 1
    times: Annotated[float, msgspec.Meta(ge=1, le=1000)]
    at_s: Annotated[float, msgspec.Meta(ge=0, le=1e7)]
    length: _Seconds


class Scenario(ConfigSection, frozen=True, kw_only=True):
    """The content of a scenario file."""

    run: RunSection = RunSection()
    targets: TargetsSection = TargetsSection()
    classes: dict[str, ClassSection] = {}
    plans: dict[str, PlanSection] = {}
    streams: list[StreamSection] = []
    spells: list[SpellSection] = []


def read_scenario(path: str) -> Scenario:
    """Read a scenario file. Raises InvalidConfigFileError with all its problems."""
    reader = ConfigReader(path)
    scenario = reader.read(read_toml(path), Scenario)
    if scenario is not None:
        _check_streams(reader, scenario)
        _check_spells(reader, scenario)
        _check_spreads(reader, scenario)
        for index, text in enumerate(scenario.targets.gateways):
            _check_target(reader, index, text, scenario.targets.off_loopback)
    if reader.problems or scenario is None:
        raise InvalidConfigFileError(reader.problems)
    return scenario


def target_addresses(scenario: Scenario) -> list[Address]:
    """Return the addresses of the gateways, in the order of their indexes."""
    return [parse_address(text) for text in scenario.targets.gateways]


def _check_streams(reader: ConfigReader, scenario: Scenario) -> None:
    for index, stream in enumerate(scenario.streams):
        _check_name_is_defined(reader, ("streams", index, "class"), stream.cls, list(scenario.classes))
        _check_name_is_defined(reader, ("streams", index, "plan"), stream.plan, list(scenario.plans))


def _check_name_is_defined(
    reader: ConfigReader, path: tuple[str, int, str], name: str, defined_names: list[str]
) -> None:
    if name in defined_names:
        return
    remedy = f"valid names: {', '.join(defined_names) or 'none'}"
    reader.add_semantic_problem(path, name, f"no such {path[-1]} is defined", remedy)


def _check_spells(reader: ConfigReader, scenario: Scenario) -> None:
    for index, spell in enumerate(scenario.spells):
        _check_name_is_defined(reader, ("spells", index, "plan"), spell.plan, list(scenario.plans))
        plan = scenario.plans.get(spell.plan)
        if plan is not None and spell.employers > plan.employers:
            path = ("spells", index, "employers")
            reason = f"the plan has employers = {plan.employers}"
            reader.add_semantic_problem(path, spell.employers, reason, "lower the value")


def _check_spreads(reader: ConfigReader, scenario: Scenario) -> None:
    gateway_count = len(scenario.targets.gateways)
    for name, plan in scenario.plans.items():
        if gateway_count and plan.spread > gateway_count:
            path = ("plans", name, "spread")
            reason = f"there are {gateway_count} gateways"
            reader.add_semantic_problem(path, plan.spread, reason, "lower the value")


def _check_target(reader: ConfigReader, index: int, text: str, allow_off_loopback: bool) -> None:
    path = ("targets", "gateways", index)
    try:
        host, _ = parse_address(text)
    except ValueError:
        remedy = "write it as HOST:PORT, an IPv6 host in brackets"
        reader.add_semantic_problem(path, text, "is not an address", remedy)
        return
    if not (_is_loopback(host) or allow_off_loopback):
        reader.add_semantic_problem(
            path,
            text,
            "is not on loopback, and the load generator would send load to it",
            "set targets.off_loopback = true if you may load this gateway",
        )


def _is_loopback(host: str) -> bool:
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
