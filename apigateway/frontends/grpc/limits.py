"""Plans as limits of the rate limit service's messages, and limits that descriptors bring as plans."""

from __future__ import annotations

import functools
from dataclasses import replace
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages

RateLimit = pb.RateLimitResponse.RateLimit

MAX_HITS = 2**32 - 1  # of the messages' 32-bit fields

# Units of a response's limits and their seconds, shortest first.
_RESPONSE_UNITS = (
    (RateLimit.SECOND, 1),
    (RateLimit.MINUTE, 60),
    (RateLimit.HOUR, 3600),
    (RateLimit.DAY, 86400),
)
# Units of descriptors' own limits (envoy/type/v3/ratelimit_unit.proto) and their seconds. Longer ones are not
# taken: no count of them would be known for so long.
_DESCRIPTOR_UNITS_S = {1: 1, 2: 60, 3: 3600, 4: 86400}
# Seconds: a window as long as this is known at the counter for as long as it matters.
_COUNTED_FOR_S = 20.0
# Units, and units a second, that stand for none.
_NO_UNITS = 1e-9
# Relative difference from a whole number up to which a limit is shown as that number.
_WHOLE_TOLERANCE = 1e-6
# Limits whose message is cached: plans, and limits that descriptors bring.
_MAX_CACHED_LIMITS = 1024


@functools.lru_cache(maxsize=_MAX_CACHED_LIMITS)
def limit_message(plan: messages.Plan) -> Any:
    """Return a plan's rate as requests per unit of time: the shortest in which it is nearly whole."""
    limit = RateLimit(name=plan.name)
    for unit, seconds in _RESPONSE_UNITS:
        requests = plan.rate * seconds
        if requests >= 1 and (
            abs(requests - round(requests)) < _WHOLE_TOLERANCE * requests or unit == RateLimit.DAY
        ):
            limit.requests_per_unit = min(round(requests), MAX_HITS)
            limit.unit = unit
            break
    return limit


def descriptor_unit_seconds(unit: int) -> int | None:
    """Return the seconds of a unit of descriptors' own limits; None: it is not taken."""
    return _DESCRIPTOR_UNITS_S.get(unit)


def custom_limit_plan(plan: messages.Plan, hits: int, seconds: float) -> messages.Plan:
    """Return a plan for a limit that a descriptor brings, of `hits` in so many seconds.

    Where the unit is long what may come at once is less, so that its window is one that the counter knows to
    its end. A limit of none is a plan into which nothing fits.
    """
    rate = hits / seconds if hits else _NO_UNITS
    burst = max(1.0, min(hits, rate * _COUNTED_FOR_S)) if hits else _NO_UNITS
    return replace(
        plan,
        rate=rate,
        burst=burst,
        concurrency_limit=0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
