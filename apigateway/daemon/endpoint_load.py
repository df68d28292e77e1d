"""Explain the load that the decision module assumes at an endpoint: from what, and how old, for operators."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from apigateway.policy.endpoint_pool import EndpointPool
from apigateway.routing.load_estimate import REPORT_HALF_LIFE_S

_DIGITS = 3  # after the point, of the figures in the status
_LOAD_DIGITS = 2


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """An endpoint's load, as the selection counts it now.

    Attributes:
        is_in_subset: Whether it is in this gateway's subset.
        attempts_out: This gateway's own attempts there.
        load: Requests held there: the own attempts, and the others' by its last load report, and for what
            the report's age leaves open by the mean of all reports.
        report_weight: The report's part in that, 1 when it is fresh.
        report_age_s: The report's age; None: there is none.
        success_probability: How far the endpoint is trusted, 0 to 1.
        backoff_scopes: What is not sent there for a moment, after failures.
    """

    is_in_subset: bool
    attempts_out: int
    load: float
    report_weight: float
    report_age_s: float | None
    success_probability: float
    backoff_scopes: list[str]

    def as_json(self) -> dict[str, Any]:
        """Return it as JSON, whose keys are read by operators' scripts."""
        return {
            "near": self.is_in_subset,
            "out": self.attempts_out,
            "load": round(self.load, _LOAD_DIGITS),
            "told": round(self.report_weight, _DIGITS),
            "age": round(self.report_age_s, _DIGITS) if self.report_age_s is not None else None,
            "sound": round(self.success_probability, _DIGITS),
            "rests": self.backoff_scopes,
        }


def assumed_load(pool: EndpointPool, endpoint_id: str, now: float) -> EndpointLoad | None:
    """Return the load assumed at an endpoint at Unix time `now`; None: the pool does not know it."""
    endpoint = pool.endpoints.get(endpoint_id)
    if endpoint is None:
        return None
    report_age_s = now - endpoint.reported_at
    is_reported = report_age_s < math.inf
    report_weight = 0.5 ** (report_age_s / REPORT_HALF_LIFE_S) if is_reported else 0.0
    load_of_others = report_weight * endpoint.reported_load + (1 - report_weight) * pool.mean_load()
    attempts_out = len(endpoint.attempts_in_flight)
    return EndpointLoad(
        is_in_subset=endpoint.in_subset,
        attempts_out=attempts_out,
        load=attempts_out + load_of_others,
        report_weight=report_weight,
        report_age_s=report_age_s if is_reported else None,
        success_probability=pool.health.outliers.success_probability(endpoint_id, ("host",), now),
        backoff_scopes=[scope for scope, until in endpoint.backoff.pauses() if until > now],
    )
