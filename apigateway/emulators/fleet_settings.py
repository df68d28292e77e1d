"""The settings of an emulated installation."""

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
        work_s: The work of a request, in seconds of one core.
        traffic_share: The class's share of the traffic.
        deduplication_scope: For keyed classes, the hosts that discard duplicates.
        deduplication_window_s: For keyed classes, how long a host discards duplicates of a request.
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
    """The quota and ceiling of a plan's customers."""

    rate: float  # units a second
    burst: float  # units
    price: float = 1.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings of an installation. Times are in seconds.

    Attributes:
        cores: The cores of each host; `queue_capacity`, `cold_share` and `cold_time` are per host as well.
        ceiling_slack: The slack of ceilings, as a share of their burst.
        extra_keys: Further keys for tables of the gateways' files, in TOML, by the table's name.
        plugins_toml: The `[[plugins]]` of each gateway, in TOML.
        check_class: The class of checks; if set, each gateway also serves the rate limit service.
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
        """Return the limits that a ledger checks the rules against."""
        classes = {
            name: ClassRules(cls.effect, cls.deduplication_scope, cls.deduplication_window_s)
            for name, cls in self.classes.items()
        }
        ceilings = {
            name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, self.ceiling_slack)
            for name, plan in self.plans.items()
            if plan.ceiling_rate
        }
        return RuleLimits(classes, ceilings, drain_grace_s=self.drain_grace)

    def traffic_classes(self) -> list[TrafficClass]:
        """Return the classes for the clients' traffic."""
        return [
            TrafficClass(name, cls.effect, cls.traffic_share, cls.deadline_s)
            for name, cls in self.classes.items()
        ]
