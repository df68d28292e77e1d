"""What the decision module takes each host's load for, from what, and how old: for `api-gateway hosts`."""

from __future__ import annotations

from typing import Any

from apigateway.policy.endpoint_pool import EndpointPool
from apigateway.routing.load_estimate import REPORT_HALF_LIFE


def taken_for(pool: EndpointPool, host: str, now: float) -> dict[str, Any]:
    """`near`: in this gateway's subset. `load`: requests held there, as a choice counts them now: `out` of
    this gateway's own, the others by the host's last report, `age` seconds old, and the mean of all reports
    for the rest (`told`: the part of the report in it, 1 when it is fresh). `sound`: how far the host is
    trusted, 0 to 1; `rests`: what is not sent there for a moment, after failures. Empty: not known."""
    endpoint = pool.endpoints.get(host)
    if endpoint is None:
        return {}
    age = now - endpoint.reported_at
    is_reported = age < float("inf")
    report_weight = 0.5 ** (age / REPORT_HALF_LIFE) if is_reported else 0.0
    others = report_weight * endpoint.reported_load + (1 - report_weight) * pool.mean_load()
    rests = [scope for scope, until in endpoint.backoff.pauses() if until > now]
    return {
        "near": endpoint.in_subset,
        "out": len(endpoint.attempts_out),
        "load": round(len(endpoint.attempts_out) + others, 2),
        "told": round(report_weight, 3),
        "age": round(age, 3) if is_reported else None,
        "sound": round(pool.health.outliers.success_probability(host, ("host",), now), 3),
        "rests": rests,
    }
