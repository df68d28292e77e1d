"""Dispatch of admitted requests to endpoints: at once or from the queue."""

from functools import partial

from apigateway import messages
from apigateway.policy import ceiling, selection
from apigateway.policy.endpoint_pool import TICK_S
from apigateway.policy.pending_queue import PendingRequest, Stage
from apigateway.policy.state import GatewayState

MAX_QUEUE_TIME_SHARE = 0.5  # of the latency objective; time that a request may wait for its first endpoint
RETRIES_PER_REQUEST = 0.1  # added to the retry budget by each first attempt, so faults do not multiply load
SPARE_RETRIES_PER_REQUEST = 0.3  # the same while the endpoints have spare capacity
MIN_QUEUE_LENGTH = 4  # requests that may always wait


def try_over_quota(state: GatewayState, pending: PendingRequest, wait: float = 0.0) -> None:
    """Forward a request beyond its quota if that is profitable and there is spare capacity, or reject it."""
    is_profitable = pending.plan.over_quota_weight > pending.plan.over_quota_cost
    if is_profitable and state.pool.has_spare_capacity() and not state.queue.waiting_count:
        pending.is_over_quota = True
        dispatch(state, pending)
    else:
        state.reject(pending, wait, is_over_limit=True)


def dispatch(state: GatewayState, pending: PendingRequest) -> None:
    """Take tokens from the customer's ceiling, then grant a check, or forward or queue a request."""
    request = pending.request
    wait = ceiling.wait_time(state, pending)
    if wait > ceiling.max_wait(state, pending):
        state.reject(pending, is_over_limit=True)
    elif wait > 0:
        pending.quota.ceiling.waiting_units += request.units
        pending.stage = Stage.CEILING
        # At least TICK_S: a check that is due at once would be repeated for ever.
        state.schedule_check(state.now + max(TICK_S, wait), pending)
    else:
        ceiling.charge(pending)
        if request.is_check:
            state.grant(pending)
        elif (
            state.queue.waiting_count
            or not state.pool.has_any_capacity(state.now)
            or not send(state, pending)
        ):
            _enqueue_new(state, pending)


def _enqueue_new(state: GatewayState, pending: PendingRequest) -> None:
    state.queue.add(pending)
    objective = pending.service_class.latency_objective
    max_queue_time_s = MAX_QUEUE_TIME_SHARE * objective
    max_length = max(MIN_QUEUE_LENGTH, state.pool.queue_drain_rate(state.now) * max_queue_time_s)
    if state.queue.waiting_count > max_length and (lowest := state.queue.lowest_priority()) is not None:
        state.reject(lowest)
    drain_queue(state)
    if pending.stage == Stage.QUEUE and not pending.done:
        state.schedule_check(pending.arrived_at + max_queue_time(pending), pending)


def max_queue_time(pending: PendingRequest) -> float:
    """Return the seconds after its arrival for which a request may wait; a retry may wait longer."""
    objective = pending.service_class.latency_objective
    # After half of the time to the deadline, a rejection would come too late for the client.
    useful_time = min(objective, (pending.deadline - pending.arrived_at) / 2)
    return useful_time if pending.attempt_count else MAX_QUEUE_TIME_SHARE * objective


def can_queue(state: GatewayState, pending: PendingRequest) -> bool:
    """Return whether a request whose attempt has failed may queue for another endpoint."""
    is_late = state.now >= pending.arrived_at + max_queue_time(pending)
    if is_late or pending.is_streaming or pending.attempt_count >= state.settings.limits.max_attempts:
        return False
    return any(selection.is_eligible(state, pending, endpoint) for endpoint in state.pool.available)


def send(state: GatewayState, pending: PendingRequest) -> bool:
    """Send an attempt if an endpoint is available, and return whether it was sent."""
    limits = state.settings.limits
    may_send = limits.can_hedge or not pending.in_flight
    if not may_send or pending.is_streaming or pending.attempt_count >= limits.max_attempts:
        return False
    endpoint = selection.select_endpoint(state, pending)
    if endpoint is None:
        return False
    state.actions.append(messages.ForwardRequest(pending.request.request_id, endpoint.host.id))
    number = pending.begin_attempt(endpoint.host.id, state.now)
    pending.stage = Stage.SENT
    state.pool.record_sent(endpoint, (pending.request.request_id, number), state.now)
    state.schedule_check(state.now + state.pool.attempt_timeout(pending.service_class.name), pending)
    if number == 0:
        has_spare = state.pool.has_spare_capacity()
        state.retry_budget.deposit(SPARE_RETRIES_PER_REQUEST if has_spare else RETRIES_PER_REQUEST)
    return True


def drain_queue(state: GatewayState) -> None:
    """Send queued requests while endpoints have capacity."""
    if not state.queue.waiting_count:
        return
    if state.pool.has_any_capacity(state.now):
        state.queue.drain(partial(send, state))
    if state.queue.waiting_count and state.pool.next_backoff_end <= state.now:
        state.pool.update_next_backoff_end(state.now)  # when a backoff ends there may be no other event
