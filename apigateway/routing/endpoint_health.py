"""The health of endpoints from the results of attempts: outliers, unreachable zones, failure backoff."""

from __future__ import annotations

from collections.abc import Collection, Hashable, Iterator
from typing import Generic, Protocol, TypeVar

from apigateway.messages import AttemptResult, Endpoint
from apigateway.routing.failure_backoff import FailureBackoff
from apigateway.routing.outlier_detection import OutlierDetector
from apigateway.routing.zone_health import ZoneHealth


class TrackedEndpoint(Hashable, Protocol):
    """An endpoint whose health is tracked."""

    host: Endpoint
    backoff: FailureBackoff


Item = TypeVar("Item", bound=TrackedEndpoint)


class EndpointHealth(Generic[Item]):
    """The health of all endpoints.

    A `scope` argument lists the fault scopes of one kind of request, widest first.
    """

    def __init__(self) -> None:
        self.outliers = OutlierDetector()
        self.zone_health = ZoneHealth()
        self.failing: set[Item] = set()  # endpoints that have failed since their last success

    def set_available(self, endpoints: Collection[Item]) -> None:
        """Set the endpoints that may receive requests."""
        self.zone_health.set_listed_zones([endpoint.host.zone for endpoint in endpoints])
        self.failing = {endpoint for endpoint in endpoints if endpoint.backoff}

    def on_result(self, endpoint: Item, result: AttemptResult, scope: tuple[str, ...], now: float) -> None:
        """Record the result of an attempt that shows whether the endpoint works."""
        if result == AttemptResult.CONNECT_FAILED:  # not evidence about a class or a plan
            scope = scope[:1]
        self.zone_health.on_result(endpoint.host.zone, endpoint.host.id, result, now)
        self.outliers.record(endpoint.host.id, scope, result != AttemptResult.OK, now)
        if result == AttemptResult.OK:
            endpoint.backoff.on_success(scope[:2])
        else:
            endpoint.backoff.on_failure(scope[:2][-1], now)
        if endpoint.backoff:
            self.failing.add(endpoint)
        else:
            self.failing.discard(endpoint)

    def success_probability(self, endpoint: Item, scope: tuple[str, ...], now: float) -> float:
        """Return the probability that the endpoint serves the request, from its own health and its zone's."""
        probability = self.outliers.success_probability(endpoint.host.id, scope, now)
        if self.zone_health.suspect_count:
            probability *= self.zone_health.traffic_share(endpoint.host.zone, now)
        return probability

    def pause_ends(self, now: float) -> Iterator[tuple[Item, float]]:
        """Iterate over paused endpoints and the ends of their pauses."""
        return (
            (endpoint, end) for endpoint in self.failing for _, end in endpoint.backoff.pauses() if end > now
        )
