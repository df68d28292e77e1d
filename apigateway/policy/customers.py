"""The set of customer quotas that the gateway keeps: those in use and those of recent requests."""

import itertools

from apigateway import messages
from apigateway.policy import quota_leasing
from apigateway.policy.counter_health import SECONDARY_CALL_BENEFIT
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.state import GatewayState

MIN_IDLE_S = 30.0  # shortest time for which a quota is kept after its customer's last request
# Oldest quotas that are checked at each request. A request adds at most one, so they do not pile up.
QUOTAS_CHECKED_PER_REQUEST = 4
# An evicted quota with fewer unreported units is dropped without a report. A call for each customer that
# comes only once would flood the counter.
MIN_REPORTED_UNITS = 2.0
ROUNDING_UNITS = 1e-4  # a ceiling that lacks fewer units counts as full


def acquire_quota(
    state: GatewayState, request: messages.Request, plan: messages.Plan
) -> CustomerQuota | None:
    """Return the quota of the request's customer, or a new one; None if all kept quotas are in use."""
    quota = state.quotas.pop(request.customer, None)
    if quota is None:
        if 0 < state.settings.max_customers <= len(state.quotas) and not _evict_one(state):
            return None
        refill_until = min(state.now, state.draining_since)
        quota = CustomerQuota(request, plan, state.started_at, refill_until, state.rng)
        quota.is_usage_known = not state.evicted_customers.may_contain(state.now, request.customer)
    else:
        if request.gateway_spread > quota.gateway_count:
            quota.increase_gateway_count(request.gateway_spread)
        if plan is not quota.plan:
            quota.follow_plan(plan, state.started_at, state.now)
    _mark_recently_used(state, quota)
    if state.now - next(iter(state.quotas.values())).last_request_at > MIN_IDLE_S:
        _drop_idle(state)
    return quota


def _mark_recently_used(state: GatewayState, quota: CustomerQuota) -> None:
    state.quotas[quota.customer] = quota
    quota.last_request_at = state.now


def _drop_idle(state: GatewayState) -> None:
    """Drop idle quotas whose windows are over: they hold no more information than new quotas would."""
    for quota in list(itertools.islice(state.quotas.values(), QUOTAS_CHECKED_PER_REQUEST)):
        lifetime = max(MIN_IDLE_S, 3 * quota.window_length, quota.ceiling.fill_time)
        if state.now - quota.last_request_at <= lifetime:
            return
        del state.quotas[quota.customer]
        if quota.is_in_use:
            _mark_recently_used(state, quota)


def _evict_one(state: GatewayState) -> bool:
    """Evict an old quota that is not in use, and return whether there was one.

    Its ceiling must be full, so that a new quota's ceiling is not fuller. The overdraft of the window is
    lost: a customer that is evicted in every window gets up to twice its rate.
    """
    for quota in list(itertools.islice(state.quotas.values(), QUOTAS_CHECKED_PER_REQUEST)):
        del state.quotas[quota.customer]
        tokens = quota.ceiling.available(min(state.now, state.draining_since))
        if quota.is_in_use or tokens < quota.ceiling.capacity - ROUNDING_UNITS:
            _mark_recently_used(state, quota)
            continue
        quota.advance_window(state.now)
        if quota.rate:
            state.evicted_customers.add(state.now, quota.customer)
        if state.may_call(SECONDARY_CALL_BENEFIT) and quota.unreported_units >= MIN_REPORTED_UNITS:
            quota_leasing.correct_count(state, quota, quota.unreported_units)
        return True
    return False
