"""Units of customers' quotas: leased from the counter before use, or used first and reported later."""

import math
from functools import partial

from apigateway.hashing import stable_hash
from apigateway.messages import CounterCallResult, CounterResult, ReturnUnits
from apigateway.policy import concurrency_limit, dispatch
from apigateway.policy.counter_health import RATIONING_CONGESTION, SECONDARY_CALL_BENEFIT
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.endpoint_pool import TICK_S
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState, OnCounterResult
from apigateway.routing import LedgerEntry, floor_units, round_units

REPORT_THRESHOLD_SHARE = 0.5  # of the local allowance; more unreported units than this are reported
CONGESTION_CALL_COST = 0.3  # cost of a call per squared congestion: it grows as the counter slows down
MAX_REQUESTS_PER_CALL = 4.0  # requests that one call may represent; with more, the shared count would jump
MAX_CALL_RETRIES = 1  # for a request, after calls that were lost with their connections
MIN_OVERUSE_COST = 0.2  # of its priority; lowest cost of a unit beyond quota, which loads shared endpoints


def acquire_units(state: GatewayState, pending: PendingRequest) -> None:
    """Take a request's units, or ask the counter for them if that is worth a call."""
    quota = pending.quota
    quota.advance_window(state.now)
    # A customer far beyond its quota sends this gateway more than an equal share of its rate, so the demand
    # here is a sufficient measure.
    allowed_ratio = quota.demand.observe(state.now, quota.rate / quota.gateway_count)
    pending.grant_probability = (
        allowed_ratio * state.grant_shares[pending.plan.name, pending.request.is_retry].share
    )
    priority = pending.priority / max(state.mean_priority, 1e-9)
    probability = state.counter.call_probability(
        priority * min(pending.grant_probability, _overuse_cost(pending))
    )
    _decide(state, pending, state.rng.random() < probability)
    # A call also represents the requests for which no call is made.
    _renew_lease(state, quota, min(MAX_REQUESTS_PER_CALL, 1 / max(probability, 1e-9)))


def _overuse_cost(pending: PendingRequest) -> float:
    """Return the expected cost of admitting a request without a call, as a share of its priority."""
    cost = pending.plan.over_quota_cost - pending.plan.over_quota_weight
    return (1 - pending.grant_probability) * max(MIN_OVERUSE_COST, cost)


def _decide(state: GatewayState, pending: PendingRequest, may_call_counter: bool) -> None:
    """Admit a request, reject it, forward it beyond its quota, or let it wait for a call to the counter."""
    quota = pending.quota
    units = pending.request.units
    remaining = quota.remaining(state.now)
    spare = remaining - pending.headroom_units - units
    if spare + quota.leased_units >= 0 and _take_units(state, pending, may_call_counter):
        concurrency_limit.acquire_slot(state, pending)
    elif state.now < quota.exhausted_until or spare < 0:
        dispatch.try_over_quota(state, pending, (units - remaining) / quota.rate)
    elif may_call_counter and state.counter.is_usable(state.now):
        quota.waiting_request_ids.append(pending.request.request_id)
        state.schedule_check(state.now + 2 * state.counter.timeout + TICK_S, pending)
    elif quota.has_subunit_share and pending.grant_probability > _overuse_cost(pending):
        # Each gateway's share is less than one request, so the probability of a grant decides. It is low for
        # a customer that comes here often. But while the counter is unavailable, the first requests of all
        # customers are admitted.
        quota.used_units += units
        concurrency_limit.acquire_slot(state, pending)
    else:
        dispatch.try_over_quota(state, pending)


def _take_units(state: GatewayState, pending: PendingRequest, may_call_counter: bool) -> bool:
    """Take leased units, or else units of the local allowance, and return whether there were enough."""
    quota = pending.quota
    units = pending.request.units
    is_leased = quota.leased_units >= units
    if not is_leased:
        allowance = (
            quota.local_allowance(state.now, state.counter.consecutive_failures > 0) - quota.unreported_units
        )
        if may_call_counter and not quota.is_usage_known and state.counter.is_usable(state.now):
            allowance = -1.0
        # An allowance of less than one request is rounded at random, once per window, so that the sum over
        # all gateways is right on average.
        if quota.remaining(state.now) < units or allowance < units * (1 - quota.rounding_draw):
            return False
    quota.take(units, is_leased)
    pending.has_taken_units = True
    return True


def _waiting_requests(state: GatewayState, quota: CustomerQuota) -> list[PendingRequest]:
    return [
        state.pending[request_id] for request_id in quota.waiting_request_ids if request_id in state.pending
    ]


def _can_use_whole_units_only(quota: CustomerQuota, waiting: list[PendingRequest]) -> bool:
    """Return whether a fraction of a unit is of no use, neither to a request nor to complete a lease."""
    return quota.leased_units.is_integer() and all(
        float(pending.request.units).is_integer() for pending in waiting
    )


def _renew_lease(state: GatewayState, quota: CustomerQuota, requests_represented: float = 1.0) -> None:
    """Report used units and ask for more if that is due.

    If a call would add nothing, the waiting requests are decided without one. `_decide_waiting` then leaves
    no request waiting and does not call this function again, so the two do not recurse further.

    A request waits only if what remains, less its headroom, and the leased units together suffice for it, so
    the call that is made for it asks for all that it lacks. If the answer denies some of that, no more than
    the headroom remains (less than one unit more if only whole units can be used, and then it lacks at least
    one), and the request does not wait again. Units are exact (routing/units.py), so rounding cannot decide
    this differently. A request therefore waits for two calls at most, one of which was in flight when it
    came, for one more each time that another request takes the units it waits for, and for MAX_CALL_RETRIES
    more if calls fail.

    `requests_represented`: the number of requests that each waiting request represents.
    """
    if quota.has_call_in_flight or not state.counter.is_usable(state.now):
        return
    waiting = _waiting_requests(state, quota)
    needed = sum(pending.request.units for pending in waiting)
    size = quota.lease_size(state.counter.price + CONGESTION_CALL_COST * state.counter.congestion**2)
    remaining = quota.remaining(state.now)
    has_plenty = remaining > size * quota.gateway_count and state.now >= quota.exhausted_until
    is_low = quota.leased_units < size / 2 and has_plenty
    is_due = quota.unreported_units > max(
        1.0, REPORT_THRESHOLD_SHARE * quota.local_allowance(state.now, False)
    )
    if not (needed or is_due or (quota.reported_units and is_low)):
        return
    wanted = max(needed, size) - quota.leased_units if needed else size * is_low
    requested = max(0.0, min(math.ceil(wanted), remaining))
    is_whole = _can_use_whole_units_only(quota, waiting)
    if is_whole:
        requested = float(int(requested))
    if requested + quota.unreported_units <= 0:
        _decide_waiting(state, quota, may_call_counter=False)
        return
    entry = quota.begin_call(requested, needed * (requests_represented - 1), is_whole)
    _add_to_count(state, quota, entry, partial(_on_counted, state, quota, entry))


def correct_count(state: GatewayState, quota: CustomerQuota, units: float) -> None:
    """Add missing units to the shared count, or subtract surplus units if `units` is negative."""
    entry = quota.new_entry(units)
    _add_to_count(state, quota, entry, partial(_on_correction_counted, quota, entry))


def _add_to_count(
    state: GatewayState, quota: CustomerQuota, entry: LedgerEntry, on_result: OnCounterResult
) -> None:
    key = stable_hash(quota.customer, quota.window_index)
    state.add_to_counter(key, entry.amount, 3 * quota.window_length, on_result)


def _on_counted(state: GatewayState, quota: CustomerQuota, entry: LedgerEntry, event: CounterResult) -> None:
    quota.has_call_in_flight = False
    quota.is_usage_known = True
    quota.advance_window(state.now)
    if quota.is_current(entry):
        if event.result == CounterCallResult.OK:
            _apply_total(state, quota, round_units(event.total), entry)
        else:
            quota.on_call_without_total(event.result, entry)
    if event.result != CounterCallResult.OK:
        for pending in _waiting_requests(state, quota):
            pending.failed_call_count += 1
    _decide_waiting(state, quota)


def _on_correction_counted(quota: CustomerQuota, entry: LedgerEntry, event: CounterResult) -> None:
    if quota.is_current(entry) and not event.was_added:
        quota.reported_units -= entry.amount  # units that were never added must not count as lost later
        quota.unconfirmed_units += entry.amount * (event.result == CounterCallResult.TIMEOUT)


def _apply_total(state: GatewayState, quota: CustomerQuota, total: float, entry: LedgerEntry) -> None:
    """Apply the total of all gateways: lease the units that it allows, and correct the shared count."""
    limit = quota.window_limit(state.now)
    missing = quota.reconcile_total(total, entry)
    if not quota.has_subunit_share:  # unused units beyond one burst expire
        missing += quota.drop_surplus(total + missing - entry.requested, limit)
    waiting = _waiting_requests(state, quota)
    headroom = min((pending.headroom_units for pending in waiting), default=0.0)
    excess = max(0.0, total + missing + headroom - limit)
    if entry.is_whole:
        excess = math.ceil(excess)
    denied = min(entry.requested, excess)
    quota.on_granted(total, entry, missing, denied)
    needed = sum(pending.request.units for pending in waiting)
    if needed:
        grant_share = state.grant_shares[waiting[0].plan.name, waiting[0].request.is_retry]
        grant_share.observe(needed, min(needed, quota.leased_units))
    # Without this correction the denied units stay counted.
    if state.rng.random() < state.counter.call_probability(SECONDARY_CALL_BENEFIT):
        missing -= denied
    if missing:
        correct_count(state, quota, missing)


def _decide_waiting(state: GatewayState, quota: CustomerQuota, may_call_counter: bool = True) -> None:
    """Decide on the requests that wait for a customer's units, highest priority per unit first.

    Without `may_call_counter` none of them waits again.
    """
    may_call_counter = may_call_counter and state.counter.consecutive_failures == 0
    waiting = _waiting_requests(state, quota)
    quota.waiting_request_ids = []
    for pending in sorted(waiting, key=lambda pending: -pending.priority / max(pending.request.units, 1e-9)):
        remaining = quota.remaining(state.now)
        units = pending.request.units
        if remaining + quota.leased_units < units:
            quota.exhausted_until = state.now + max(0.0, min(1.0, units) - remaining) / quota.rate
            # The congested counter is needed for other customers: make no call until the next window.
            if state.counter.congestion > RATIONING_CONGESTION:
                quota.exhausted_until = quota.window_end
        _decide(state, pending, may_call_counter and pending.failed_call_count <= MAX_CALL_RETRIES)
    if quota.waiting_request_ids:
        _renew_lease(state, quota)


def return_units(state: GatewayState, event: ReturnUnits) -> None:
    """Refund the unused units of a check to the customer's quota and ceiling."""
    quota = state.quotas.get(event.customer)
    if quota is None:  # it was dropped, when its ceiling was full
        return
    plan = state.settings.plans.get(event.plan)
    units = floor_units(event.units)
    if plan is None or plan.rate:
        quota.advance_window(state.now)
        quota.refund(units, event.window_index)
    if plan is None or plan.ceiling_rate:
        quota.ceiling.refund(units, event.is_reservation)
