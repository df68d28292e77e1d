"""The ceiling of a customer: an even part of a token bucket, which no failure can pass."""

import math

from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState

MAX_WAIT = 0.3  # share of the latency objective that a request may wait for the ceiling to fill
THIN_PART = 4.0  # units of an even part, below which it may: it fills slowly, and requests come in bunches


def wait_time(state: GatewayState, pending: PendingRequest) -> float:
    """Return the seconds until the ceiling has room for the request; inf: never."""
    ceiling = pending.quota.ceiling
    fills_until = min(state.now, state.draining_since)
    return ceiling.wait_time(fills_until, pending.request.units, pending.request.is_prepaid)


def max_wait(state: GatewayState, pending: PendingRequest) -> float:
    """Return how long it may wait: no time if it is a check, or while another process fills this part."""
    is_thin = pending.plan.ceiling_burst < THIN_PART * pending.quota.gateway_count
    may_wait = is_thin and not pending.request.is_check and state.draining_since == math.inf
    return MAX_WAIT * pending.service_class.latency_objective if may_wait else 0.0
