"""What the parts of a simulated gateway share with each other and with the rest of the simulation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from apigateway import messages
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.host import SimulatedHost
from apigateway.simulation.in_flight import InFlightRequest
from apigateway.simulation.metrics import Metrics
from apigateway.simulation.network import Location, Network
from apigateway.simulation.quota_counter import QuotaCounter
from apigateway.simulation.rule_checker import RuleChecker

CONNECT_TIMEOUT_S = 0.25  # a connection that is not up by then is given up
CONNECT_REFUSED_S = 0.0005  # until a gateway knows that its connection is refused


class HealthCheckKey(NamedTuple):
    """Names a health check."""

    endpoint_id: str
    started_at: float


@dataclass(slots=True)
class Environment:
    """What all gateways of a simulation share.

    Attributes:
        hosts: All hosts by their endpoints' ids, those that are dead included.
        counter_timeout: Seconds after which a gateway gives up a call of the counter.
        finished_health_checks: Those whose result has been handed over.
    """

    clock: SimulatedClock
    network: Network
    metrics: Metrics
    rule_checker: RuleChecker
    quota_counter: QuotaCounter
    counter_location: Location
    counter_timeout: float
    hosts: dict[str, SimulatedHost] = field(default_factory=dict)
    finished_health_checks: set[HealthCheckKey] = field(default_factory=set)


@dataclass(slots=True)
class GatewayContext:
    """What the parts of one gateway share.

    Attributes:
        dispatch: Hands an event to the decision module and carries out its actions.
        incarnation: Counts the gateway's starts; what was scheduled in an earlier one is void.
        known_endpoints: The endpoint list as this gateway has it, over all incarnations.
        draining_since: When it heard that a host drains or is down.
        in_flight: The requests that it has accepted, by their ids.
    """

    environment: Environment
    index: int
    location: Location
    dispatch: Callable[[messages.Event], None]
    incarnation: int = 0
    known_endpoints: dict[str, messages.Endpoint] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)

    def forget_if_finished(self, request: InFlightRequest) -> None:
        """Forget a request that is answered and has no attempt left."""
        if request.is_answered and not request.active:
            self.in_flight.pop(request.request_id, None)
