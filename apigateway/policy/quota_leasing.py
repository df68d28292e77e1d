"""Units of customers' quotas: leased from the counter ahead of use, or used and reported later."""

import math
from functools import partial

from apigateway.hashing import stable_hash
from apigateway.messages import CounterCallResult, CounterResult, ReturnUnits
from apigateway.policy import concurrency_limit, dispatch
from apigateway.policy.counter_health import RATIONED_CONGESTION, SIDE_CALL_GAIN
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.endpoint_pool import TICK
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState, OnResult
from apigateway.routing import LedgerEntry

REPORTED_PART = 0.5  # part of the local allowance that is used, after which it is reported
CALL_TIME_COST = 0.3  # cost of a call, times the squared congestion: it grows as the counter slows
MAX_SAMPLE = 4.0  # requests that one which asks stands for at most: more makes the count jump
MIN_LOAD_COST = 0.2  # least cost of a unit forwarded beyond quota, in its priority: it loads what all share


def acquire_units(state: GatewayState, pending: PendingRequest) -> None:
    """Take a request's units, or ask the counter for them if that is worth a call."""
    quota = pending.quota
    quota.advance_window(state.now)
    # Of one far beyond its quota a gateway hears more than an even part, so its demand here tells enough.
    odds = quota.demand.observe(state.now, quota.rate / quota.gateway_count)
    pending.grant_odds = odds * state.grant_shares[pending.plan.name, pending.request.is_retry].share
    priority = pending.priority / max(state.mean_priority, 1e-9)
    probability = state.counter.call_probability(priority * min(pending.grant_odds, _overuse_cost(pending)))
    _decide(state, pending, state.rng.random() < probability)
    _renew_lease(state, quota, min(MAX_SAMPLE, 1 / max(probability, 1e-9)))  # for those unasked too


def _overuse_cost(pending: PendingRequest) -> float:
    """Return what it costs in the mean to let a request in, as a part of its priority."""
    cost = pending.plan.over_quota_cost - pending.plan.over_quota_weight
    return (1 - pending.grant_odds) * max(MIN_LOAD_COST, cost)


def _decide(state: GatewayState, pending: PendingRequest, may_ask: bool) -> None:
    quota = pending.quota
    units = pending.request.units
    remaining = quota.remaining(state.now)
    spare = remaining - pending.kept_units - units
    if spare + quota.leased_units >= 0 and _take_units(state, pending, may_ask):
        concurrency_limit.acquire_slot(state, pending)
    elif state.now < quota.exhausted_until or spare < 0:
        dispatch.try_over_quota(state, pending, (units - remaining) / quota.rate)
    elif may_ask and state.counter.is_usable(state.now):
        quota.waiting_ids.append(pending.request.request_id)
        state.schedule_check(state.now + 2 * state.counter.timeout + TICK, pending)
    elif quota.has_subunit_share and pending.grant_odds > _overuse_cost(pending):
        # Each gateway's part is less than a request, so the odds decide: they are against one that comes here
        # often. Harm: while the counter is away first requests of all are let in.
        quota.used_units += units
        concurrency_limit.acquire_slot(state, pending)
    else:
        dispatch.try_over_quota(state, pending)


def _take_units(state: GatewayState, pending: PendingRequest, may_ask: bool) -> bool:
    """Take leased units, or else unleased ones as far as the local allowance goes."""
    quota = pending.quota
    units = pending.request.units
    is_leased = quota.leased_units >= units
    if not is_leased:
        allowance = (
            quota.local_allowance(state.now, state.counter.consecutive_failures > 0) - quota.unreported_units
        )
        if may_ask and not quota.is_known and state.counter.is_usable(state.now):
            allowance = -1.0
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        if quota.remaining(state.now) < units or allowance < units * (1 - quota.rounding_draw):
            return False
    quota.take(units, is_leased)
    return True


def _waiting(state: GatewayState, quota: CustomerQuota) -> list[PendingRequest]:
    return [state.pending[request_id] for request_id in quota.waiting_ids if request_id in state.pending]


def _renew_lease(state: GatewayState, quota: CustomerQuota, sample: float = 1.0) -> None:
    """Report used units and ask for others, if due; `sample`: requests that a waiting one stands for."""
    if quota.has_call_in_flight or not state.counter.is_usable(state.now):
        return
    needed = sum(pending.request.units for pending in _waiting(state, quota))
    size = quota.lease_size(state.counter.price + CALL_TIME_COST * state.counter.congestion**2)
    remaining = quota.remaining(state.now)
    is_plenty = remaining > size * quota.gateway_count and state.now >= quota.exhausted_until
    is_low = quota.leased_units < size / 2 and is_plenty
    is_due = quota.unreported_units > max(1.0, REPORTED_PART * quota.local_allowance(state.now, False))
    if not (needed or is_due or (quota.reported_units and is_low)):
        return
    wanted = max(needed, size) - quota.leased_units if needed else size * is_low
    asked = max(0, int(min(math.ceil(wanted), max(remaining, 0.0))))
    if asked + quota.unreported_units <= 0:
        _decide_waiting(state, quota)
        return
    entry = quota.begin_call(asked, needed * (sample - 1))
    _count(state, quota, entry, partial(_on_counted, state, quota, entry))


def correct_count(state: GatewayState, quota: CustomerQuota, units: float) -> None:
    """Add units to the count that it lacks, or take off some."""
    entry = LedgerEntry(quota.window_index, correction=units)
    _count(state, quota, entry, partial(_on_correction_counted, quota, entry))


def _count(state: GatewayState, quota: CustomerQuota, entry: LedgerEntry, on_result: OnResult) -> None:
    key = stable_hash(quota.name, quota.window_index)
    state.add_to_counter(key, entry.amount, 3 * quota.window_length, on_result)


def _on_counted(state: GatewayState, quota: CustomerQuota, entry: LedgerEntry, event: CounterResult) -> None:
    quota.has_call_in_flight = False
    quota.is_known = True
    quota.advance_window(state.now)
    if entry.window == quota.window_index:
        if event.result == CounterCallResult.OK:
            _on_total(state, quota, event.total, entry)
        else:
            quota.on_call_without_total(event.result, entry)
    _decide_waiting(state, quota)


def _on_correction_counted(quota: CustomerQuota, entry: LedgerEntry, event: CounterResult) -> None:
    if entry.window == quota.window_index and not event.was_added:
        quota.reported_units -= entry.amount  # else what was never added would be taken for lost
        quota.unconfirmed_units += entry.amount * (event.result == CounterCallResult.TIMEOUT)


def _on_total(state: GatewayState, quota: CustomerQuota, total: float, entry: LedgerEntry) -> None:
    """Take up the total of all gateways, grant what it allows and correct it."""
    limit = quota.window_limit(state.now)
    missing = quota.reconcile_total(total, entry)
    if not quota.has_subunit_share:  # a burst is saved up at most: what a quiet customer did not use is gone
        missing += quota.drop_surplus(total + missing - entry.requested, limit)
    waiting = _waiting(state, quota)
    kept = min((pending.kept_units for pending in waiting), default=0.0)
    denied = min(entry.requested, max(0.0, math.ceil(total + missing + kept - limit)))
    quota.on_granted(total, entry, missing, denied)
    needed = sum(pending.request.units for pending in waiting)
    if needed:
        grant_share = state.grant_shares[quota.plan.name, waiting[0].request.is_retry]
        grant_share.observe(needed, min(needed, quota.leased_units))
    if state.rng.random() < state.counter.call_probability(SIDE_CALL_GAIN):  # else the excess stays counted
        missing -= denied
    if missing:
        correct_count(state, quota, missing)


def _decide_waiting(state: GatewayState, quota: CustomerQuota) -> None:
    """Decide on the requests that wait for a customer's units, those of most priority a unit first."""
    waiting = _waiting(state, quota)
    quota.waiting_ids = []
    for pending in sorted(waiting, key=lambda one: -one.priority / max(one.request.units, 1e-9)):
        remaining = quota.remaining(state.now)
        if remaining + quota.leased_units < pending.request.units:
            quota.exhausted_until = state.now + max(0.0, 1 - remaining) / quota.rate
            if state.counter.congestion > RATIONED_CONGESTION:  # others wait for it: no call until the turn
                quota.exhausted_until = quota.window_end
        _decide(state, pending, state.counter.consecutive_failures == 0)
    if quota.waiting_ids:
        _renew_lease(state, quota)


def return_units(state: GatewayState, event: ReturnUnits) -> None:
    """Give back a check's units that were not used."""
    quota = state.quotas.get(event.customer)
    if quota is None:  # dropped since, and its ceiling was full then
        return
    quota.advance_window(state.now)
    quota.refund(event.units, event.window_index)
    quota.ceiling.refund(event.units, event.is_reservation)
