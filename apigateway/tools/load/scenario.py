"""A scenario file: what is due when, from whom, to which gateways. TOML, checked as all settings are."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigReader, ConfigSection, InvalidConfigFileError, read_toml
from apigateway.tools.load.shapes import AnyShape
from apigateway.upstream.address import Address, read_address

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Many = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class RunPart(ConfigSection, frozen=True, kw_only=True):
    name: str = "scenario"
    seconds: Annotated[float, msgspec.Meta(ge=0, le=1e7)] = 60.0
    seed: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 1
    max_requests: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 1_000_000
    late_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 10.0  # a run is void where the generator began
    late_share: Share = 0.001  # more than this part of its requests later than that


class TargetsPart(ConfigSection, frozen=True, kw_only=True):
    gateways: Annotated[list[str], msgspec.Meta(max_length=10_000)] = []  # in the order of their numbers
    off_loopback: bool = False


class ClassPart(ConfigSection, frozen=True, kw_only=True):
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    wait: Seconds = 3.0


class PlanPart(ConfigSection, frozen=True, kw_only=True):
    """`skew`: of employers' use; the n-th asks 1/n^skew as much as the first. `spread`: gateways of each, 0
    for all; where its requests come in shifts every `shift` seconds, 0 for never."""

    employers: Many = 1
    skew: Annotated[float, msgspec.Meta(ge=0, le=5)] = 1.0
    spread: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    shift: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0


class StreamPart(ConfigSection, frozen=True, kw_only=True):
    cls: Name = msgspec.field(name="class")
    plan: Name
    shape: AnyShape
    arrivals: Literal["poisson", "even"] = "poisson"
    units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    name: Name = "stream"


class SpellPart(ConfigSection, frozen=True, kw_only=True):
    """Of `employers` of a plan, drawn by the seed: each asks `times` what it asks else, from `at_s` on for
    `length`."""

    plan: Name
    employers: Many = 1
    times: Annotated[float, msgspec.Meta(ge=1, le=1000)]
    at_s: Annotated[float, msgspec.Meta(ge=0, le=1e7)]
    length: Seconds


class Scenario(ConfigSection, frozen=True, kw_only=True):
    run: RunPart = RunPart()
    targets: TargetsPart = TargetsPart()
    classes: dict[str, ClassPart] = {}
    plans: dict[str, PlanPart] = {}
    streams: list[StreamPart] = []
    spells: list[SpellPart] = []


def read_scenario(path: str) -> Scenario:
    """Raises InvalidConfigFileError with all that is wrong."""
    tree, reader = read_toml(path), ConfigReader(path)
    scenario = reader.read(tree, Scenario)
    if scenario is not None:
        check(reader, scenario)
    if reader.problems or scenario is None:
        raise InvalidConfigFileError(reader.problems)
    return scenario


def check(reader: ConfigReader, told: Scenario) -> None:
    bad = reader.add_contradiction
    for number, stream in enumerate(told.streams):
        for key, name, known in (("class", stream.cls, told.classes), ("plan", stream.plan, told.plans)):
            if name not in known:
                bad(
                    ("streams", number, key),
                    name,
                    f"there is no such {key}",
                    f"known: {', '.join(known) or 'none'}",
                )
    for number, spell in enumerate(told.spells):
        plan = told.plans.get(spell.plan)
        if plan is None:
            bad(
                ("spells", number, "plan"),
                spell.plan,
                "there is no such plan",
                f"known: {', '.join(told.plans) or 'none'}",
            )
        elif spell.employers > plan.employers:
            bad(
                ("spells", number, "employers"),
                spell.employers,
                f"the plan has {plan.employers}",
                "let it be fewer",
            )
    count = len(told.targets.gateways)
    for name, plan in told.plans.items():
        if count and plan.spread > count:
            bad(("plans", name, "spread"), plan.spread, f"there are {count} gateways", "let it be fewer")
    for number, text in enumerate(told.targets.gateways):
        check_target(reader, number, text, told.targets.off_loopback)


def check_target(reader: ConfigReader, number: int, text: str, anywhere: bool) -> None:
    at = ("targets", "gateways", number)
    try:
        host, _ = read_address(text)
    except ValueError:
        reader.add_contradiction(at, text, "is no address", "write it as HOST:PORT, an IPv6 host in brackets")
        return
    try:
        loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not (loopback or anywhere):
        reader.add_contradiction(
            at,
            text,
            "is not on loopback, and load is sent there",
            "set targets.off_loopback = true where it is yours to load",
        )


def addresses(scenario: Scenario) -> list[Address]:
    return [read_address(text) for text in scenario.targets.gateways]
