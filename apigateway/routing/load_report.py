"""What an endpoint's load report says, whichever of the fields it has."""

from __future__ import annotations

from collections.abc import Mapping


def requests_held(report: Mapping[str, float], concurrency: float) -> float:
    """Return the requests that an endpoint holds.

    Args:
        report: its fields: `inflight`, or else `queue` (requests) and `util` (0 to 1), each if it is there.
        concurrency: requests that an endpoint works on at once when it is fully utilised.
    """
    held = report.get("inflight")
    if held is not None:
        return held
    busy = concurrency * report.get("util", 0.0)
    return report.get("queue", 0.0) + busy
