"""Which endpoint gets an attempt: what the request's idempotency allows, then the best of some."""

import math

from apigateway.policy.endpoint import EndpointScore, EndpointState
from apigateway.policy.endpoint_pool import ENDPOINT_CONCURRENCY, TICK
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState
from apigateway.routing import FaultScope

MAX_COMPARED = 12  # endpoints that are all compared; of more, some are drawn
MAX_CANDIDATES = 6  # drawn: the best of so many is as good as the best of more
MIN_CANDIDATES = 2
CHOICES = 4.0  # candidates, times endpoints over gateways: as many as there are fresh reports for
MAX_DRAWS = 40  # before all are looked at
SCORE_LIFE = 0.05  # s that what decays slowly is taken for the same, unless an event changed it
MIN_TIME_RATIO = 0.3  # of a response time to the mean of all
FRESH_WEIGHT = 0.5  # of a load report, above which a choice counts as made by it

Endpoints = list[EndpointState]


def is_eligible(state: GatewayState, pending: PendingRequest, endpoint: EndpointState) -> bool:
    """Return whether the request may go to this endpoint, by its route and by what may have executed it."""
    is_off_route = pending.allowed_kinds and endpoint.host.kind not in pending.allowed_kinds
    if is_off_route or endpoint.host.id in pending.tried_endpoint_ids:
        return False
    service_class = pending.service_class
    unproven = pending.possible_executions()
    if not unproven or service_class.is_safe:
        return True
    arrival_time = max(TICK, state.settings.limits.connect_timeout)  # of an attempt that is sent now, at most
    discarded_until = min(attempt.sent_at for attempt in unproven) + service_class.deduplication_window
    if service_class.is_unsafe or state.now >= discarded_until - arrival_time:
        return False
    others = [state.pool.endpoints.get(attempt.endpoint_id) for attempt in unproven]
    scope = service_class.deduplication_scope
    return all(other and endpoint.host.shares_scope(other.host, scope) for other in others)


def select_endpoint(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return the endpoint for the request's next attempt; None: there is none with capacity."""
    if state.pool.attempts_in_flight >= state.pool.max_out:
        return None
    best = _select_in_subset(state, pending)
    return best or (_select_outside_subset(state, pending) if pending.attempt_count else None)


def _select_in_subset(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return the least costly of a few: the best of all by an old report is the same one for all gateways."""
    pool = state.pool
    endpoints = pool.subset_with_capacity if len(pool.available) > MAX_COMPARED else pool.available
    count = max(MIN_CANDIDATES, math.ceil(CHOICES * len(pool.available) / state.settings.gateway_count))
    candidates: Endpoints = []
    if count < len(endpoints) or len(endpoints) > MAX_COMPARED:
        candidates = _draw(state, pending, endpoints, min(count, MAX_CANDIDATES))
    if not candidates:
        candidates = [one for one in endpoints if pool.has_capacity(one, state.now, pending.fault_scope)]
        if pending.tried_endpoint_ids or pending.allowed_kinds:
            candidates = [one for one in candidates if is_eligible(state, pending, one)]
    return _least_costly(state, pending.fault_scope, candidates)


def _draw(state: GatewayState, pending: PendingRequest, endpoints: Endpoints, count: int) -> Endpoints:
    """Draw endpoints that fit, each as likely as its weight, health and slow start say."""
    pool = state.pool
    draw = state.rng.random
    scope = pending.fault_scope
    drawn: Endpoints = []
    for _ in range(MAX_DRAWS):
        endpoint = endpoints[int(draw() * len(endpoints))]
        if draw() >= _selection_weight(state, scope, endpoint):
            pool.choice_counts["doubted"] += 1
        elif not pool.has_capacity(endpoint, state.now, scope):
            pool.choice_counts["busy"] += 1
        elif (pending.tried_endpoint_ids or pending.allowed_kinds) and not is_eligible(
            state, pending, endpoint
        ):
            pool.choice_counts["barred"] += 1
        else:
            drawn.append(endpoint)
            if len(drawn) == count:
                break
    return drawn


def _least_costly(state: GatewayState, scope: FaultScope, endpoints: Endpoints) -> EndpointState | None:
    pool = state.pool
    now = state.now
    draw = state.rng.random
    mean_load = pool.mean_load()
    best = None
    least_cost = math.inf
    for endpoint in endpoints:
        score = endpoint.scores.get(scope)
        if score is None or now >= score.valid_until:
            score = _score(state, scope, endpoint)
        load = endpoint.load(now, mean_load)
        cost = score.cost * (1 + load / ENDPOINT_CONCURRENCY) + endpoint.zone_cost + TICK * draw()
        if cost < least_cost:
            best = endpoint
            least_cost = cost
    if best is not None:
        pool.choice_counts["report" if best.report_weight > FRESH_WEIGHT else "mean"] += 1
    return best


def _score(state: GatewayState, scope: FaultScope, endpoint: EndpointState) -> EndpointScore:
    health = state.pool.health.success_probability(endpoint, scope, state.now)
    cost = max(endpoint.time_ratio, MIN_TIME_RATIO) / max(endpoint.host.weight, 1e-9) / max(health, 0.01)
    score = endpoint.scores[scope] = EndpointScore(state.now + SCORE_LIFE, health, cost)
    return score


def _selection_weight(state: GatewayState, scope: FaultScope, endpoint: EndpointState) -> float:
    score = endpoint.scores.get(scope)
    if score is None or state.now >= score.valid_until:
        score = _score(state, scope, endpoint)
    factor = endpoint.slow_start_factor(state.now, state.settings.rules) if endpoint.host.started_at else 1.0
    return endpoint.host.weight / state.pool.max_weight * score.health * factor


def _select_outside_subset(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return any endpoint beyond the subset: a retry may be for one cell, or all of the subset fail."""
    pool = state.pool
    size = len(pool.available)
    if len(pool.subset) == size:
        return None
    first = int(state.rng.random() * size)
    for step in range(size):
        endpoint = pool.available[(first + step) % size]
        has_capacity = not endpoint.in_subset and pool.has_capacity(endpoint, state.now, pending.fault_scope)
        if has_capacity and is_eligible(state, pending, endpoint):
            pool.choice_counts["outside"] += 1
            return endpoint
    return None
