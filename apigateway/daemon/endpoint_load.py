"""Report to operators the load that the decision module assumes at an endpoint, and where it comes from."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from apigateway.policy.endpoint_pool import EndpointPool
from apigateway.routing.load_estimate import REPORT_HALF_LIFE_S

# Decimal places in the status.
_DECIMALS = 3
_LOAD_DECIMALS = 2


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load that endpoint selection assumes at an endpoint.

    Attributes:
        is_in_subset: Whether the endpoint is in this gateway's subset.
        attempts_in_flight: This gateway's attempts in flight at the endpoint.
        load: Estimated requests at the endpoint: this gateway's attempts plus the load from other gateways.
            The latter is a weighted mean of the endpoint's last load report and the mean of all reports.
        report_weight: The weight of the load report in that mean: 1 for a fresh report, falling with its age.
        report_age_s: The age of the load report; None if there is none.
        success_probability: The estimated probability that an attempt succeeds, 0 to 1.
        backoff_scopes: Scopes that are in backoff after failures: nothing in them is sent there for now.
    """

    is_in_subset: bool
    attempts_in_flight: int
    load: float
    report_weight: float
    report_age_s: float | None
    success_probability: float
    backoff_scopes: list[str]

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form; its keys must not change, since operators' scripts read them."""
        return {
            "near": self.is_in_subset,
            "out": self.attempts_in_flight,
            "load": round(self.load, _LOAD_DECIMALS),
            "told": round(self.report_weight, _DECIMALS),
            "age": round(self.report_age_s, _DECIMALS) if self.report_age_s is not None else None,
            "sound": round(self.success_probability, _DECIMALS),
            "rests": self.backoff_scopes,
        }


def assumed_load(pool: EndpointPool, endpoint_id: str, now: float) -> EndpointLoad | None:
    """Return the load assumed at an endpoint at Unix time `now`; None if the pool does not have it."""
    endpoint = pool.endpoints.get(endpoint_id)
    if endpoint is None:
        return None
    report_age_s = now - endpoint.reported_at
    has_report = report_age_s < math.inf
    report_weight = 0.5 ** (report_age_s / REPORT_HALF_LIFE_S) if has_report else 0.0
    load_of_others = report_weight * endpoint.reported_load + (1 - report_weight) * pool.mean_load()
    attempts_in_flight = len(endpoint.attempts_in_flight)
    return EndpointLoad(
        is_in_subset=endpoint.in_subset,
        attempts_in_flight=attempts_in_flight,
        load=attempts_in_flight + load_of_others,
        report_weight=report_weight,
        report_age_s=report_age_s if has_report else None,
        success_probability=pool.health.outliers.success_probability(endpoint_id, ("host",), now),
        backoff_scopes=[scope for scope, until in endpoint.backoff.pauses() if until > now],
    )
