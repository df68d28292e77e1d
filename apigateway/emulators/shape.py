"""What an emulated installation is made of."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from apigateway.emulators.clients import Kind as UsedKind
from apigateway.emulators.ledger import Ceiling, Kind, Terms


@dataclass(frozen=True, slots=True)
class Class:
    """A class of requests.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        aim: Its latency objective, in seconds, as `deadline`.
        worth: Its priority weight.
        work: Seconds of one core.
        share: Of the traffic.
        scope: Of keyed ones: the hosts that discard a repeat.
        memory: Of keyed ones: for how many seconds they do.
    """

    effect: str
    aim: float
    deadline: float
    worth: float
    work: float
    share: float
    scope: str = "all"
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of a plan may use."""

    rate: float  # units a second
    burst: float  # units
    price: float = 1.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Shape:
    """What is installed. Times are in seconds.

    Attributes:
        cores: Of each host, as `queue`, `cold_share` and `cold_time`.
        ceiling_slack: Part of a ceiling's burst.
        extra: Further keys of a table of the gateways' files, in TOML, by the table's name.
        plugins: The `[[plugins]]` of each gateway, in TOML.
        grpc: A class: each gateway has the rate limit service too, and its checks are of that class.
    """

    classes: Mapping[str, Class]
    plans: Mapping[str, Plan]
    gateways: int = 3
    zones: Sequence[str] = ("a", "b", "c")
    hosts: int = 9
    cores: int = 2
    queue: int = 16
    cold_share: float = 0.2
    cold_time: float = 8.0
    drain_grace: float = 2.0
    ceiling_slack: float = 0.1
    extra: Mapping[str, str] = field(default_factory=dict)
    plugins: str = ""
    grpc: str = ""

    def terms(self) -> Terms:
        """Return what a ledger judges such an installation by."""
        kinds = {name: Kind(cls.effect, cls.scope, cls.memory) for name, cls in self.classes.items()}
        ceilings = {
            name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, self.ceiling_slack)
            for name, plan in self.plans.items()
            if plan.ceiling_rate
        }
        return Terms(kinds, ceilings, drain_grace=self.drain_grace)

    def used(self) -> list[UsedKind]:
        """Return the classes as customers use them."""
        return [UsedKind(name, cls.effect, cls.share, cls.deadline) for name, cls in self.classes.items()]
