"""The concurrency limit of a plan: a customer's open attempts over all gateways."""

from functools import partial

from apigateway.messages import CounterCallResult, CounterResult
from apigateway.policy import dispatch
from apigateway.policy.counter_health import SIDE_CALL_GAIN
from apigateway.policy.pending_queue import OWN_SLOT, PendingRequest, Stage
from apigateway.policy.state import OPEN_EPOCH, GatewayState
from apigateway.routing import poisson_tail_probability

MIN_RATE_SPAN = 0.25  # part of a window, over which a customer's rate is taken at least


def acquire_slot(state: GatewayState, pending: PendingRequest, may_ask: bool = True) -> None:
    """Take one of this gateway's own slots, or ask the counter for a shared one if that is worth a call."""
    quota = pending.quota
    limit = pending.plan.concurrency_limit
    pending.stage = Stage.SLOT
    if pending.request.is_check or not limit:
        dispatch.dispatch(state, pending)
        return
    own_slots, shared_slots = divmod(limit, quota.gateway_count)
    full_odds = _full_odds(state, pending)
    cost = max(0.0, pending.plan.over_quota_cost - pending.plan.over_quota_weight)
    if quota.open_attempts < own_slots:
        pending.slot = OWN_SLOT
        quota.open_attempts += 1
    elif shared_slots and may_ask and state.may_call(max(full_odds, SIDE_CALL_GAIN) * cost):
        epoch = int(state.now / OPEN_EPOCH) + 1
        state.count_slot(quota.name, epoch, 1, partial(_on_slot_counted, state, pending, epoch))
        state.schedule_check(pending.deadline, pending)
        return
    elif limit >= quota.gateway_count or full_odds * cost >= 1 - full_odds:
        dispatch.try_over_quota(state, pending)
        return
    dispatch.dispatch(state, pending)


def _full_odds(state: GatewayState, pending: PendingRequest) -> float:
    """Estimate how likely all slots are taken, by Little's law from the rate and the response time."""
    quota = pending.quota
    span = max(state.now - quota.window_start, quota.window_length * MIN_RATE_SPAN)
    unit_rate = max(quota.total_units, quota.used_units) / span
    request_rate = min(unit_rate, pending.plan.rate or unit_rate) / max(pending.request.units, 1e-9)
    response_time = state.pool.response_times[pending.service_class.name].mean
    return poisson_tail_probability(pending.plan.concurrency_limit, request_rate * response_time)


def _on_slot_counted(state: GatewayState, pending: PendingRequest, epoch: int, event: CounterResult) -> None:
    quota = pending.quota
    is_counted = event.result == CounterCallResult.OK
    is_full = is_counted and event.total > quota.plan.concurrency_limit % quota.gateway_count
    if is_counted and (pending.done or is_full):
        state.count_slot(quota.name, epoch, -1)
    if is_full and not pending.done:
        dispatch.try_over_quota(state, pending)
    elif is_counted and not pending.done:
        pending.slot = epoch
        dispatch.dispatch(state, pending)
    elif not pending.done:
        acquire_slot(state, pending, may_ask=False)
