"""What follows the outcome of an attempt, or its silence: a response, a retry, a hedged request."""

import math

from apigateway.messages import AttemptOutcome, AttemptResult, CancelAttempt
from apigateway.policy import dispatch, selection
from apigateway.policy.endpoint_pool import TICK
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState

RETRY_COSTS = {AttemptResult.CONNECT_FAILED: 0.0, AttemptResult.REJECTED: 0.2}  # if not 1
QUEUED = (AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED, AttemptResult.RESET)  # may wait after these


def on_outcome(state: GatewayState, event: AttemptOutcome) -> None:
    """Take up the outcome of an attempt."""
    pending = state.pending.get(event.request_id)
    if pending is None:
        state.pool.on_outcome(state.now, event, None, ("host",))
        return
    state.pool.on_outcome(state.now, event, pending.service_class.name, pending.fault_scope)
    pending.end_attempt(event.attempt, event.may_have_executed)
    is_settled = state.settings.charges_actual_units and pending.plan.rate and not pending.is_over_quota
    if event.actual_units and is_settled:
        pending.quota.unreported_units += event.actual_units - pending.request.units
    if event.is_final:
        state.finish(pending)
    elif not pending.in_flight:
        _retry(state, pending, event.result)


def _retry(state: GatewayState, pending: PendingRequest, result: AttemptResult) -> None:
    budget = state.retry_budget
    cost = RETRY_COSTS.get(result, 1.0)
    response_time = max(TICK, state.pool.response_times[pending.service_class.name].mean)
    is_late = state.now + response_time > pending.deadline or result == AttemptResult.ABANDONED
    if is_late or budget.retries < cost:
        state.reject(pending)
    elif dispatch.send(state, pending):
        budget.retries -= cost
    elif result in QUEUED and dispatch.can_queue(state, pending):
        # All are busy: no reason to give up what was refused or lost. What was silent or erred has had its
        # time at an endpoint, and in overload would take that of others.
        budget.retries -= cost
        state.queue.add(pending)
        state.schedule_check(pending.arrived_at + dispatch.max_queue_time(pending), pending)
    else:
        state.reject(pending)


def on_attempt_timeout(state: GatewayState, pending: PendingRequest) -> None:
    """Take up that an attempt has had no answer for long."""
    now = state.now
    patience = state.pool.attempt_timeout(pending.service_class.name) - TICK
    silent = pending.overdue_attempts(now, patience)
    for number in pending.mark_timed_out(silent):
        attempt_key = pending.request.request_id, number
        state.pool.on_silence(now, pending.in_flight[number].endpoint_id, pending.fault_scope, attempt_key)
    times = state.pool.response_times[pending.service_class.name]
    # Each of many gateways knows too little to tell silent from slow, and a slow attempt given up has its
    # work done twice: a retry waits until it has just time to be answered within the objective.
    objective_at = min(pending.arrived_at + pending.service_class.latency_objective, pending.deadline)
    retry_at = objective_at - times.mean - times.deviation
    next_look_at = min(now + times.deviation, retry_at if now < retry_at else math.inf)
    state.schedule_check(max(now + 2 * TICK, next_look_at), pending)
    if now >= retry_at - TICK:
        _give_up(state, pending, silent)


def _give_up(state: GatewayState, pending: PendingRequest, silent: list[int]) -> None:
    given_up = pending.mark_given_up(silent)
    # Hardly any is so late at a sound endpoint; where few gateways share all, they learn fast as it is.
    for number in given_up if len(state.pool.subset) < len(state.pool.available) else ():
        state.pool.on_silence(state.now, pending.in_flight[number].endpoint_id, pending.fault_scope)
    limits = state.settings.limits
    may_cancel = limits.can_cancel and pending.attempt_count < limits.max_attempts
    is_unsafe = pending.service_class.is_unsafe
    if not silent or len(pending.in_flight) > 1 or is_unsafe or state.retry_budget.retries < 1.0:
        return
    if limits.can_hedge:
        state.retry_budget.retries -= dispatch.send(state, pending)
    elif not state.pool.has_spare_capacity():
        return  # all are slow: another endpoint would take as long, and the work done at this one is lost
    elif may_cancel and selection.select_endpoint(state, pending):
        # The outcome of this attempt starts the next one.
        state.actions.append(CancelAttempt(pending.request.request_id, silent[0]))
