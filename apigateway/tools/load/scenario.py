"""A scenario file: what is due when, from whom, to which gateways. TOML, checked as all settings are.

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
    """`[run]`.

    A run is void where the generator began more than the fraction `late_share` of its requests more than
    `late_ms` late.
    """

    name: str = "scenario"
    seconds: Annotated[float, msgspec.Meta(ge=0, le=1e7)] = 60.0
    seed: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 1
    max_requests: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 1_000_000
    late_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 10.0
    late_share: _Fraction = 0.001


class TargetsSection(ConfigSection, frozen=True, kw_only=True):
    """`[targets]`: the gateways in the order of their numbers; `off_loopback` allows any address."""

    gateways: Annotated[list[str], msgspec.Meta(max_length=10_000)] = []
    off_loopback: bool = False


class ClassSection(ConfigSection, frozen=True, kw_only=True):
    """`[classes.NAME]`: a service class; its clients wait `wait` seconds."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    wait: _Seconds = 3.0


class PlanSection(ConfigSection, frozen=True, kw_only=True):
    """`[plans.NAME]`: the customers of a plan, called employers here.

    By `skew` the n-th asks 1/n^skew as much as the first. `spread`: gateways of each, 0 for all; which of
    them are busy changes every `shift` seconds, 0 for never.
    """

    employers: _Count = 1
    skew: Annotated[float, msgspec.Meta(ge=0, le=5)] = 1.0
    spread: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    shift: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0


class StreamSection(ConfigSection, frozen=True, kw_only=True):
    """`[[streams]]`: requests of one class and plan, at the rate of a shape."""

    cls: _Name = msgspec.field(name="class")
    plan: _Name
    shape: AnyShape
    arrivals: Literal["poisson", "even"] = "poisson"
    units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    name: _Name = "stream"


class SpellSection(ConfigSection, frozen=True, kw_only=True):
    """`[[spells]]`: some customers ask more for a while.

    `employers` of a plan, drawn by the seed, each ask `times` as much as usual for `length` seconds.
    """

    plan: _Name
    employers: _Count = 1
    times: Annotated[float, msgspec.Meta(ge=1, le=1000)]
    at_s: Annotated[float, msgspec.Meta(ge=0, le=1e7)]
    length: _Seconds


class Scenario(ConfigSection, frozen=True, kw_only=True):
    """A scenario file."""

    run: RunSection = RunSection()
    targets: TargetsSection = TargetsSection()
    classes: dict[str, ClassSection] = {}
    plans: dict[str, PlanSection] = {}
    streams: list[StreamSection] = []
    spells: list[SpellSection] = []


def read_scenario(path: str) -> Scenario:
    """Read a scenario file. Raises InvalidConfigFileError with all that is wrong in it."""
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
    """Return the addresses of the gateways, in the order of their numbers."""
    return [parse_address(text) for text in scenario.targets.gateways]


def _check_streams(reader: ConfigReader, scenario: Scenario) -> None:
    for index, stream in enumerate(scenario.streams):
        _check_known(reader, ("streams", index, "class"), stream.cls, list(scenario.classes))
        _check_known(reader, ("streams", index, "plan"), stream.plan, list(scenario.plans))


def _check_known(reader: ConfigReader, path: tuple[str, int, str], name: str, known_names: list[str]) -> None:
    if name in known_names:
        return
    remedy = f"known: {', '.join(known_names) or 'none'}"
    reader.add_semantic_problem(path, name, f"there is no such {path[-1]}", remedy)


def _check_spells(reader: ConfigReader, scenario: Scenario) -> None:
    for index, spell in enumerate(scenario.spells):
        _check_known(reader, ("spells", index, "plan"), spell.plan, list(scenario.plans))
        plan = scenario.plans.get(spell.plan)
        if plan is not None and spell.employers > plan.employers:
            path = ("spells", index, "employers")
            reason = f"the plan has {plan.employers}"
            reader.add_semantic_problem(path, spell.employers, reason, "let it be fewer")


def _check_spreads(reader: ConfigReader, scenario: Scenario) -> None:
    gateway_count = len(scenario.targets.gateways)
    for name, plan in scenario.plans.items():
        if gateway_count and plan.spread > gateway_count:
            path = ("plans", name, "spread")
            reason = f"there are {gateway_count} gateways"
            reader.add_semantic_problem(path, plan.spread, reason, "let it be fewer")


def _check_target(reader: ConfigReader, index: int, text: str, is_any_allowed: bool) -> None:
    path = ("targets", "gateways", index)
    try:
        host, _ = parse_address(text)
    except ValueError:
        remedy = "write it as HOST:PORT, an IPv6 host in brackets"
        reader.add_semantic_problem(path, text, "is no address", remedy)
        return
    if not (_is_loopback(host) or is_any_allowed):
        reader.add_semantic_problem(
            path,
            text,
            "is not on loopback, and load is sent there",
            "set targets.off_loopback = true where it is yours to load",
        )


def _is_loopback(host: str) -> bool:
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
