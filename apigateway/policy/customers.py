"""Which customers' quotas are kept: those that are in use or came lately."""

import itertools

from apigateway import messages
from apigateway.policy import quota_leasing
from apigateway.policy.counter_health import SIDE_CALL_GAIN
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.state import GatewayState

MIN_IDLE = 30.0  # s; a quota is kept at least so long after its customer's last request
CHECKED_PER_REQUEST = 4  # oldest quotas looked at with each request: more than come, so that none pile up
MIN_REPORTED_UNITS = 2.0  # of an evicted quota: a call for each customer that comes once would be a flood
ROUNDING = 1e-4  # units; a ceiling that lacks less is full


def acquire(state: GatewayState, request: messages.Request, plan: messages.Plan) -> CustomerQuota | None:
    """Return the quota of the request's customer, a new one if need be; None: all kept ones are in use."""
    quota = state.quotas.pop(request.customer, None)
    if quota is None:
        if 0 < state.settings.max_customers <= len(state.quotas) and not _evict(state):
            return None
        fills_until = min(state.now, state.draining_since)
        quota = CustomerQuota(request, plan, state.started_at, fills_until, state.rng)
        quota.is_known = not state.evicted.may_contain(state.now, request.customer)
    elif request.gateway_spread > quota.gateway_count:
        quota.widen(request.gateway_spread)
    _move_to_end(state, quota)
    if state.now - next(iter(state.quotas.values())).last_seen_at > MIN_IDLE:
        _drop_idle(state)
    return quota


def _move_to_end(state: GatewayState, quota: CustomerQuota) -> None:
    state.quotas[quota.name] = quota
    quota.last_seen_at = state.now


def _drop_idle(state: GatewayState) -> None:
    """Drop quotas that are past their windows: they tell no more than new ones would."""
    for quota in list(itertools.islice(state.quotas.values(), CHECKED_PER_REQUEST)):
        lifetime = max(MIN_IDLE, 3 * quota.window_length, quota.ceiling.fill_time)
        if state.now - quota.last_seen_at <= lifetime:
            return
        del state.quotas[quota.name]
        if quota.is_in_use:
            _move_to_end(state, quota)


def _evict(state: GatewayState) -> bool:
    """Forget an old quota that is not in use and whose ceiling would not come back fuller, if any."""
    # Harm: its overdraft of a window is lost, so one that is evicted in each has up to twice its rate.
    for quota in list(itertools.islice(state.quotas.values(), CHECKED_PER_REQUEST)):
        del state.quotas[quota.name]
        tokens = quota.ceiling.available(min(state.now, state.draining_since))
        if quota.is_in_use or tokens < quota.ceiling.capacity - ROUNDING:
            _move_to_end(state, quota)
            continue
        quota.advance_window(state.now)
        if quota.rate:
            state.evicted.add(state.now, quota.name)
        if state.may_call(SIDE_CALL_GAIN) and quota.unreported_units >= MIN_REPORTED_UNITS:
            quota_leasing.correct_count(state, quota, quota.unreported_units)
        return True
    return False
