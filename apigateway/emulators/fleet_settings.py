"""What an emulated installation is made of."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from apigateway.emulators.clients import TrafficClass
from apigateway.emulators.ledger import Ceiling, ClassRules, RuleLimits


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of requests.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        latency_objective_s: Its latency objective, in seconds, as `deadline_s`.
        priority_weight: Its priority weight.
        work_s: Seconds of one core.
        traffic_share: Of the traffic.
        deduplication_scope: Of keyed ones: the hosts that discard a repeat.
        deduplication_window_s: Of keyed ones: for how many seconds they do.
    """

    effect: str
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    work_s: float
    traffic_share: float
    deduplication_scope: str = "all"
    deduplication_window_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """What a customer of a plan may use."""

    rate: float  # units a second
    burst: float  # units
    price: float = 1.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What is installed. Times are in seconds.

    Attributes:
        cores: Of each host, as `queue_capacity`, `cold_share` and `cold_time`.
        ceiling_slack: Part of a ceiling's burst.
        extra_keys: Further keys of a table of the gateways' files, in TOML, by the table's name.
        plugins_toml: The `[[plugins]]` of each gateway, in TOML.
        check_class: A class: each gateway has the rate limit service too, and its checks are of that class.
    """

    classes: Mapping[str, ClassSettings]
    plans: Mapping[str, PlanSettings]
    gateways: int = 3
    zones: Sequence[str] = ("a", "b", "c")
    hosts: int = 9
    cores: int = 2
    queue_capacity: int = 16
    cold_share: float = 0.2
    cold_time: float = 8.0
    drain_grace: float = 2.0
    ceiling_slack: float = 0.1
    extra_keys: Mapping[str, str] = field(default_factory=dict)
    plugins_toml: str = ""
    check_class: str = ""

    def rule_limits(self) -> RuleLimits:
        """Return what a ledger judges such an installation by."""
        kinds = {
            name: ClassRules(cls.effect, cls.deduplication_scope, cls.deduplication_window_s)
            for name, cls in self.classes.items()
        }
        ceilings = {
            name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, self.ceiling_slack)
            for name, plan in self.plans.items()
            if plan.ceiling_rate
        }
        return RuleLimits(kinds, ceilings, drain_grace_s=self.drain_grace)

    def traffic_classes(self) -> list[TrafficClass]:
        """Return the classes as customers use them."""
        return [
            TrafficClass(name, cls.effect, cls.traffic_share, cls.deadline_s)
            for name, cls in self.classes.items()
        ]
