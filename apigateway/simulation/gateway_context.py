"""State that the parts of a simulated gateway share with each other and with the other gateways."""

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

CONNECT_TIMEOUT_S = 0.25  # for establishing a connection
CONNECT_REFUSED_DELAY_S = 0.0005  # until a gateway notices that a connection is refused


class HealthCheckKey(NamedTuple):
    """Identifies a health check."""

    endpoint_id: str
    started_at: float


@dataclass(slots=True)
class Environment:
    """State that all gateways of a simulation share.

    Attributes:
        hosts: All hosts by endpoint id, including dead ones.
        counter_timeout: Timeout of a call to the counter, in seconds.
        finished_health_checks: Health checks that have a result other than a timeout.
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
    """State that the parts of one gateway share.

    Attributes:
        dispatch: Passes an event to the decision module and executes its actions.
        incarnation: Number of starts of the gateway; callbacks of earlier incarnations are ignored.
        known_endpoints: The endpoint list that this gateway knows; kept when it restarts.
        draining_since: By endpoint id, when the gateway learned that the host drains or is down.
        in_flight: Its accepted requests by id.
    """

    environment: Environment
    index: int
    location: Location
    dispatch: Callable[[messages.Event], None]
    incarnation: int = 0
    known_endpoints: dict[str, messages.Endpoint] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)

    def remove_if_finished(self, request: InFlightRequest) -> None:
        """Remove a request that is answered and has no active attempt."""
        if request.is_answered and not request.active_attempts:
            self.in_flight.pop(request.request_id, None)
