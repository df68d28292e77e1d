"""What the decision module takes each host's load for, from what, and how old: for `api-gateway hosts`."""

from __future__ import annotations

from typing import Any

from apigateway.policy.endpoint_pool import REPORT_AGE, EndpointPool


def taken_for(fleet: EndpointPool, host: str, now: float) -> dict[str, Any]:
    """`near`: in this gateway's subset. `load`: requests held there, as a choice counts them now: `out` of
    this gateway's own, the others by the host's last report, `age` seconds old, and the mean of all reports
    for the rest (`told`: the part of the report in it, 1 when it is fresh). `sound`: how far the host is
    trusted, 0 to 1; `rests`: what is not sent there for a moment, after failures. Empty: not known."""
    server = fleet.endpoints.get(host)
    if server is None:
        return {}
    age = now - server.reported_at
    known = age < float("inf")
    told = 0.5 ** (age / REPORT_AGE) if known else 0.0
    load = len(server.attempts_out) + told * server.reported_load + (1 - told) * fleet.mean_load()
    rests = [scope for scope, until in server.backoff.pauses() if until > now]
    return {
        "near": server.in_subset,
        "out": len(server.attempts_out),
        "load": round(load, 2),
        "told": round(told, 3),
        "age": round(age, 3) if known else None,
        "sound": round(fleet.doubt.sound(host, ("host",), now), 3),
        "rests": rests,
    }
