"""How a request that may be forwarded gets an endpoint: at once, from the queue, or not at all."""

from functools import partial

from apigateway import messages
from apigateway.policy import ceiling, selection
from apigateway.policy.endpoint_pool import TICK
from apigateway.policy.pending_queue import PendingRequest, Stage
from apigateway.policy.state import GatewayState

MAX_QUEUE_TIME = 0.5  # share of the latency objective that a request may wait for its first endpoint
RETRIES_PER_REQUEST = 0.1  # that a first attempt allows for: faults do not multiply the load
RETRIES_WHILE_SPARE = 0.3  # likewise, while the endpoints have spare capacity
MIN_QUEUE_LENGTH = 4  # requests that may always wait


def try_over_quota(state: GatewayState, pending: PendingRequest, wait: float = 0.0) -> None:
    """Forward a request beyond its quota if that pays and harms nobody; else reject it."""
    pays = pending.plan.over_quota_weight > pending.plan.over_quota_cost
    if pays and state.pool.has_spare_capacity() and not state.queue.waiting_count:
        pending.is_over_quota = True
        dispatch(state, pending)
    else:
        state.reject(pending, wait, is_over_limit=True)


def dispatch(state: GatewayState, pending: PendingRequest) -> None:
    """Spend the customer's ceiling, then forward the request, let it wait, or grant it if it is a check."""
    request = pending.request
    wait = ceiling.wait_time(state, pending)
    if wait > ceiling.max_wait(state, pending):
        state.reject(pending, is_over_limit=True)
    elif wait > 0:
        pending.quota.ceiling.waiting_units += request.units
        pending.stage = Stage.CEILING
        state.schedule_check(state.now + max(TICK, wait), pending)  # one due at once would come for ever
    else:
        pending.quota.ceiling.charge(request.units, request.is_prepaid, request.is_reservation)
        if request.is_check:
            state.grant(pending)
        elif state.queue.waiting_count or not state.pool.any_capacity(state.now) or not send(state, pending):
            _enqueue_new(state, pending)


def _enqueue_new(state: GatewayState, pending: PendingRequest) -> None:
    state.queue.add(pending)
    objective = pending.service_class.latency_objective
    max_length = max(MIN_QUEUE_LENGTH, state.pool.send_rate.rate_at(state.now) * MAX_QUEUE_TIME * objective)
    if state.queue.waiting_count > max_length and (lowest := state.queue.lowest_priority()) is not None:
        state.reject(lowest)
    drain_queue(state)
    if pending.stage == Stage.QUEUE and not pending.done:
        state.schedule_check(pending.arrived_at + max_queue_time(pending), pending)


def max_queue_time(pending: PendingRequest) -> float:
    """Return how long after its arrival a request may wait for an endpoint: a repeat while that is of use."""
    objective = pending.service_class.latency_objective
    useful_time = min(objective, (pending.deadline - pending.arrived_at) / 2)  # then a rejection comes late
    return useful_time if pending.attempt_count else MAX_QUEUE_TIME * objective


def can_queue(state: GatewayState, pending: PendingRequest) -> bool:
    """Return whether a request whose attempt has failed may wait for another endpoint."""
    is_late = state.now >= pending.arrived_at + max_queue_time(pending)
    if is_late or pending.is_streaming or pending.attempt_count >= state.settings.limits.max_attempts:
        return False
    return any(selection.is_eligible(state, pending, endpoint) for endpoint in state.pool.available)


def send(state: GatewayState, pending: PendingRequest) -> bool:
    """Make an attempt if there is an endpoint for it, and return whether there was."""
    limits = state.settings.limits
    is_alone = limits.can_hedge or not pending.in_flight
    if not is_alone or pending.is_streaming or pending.attempt_count >= limits.max_attempts:
        return False
    endpoint = selection.select_endpoint(state, pending)
    if endpoint is None:
        return False
    state.actions.append(messages.ForwardRequest(pending.request.request_id, endpoint.host.id))
    number = pending.begin_attempt(endpoint.host.id, state.now)
    pending.stage = Stage.SENT
    state.pool.on_sent(endpoint, (pending.request.request_id, number), state.now)
    state.schedule_check(state.now + state.pool.attempt_timeout(pending.service_class.name), pending)
    if number == 0:
        is_spare = state.pool.has_spare_capacity()
        state.retry_budget.deposit(RETRIES_WHILE_SPARE if is_spare else RETRIES_PER_REQUEST)
    return True


def drain_queue(state: GatewayState) -> None:
    """Send what waits, as far as there are endpoints."""
    if not state.queue.waiting_count:
        return
    if state.pool.any_capacity(state.now):
        state.queue.drain(partial(send, state))
    if state.queue.waiting_count and state.pool.next_trial_at <= state.now:
        state.pool.schedule_trial(state.now)  # no other event may come at a pause's end
