"""Handling of attempts that end or get no answer: a response, a retry or a hedged request."""

import math

from apigateway.messages import AttemptOutcome, AttemptResult, CancelAttempt
from apigateway.policy import dispatch, selection
from apigateway.policy.endpoint_pool import TICK_S
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState
from apigateway.routing import floor_units

# What a retry after these results costs, in retries of the budget. After other results it costs 1.
RETRY_COSTS = {AttemptResult.CONNECT_FAILED: 0.0, AttemptResult.REJECTED: 0.2}
# Results after which a request may queue for another endpoint.
REQUEUED_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED, AttemptResult.RESET)


def on_outcome(state: GatewayState, event: AttemptOutcome) -> None:
    """Handle the outcome of an attempt: finish, retry or reject its request."""
    pending = state.pending.get(event.request_id)
    if pending is None:
        state.pool.record_outcome(state.now, event, None, ("host",))
        return
    state.pool.record_outcome(state.now, event, pending.service_class.name, pending.fault_scope)
    pending.end_attempt(event.attempt, event.may_have_executed)
    is_charged = state.settings.charges_actual_units and pending.plan.rate and not pending.is_over_quota
    if event.actual_units and is_charged:
        pending.quota.unreported_units += floor_units(event.actual_units) - pending.request.units
    if event.is_final:
        state.finish(pending)
    elif not pending.in_flight:
        _retry(state, pending, event.result)


def _retry(state: GatewayState, pending: PendingRequest, result: AttemptResult) -> None:
    budget = state.retry_budget
    cost = RETRY_COSTS.get(result, 1.0)
    response_time = max(TICK_S, state.pool.response_times[pending.service_class.name].mean)
    is_late = state.now + response_time > pending.deadline or result == AttemptResult.ABANDONED
    if is_late or budget.retries < cost:
        state.reject(pending)
    elif dispatch.send(state, pending):
        budget.retries -= cost
    elif result in REQUEUED_RESULTS and dispatch.can_queue(state, pending):
        # All endpoints are busy. A request that was rejected or lost can wait for one. A request that got an
        # error or no answer has had its time at an endpoint, and in an overload would take that of other
        # requests.
        budget.retries -= cost
        state.queue.add(pending)
        state.schedule_check(pending.arrived_at + dispatch.max_queue_time(pending), pending)
    else:
        state.reject(pending)


def on_attempt_timeout(state: GatewayState, pending: PendingRequest) -> None:
    """Handle a request whose attempt has had no answer for its timeout."""
    now = state.now
    silence_threshold = state.pool.attempt_timeout(pending.service_class.name) - TICK_S
    silent_attempts = pending.overdue_attempts(now, silence_threshold)
    for number in pending.mark_timed_out(silent_attempts):
        attempt_key = pending.request.request_id, number
        state.pool.record_silence(
            now, pending.in_flight[number].endpoint_id, pending.fault_scope, attempt_key
        )
    times = state.pool.response_times[pending.service_class.name]
    # One of many gateways sees too few responses to tell a silent endpoint from a slow one, and the work of a
    # slow attempt that is given up is done twice. So a retry waits until there is just enough time left for
    # an answer within the objective.
    objective_time = min(pending.arrived_at + pending.service_class.latency_objective, pending.deadline)
    retry_at = objective_time - times.mean - times.deviation
    next_check_at = min(now + times.deviation, retry_at if now < retry_at else math.inf)
    state.schedule_check(max(now + 2 * TICK_S, next_check_at), pending)
    if now >= retry_at - TICK_S:
        _give_up(state, pending, silent_attempts)


def _give_up(state: GatewayState, pending: PendingRequest, silent_attempts: list[int]) -> None:
    given_up = pending.mark_given_up(silent_attempts)
    # An attempt is rarely this late at a healthy endpoint. With few gateways, each one sends to all endpoints
    # and detects silent endpoints fast enough without this.
    for number in given_up if len(state.pool.subset) < len(state.pool.available) else ():
        state.pool.record_silence(state.now, pending.in_flight[number].endpoint_id, pending.fault_scope)
    limits = state.settings.limits
    may_cancel = limits.can_cancel and pending.attempt_count < limits.max_attempts
    is_unsafe = pending.service_class.is_unsafe
    if not silent_attempts or len(pending.in_flight) > 1 or is_unsafe or state.retry_budget.retries < 1.0:
        return
    if limits.can_hedge:
        state.retry_budget.retries -= dispatch.send(state, pending)
    elif not state.pool.has_spare_capacity():
        return  # all are slow: another endpoint would take as long, and the work of this one would be lost
    elif may_cancel and selection.select_endpoint(state, pending):
        # The outcome of the cancelled attempt starts the next attempt.
        state.actions.append(CancelAttempt(pending.request.request_id, silent_attempts[0]))
