"""Reads the load reports of endpoints, which may contain different fields."""

from __future__ import annotations

from collections.abc import Mapping


def requests_held(report: Mapping[str, float], concurrency: float) -> float:
    """Return the number of requests at an endpoint.

    Args:
        report: `inflight`, or else `queue` (requests) and `util` (0 to 1); absent fields count as 0.
        concurrency: requests that a fully utilised endpoint processes concurrently.
    """
    in_flight = report.get("inflight")
    if in_flight is not None:
        return in_flight
    processing = concurrency * report.get("util", 0.0)
    return report.get("queue", 0.0) + processing
