"""The settings of a deployment."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from apigateway.contract.endpoints import Endpoint
from apigateway.contract.plans import Plan
from apigateway.contract.requests import CustomLimitCheck, Request
from apigateway.contract.service_classes import ServiceClass
from apigateway.contract.validation import require


class DiscoveryMode(StrEnum):
    """How the gateway receives updates of the endpoint list."""

    PUSH = "push"
    POLL = "ask"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a gateway to do."""

    can_cancel: bool
    can_hedge: bool
    can_check_health: bool
    can_message_peers: bool
    can_send_retry_after: bool
    max_attempts: int
    max_retry_after: float  # s
    connect_timeout: float = 0.0  # s within which a new attempt reaches its host or fails

    def retry_after(self, wait: float) -> float:
        """Return the Retry-After in seconds to send to a client that should wait this long."""
        return min(max(wait, 0.0), self.max_retry_after if self.can_send_retry_after else 0.0)

    def __post_init__(self) -> None:
        require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that a gateway keeps to during any failure. Times are in seconds."""

    answer_slack: float
    drain_grace: float
    initial_capacity: float  # share of its capacity that a host has when it starts
    slow_start_duration: float  # time after which a started host has its full capacity
    overload_multiple: float  # multiple of its capacity that a host withstands for `overload_duration`
    overload_duration: float
    max_poll_interval: float  # for polled discovery only

    def __post_init__(self) -> None:
        require(0 <= self.initial_capacity <= 1, "cold_share must be between 0 and 1")
        minimum = min(
            self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_duration
        )
        require(minimum >= 0, "rules: values must not be negative")


@dataclass(frozen=True, slots=True)
class Route:
    """The kinds of hosts to which a request is restricted."""

    name: str
    endpoint_kinds: tuple[str, ...]
    fallback: bool  # whether all kinds are allowed while no host of these kinds is up

    def allowed_kinds(self, endpoints: Iterable[Endpoint]) -> tuple[str, ...]:
        """Return the kinds that are allowed while these hosts are up; empty: all kinds."""
        if self.fallback and all(host.kind not in self.endpoint_kinds for host in endpoints):
            return ()
        return self.endpoint_kinds

    def __post_init__(self) -> None:
        require(bool(self.endpoint_kinds), f"route {self.name}: at least one kind of host is required")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment, as seen by one gateway."""

    gateway_index: int  # of this gateway, from 0
    gateway_count: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    has_counter: bool
    counter_price: float
    counter_timeout: float
    meter_period: float
    charges_actual_units: bool
    max_units: float
    discovery_mode: DiscoveryMode
    load_report_fields: tuple[str, ...]
    weight_meaning: str  # what a host's weight stands for
    routes: dict[str, Route] = field(default_factory=dict)
    max_customers: int = 0  # customers whose quotas are kept at once; 0: no limit

    def __post_init__(self) -> None:
        require(
            0 <= self.gateway_index < self.gateway_count,
            "index must be at least 0 and less than the number of gateways",
        )
        require(
            self.discovery_mode in tuple(DiscoveryMode), f"unknown discovery mode {self.discovery_mode!r}"
        )
        require(
            not self.has_counter or self.counter_timeout > 0, "the counter requires a timeout greater than 0"
        )
        require(bool(self.classes), "at least one class is required")
        require(self.max_customers >= 0, "max_customers must not be negative")

    def plan_of(self, request: Request) -> Plan:
        """Return the plan that limits a request: its own limit if it has one, or its customer's plan."""
        plan = self.plans[request.plan]
        return (request.limit or plan) if isinstance(request, CustomLimitCheck) else plan
