"""Convert plans to the limits in rate limit responses, and limits in descriptors to plans."""

from __future__ import annotations

import functools
from dataclasses import replace
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages

RateLimit = pb.RateLimitResponse.RateLimit

MAX_HITS = 2**32 - 1  # the maximum of the 32-bit fields in the messages

# Time units of limits in responses, with their seconds, shortest first.
_RESPONSE_UNITS = (
    (RateLimit.SECOND, 1),
    (RateLimit.MINUTE, 60),
    (RateLimit.HOUR, 3600),
    (RateLimit.DAY, 86400),
)
# Time units of limits in descriptors (envoy/type/v3/ratelimit_unit.proto), with their seconds. Longer units
# are not supported, because counts are not kept for that long.
_DESCRIPTOR_UNITS_S = {1: 1, 2: 60, 3: 3600, 4: 86400}
# Longest window of a limit in a descriptor, unless its burst would be less than 1. A total is needed for
# three windows, and the counter keeps it for at most 60 s.
_MAX_CUSTOM_WINDOW_S = 20.0
# Burst in units, and rate in units per second, of a limit that grants nothing.
_ZERO_LIMIT_UNITS = 1e-9
# Relative tolerance within which a limit counts as an integer.
_INTEGER_TOLERANCE = 1e-6
# Cached limit messages, for plans and for limits in descriptors.
_MAX_CACHED_LIMITS = 1024


@functools.lru_cache(maxsize=_MAX_CACHED_LIMITS)
def limit_message(plan: messages.Plan) -> Any:
    """Return the rate of a plan per time unit: the shortest unit that makes it nearly an integer."""
    limit = RateLimit(name=plan.name)
    for unit, seconds in _RESPONSE_UNITS:
        requests = plan.rate * seconds
        if requests >= 1 and (
            abs(requests - round(requests)) < _INTEGER_TOLERANCE * requests or unit == RateLimit.DAY
        ):
            limit.requests_per_unit = min(round(requests), MAX_HITS)
            limit.unit = unit
            break
    return limit


def descriptor_unit_seconds(unit: int) -> int | None:
    """Return the seconds of a time unit of a limit in a descriptor; None if the unit is not supported."""
    return _DESCRIPTOR_UNITS_S.get(unit)


def custom_limit_plan(plan: messages.Plan, hits: int, seconds: float) -> messages.Plan:
    """Return a plan for a limit in a descriptor, of `hits` per `seconds`.

    For a long time unit the burst is reduced, which shortens the window, so that the counter keeps its total
    for as long as it is needed. A limit of 0 becomes a plan too small for any request.
    """
    rate = hits / seconds if hits else _ZERO_LIMIT_UNITS
    burst = max(1.0, min(hits, rate * _MAX_CUSTOM_WINDOW_S)) if hits else _ZERO_LIMIT_UNITS
    return replace(
        plan,
        rate=rate,
        burst=burst,
        concurrency_limit=0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
