"""The concurrency limit of a plan: the attempts of a customer in flight over all gateways."""

from functools import partial

from apigateway.messages import CounterCallResult, CounterResult
from apigateway.policy import dispatch
from apigateway.policy.counter_health import SECONDARY_CALL_BENEFIT
from apigateway.policy.pending_queue import LOCAL_SLOT, PendingRequest, Stage
from apigateway.policy.state import SLOT_EPOCH_S, GatewayState
from apigateway.routing import poisson_tail_probability

MIN_RATE_WINDOW_SHARE = 0.25  # of a quota window; shortest time over which a customer's rate is measured


def acquire_slot(state: GatewayState, pending: PendingRequest, may_call_counter: bool = True) -> None:
    """Take one of this gateway's slots, or ask the counter for a shared slot if that is worth a call."""
    quota = pending.quota
    limit = pending.plan.concurrency_limit
    pending.stage = Stage.SLOT
    if pending.request.is_check or not limit:
        dispatch.dispatch(state, pending)
        return
    local_slots, shared_slots = divmod(limit, quota.gateway_count)
    full_probability = _probability_all_slots_used(state, pending)
    cost = max(0.0, pending.plan.over_quota_cost - pending.plan.over_quota_weight)
    if quota.local_slots_used < local_slots:
        pending.slot = LOCAL_SLOT
        quota.local_slots_used += 1
    elif (
        shared_slots
        and may_call_counter
        and state.may_call(max(full_probability, SECONDARY_CALL_BENEFIT) * cost)
    ):
        epoch = int(state.now / SLOT_EPOCH_S) + 1
        state.add_to_slot_count(quota.customer, epoch, 1, partial(_on_slot_counted, state, pending, epoch))
        state.schedule_check(pending.deadline, pending)
        return
    elif limit >= quota.gateway_count or full_probability * cost >= 1 - full_probability:
        dispatch.try_over_quota(state, pending)
        return
    dispatch.dispatch(state, pending)


def _probability_all_slots_used(state: GatewayState, pending: PendingRequest) -> float:
    """Estimate the probability that all slots are in use, from the rate and response time (Little's law)."""
    quota = pending.quota
    span = max(state.now - quota.window_start, quota.window_length * MIN_RATE_WINDOW_SHARE)
    unit_rate = max(quota.total_units, quota.used_units) / span
    request_rate = min(unit_rate, pending.plan.rate or unit_rate) / max(pending.request.units, 1e-9)
    response_time = state.pool.response_times[pending.service_class.name].mean
    return poisson_tail_probability(pending.plan.concurrency_limit, request_rate * response_time)


def _on_slot_counted(state: GatewayState, pending: PendingRequest, epoch: int, event: CounterResult) -> None:
    quota = pending.quota
    is_counted = event.result == CounterCallResult.OK
    is_full = is_counted and event.total > pending.plan.concurrency_limit % quota.gateway_count
    if is_counted and (pending.done or is_full):
        state.add_to_slot_count(quota.customer, epoch, -1)
    if is_full and not pending.done:
        dispatch.try_over_quota(state, pending)
    elif is_counted and not pending.done:
        pending.slot = epoch
        dispatch.dispatch(state, pending)
    elif not pending.done:
        acquire_slot(state, pending, may_call_counter=False)
