"""The ceiling of a customer. Every gateway holds an equal share of it, so no failure can exceed it."""

import math

from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState

MAX_WAIT_SHARE = 0.3  # of the latency objective; time that a request may wait for tokens
# A request may wait only where the gateway's share of the burst is smaller than this. A small share refills
# slowly, and requests arrive in bursts.
SMALL_SHARE_UNITS = 4.0


def wait_time(state: GatewayState, pending: PendingRequest) -> float:
    """Return the seconds until the ceiling has tokens for the request; inf: never."""
    if not pending.plan.ceiling_rate:
        return 0.0
    ceiling = pending.quota.ceiling
    refill_until = min(state.now, state.draining_since)
    return ceiling.wait_time(refill_until, pending.request.units, pending.request.is_prepaid)


def charge(pending: PendingRequest) -> None:
    """Take or reserve a request's tokens, if its plan has a ceiling."""
    request = pending.request
    if pending.plan.ceiling_rate:
        pending.quota.ceiling.charge(request.units, request.is_prepaid, request.is_reservation)


def max_wait(state: GatewayState, pending: PendingRequest) -> float:
    """Return the seconds that a request may wait for tokens.

    A check may not wait, nor may any request while another process gets the tokens.
    """
    is_small_share = pending.plan.ceiling_burst < SMALL_SHARE_UNITS * pending.quota.gateway_count
    may_wait = is_small_share and not pending.request.is_check and state.draining_since == math.inf
    return MAX_WAIT_SHARE * pending.service_class.latency_objective if may_wait else 0.0
