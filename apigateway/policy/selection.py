"""Selection of the endpoint for an attempt: the least costly of a few that the request may go to."""

import math

from apigateway.policy.endpoint import EndpointScore, EndpointState
from apigateway.policy.endpoint_pool import ENDPOINT_CONCURRENCY, TICK_S
from apigateway.policy.pending_queue import PendingRequest
from apigateway.policy.state import GatewayState
from apigateway.routing import FaultScope

MAX_COMPARED = 12  # endpoints up to which all are compared; of more endpoints, some are drawn at random
MAX_CANDIDATES = 6  # endpoints drawn at random; the best of more would not be better
MIN_CANDIDATES = 2
CANDIDATE_RATIO = 4.0  # candidates per (endpoints / gateways): about as many have fresh load reports
MAX_DRAWS = 40  # random draws before all endpoints are checked
SCORE_LIFETIME_S = 0.05  # a score changes slowly and is reused for this time, unless an event clears it
MIN_RESPONSE_TIME_RATIO = 0.3  # lower limit of an endpoint's response time divided by the mean of all
FRESH_REPORT_WEIGHT = 0.5  # weight of a load report above which a choice is counted as based on it

Endpoints = list[EndpointState]


def is_eligible(state: GatewayState, pending: PendingRequest, endpoint: EndpointState) -> bool:
    """Return whether the request may go to this endpoint, given its route and its possible executions."""
    is_off_route = pending.allowed_kinds and endpoint.host.kind not in pending.allowed_kinds
    if is_off_route or endpoint.host.id in pending.tried_endpoint_ids:
        return False
    service_class = pending.service_class
    executions = pending.possible_executions()
    if not executions or service_class.is_safe:
        return True
    arrival_time = max(TICK_S, state.settings.limits.connect_timeout)  # at most, for an attempt sent now
    discarded_until = min(attempt.sent_at for attempt in executions) + service_class.deduplication_window
    if service_class.is_unsafe or state.now >= discarded_until - arrival_time:
        return False
    others = [state.pool.endpoints.get(attempt.endpoint_id) for attempt in executions]
    scope = service_class.deduplication_scope
    return all(other and endpoint.host.shares_scope(other.host, scope) for other in others)


def select_endpoint(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return the endpoint for the request's next attempt; None if no eligible endpoint has capacity."""
    if state.pool.attempts_in_flight >= state.pool.max_attempts_in_flight:
        return None
    best = _select_in_subset(state, pending)
    return best or (_select_outside_subset(state, pending) if pending.attempt_count else None)


def _select_in_subset(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return the least costly of a few endpoints.

    If all were compared, an old load report would make all gateways choose the same endpoint.
    """
    pool = state.pool
    endpoints = pool.subset_with_capacity if len(pool.available) > MAX_COMPARED else pool.available
    count = max(
        MIN_CANDIDATES, math.ceil(CANDIDATE_RATIO * len(pool.available) / state.settings.gateway_count)
    )
    candidates: Endpoints = []
    if count < len(endpoints) or len(endpoints) > MAX_COMPARED:
        candidates = _sample_candidates(state, pending, endpoints, min(count, MAX_CANDIDATES))
    if not candidates:
        candidates = [
            endpoint for endpoint in endpoints if pool.has_capacity(endpoint, state.now, pending.fault_scope)
        ]
        if pending.tried_endpoint_ids or pending.allowed_kinds:
            candidates = [endpoint for endpoint in candidates if is_eligible(state, pending, endpoint)]
    return _least_costly(state, pending.fault_scope, candidates)


def _sample_candidates(
    state: GatewayState, pending: PendingRequest, endpoints: Endpoints, count: int
) -> Endpoints:
    """Draw eligible endpoints at random, weighted by host weight, health and slow start."""
    pool = state.pool
    random = state.rng.random
    scope = pending.fault_scope
    candidates: Endpoints = []
    for _ in range(MAX_DRAWS):
        endpoint = endpoints[int(random() * len(endpoints))]
        if random() >= _selection_weight(state, scope, endpoint):
            pool.choice_counts["doubted"] += 1
        elif not pool.has_capacity(endpoint, state.now, scope):
            pool.choice_counts["busy"] += 1
        elif (pending.tried_endpoint_ids or pending.allowed_kinds) and not is_eligible(
            state, pending, endpoint
        ):
            pool.choice_counts["barred"] += 1
        else:
            candidates.append(endpoint)
            if len(candidates) == count:
                break
    return candidates


def _least_costly(state: GatewayState, scope: FaultScope, endpoints: Endpoints) -> EndpointState | None:
    pool = state.pool
    now = state.now
    random = state.rng.random
    mean_load = pool.mean_load()
    best = None
    least_cost = math.inf
    for endpoint in endpoints:
        score = endpoint.scores.get(scope)
        if score is None or now >= score.valid_until:
            score = _score(state, scope, endpoint)
        load = endpoint.load(now, mean_load)
        cost = score.cost * (1 + load / ENDPOINT_CONCURRENCY) + endpoint.cross_zone_cost + TICK_S * random()
        if cost < least_cost:
            best = endpoint
            least_cost = cost
    if best is not None:
        pool.choice_counts["report" if best.report_weight > FRESH_REPORT_WEIGHT else "mean"] += 1
    return best


def _score(state: GatewayState, scope: FaultScope, endpoint: EndpointState) -> EndpointScore:
    health = state.pool.health.success_probability(endpoint, scope, state.now)
    cost = (
        max(endpoint.response_time_ratio, MIN_RESPONSE_TIME_RATIO)
        / max(endpoint.host.weight, 1e-9)
        / max(health, 0.01)
    )
    score = endpoint.scores[scope] = EndpointScore(state.now + SCORE_LIFETIME_S, health, cost)
    return score


def _selection_weight(state: GatewayState, scope: FaultScope, endpoint: EndpointState) -> float:
    score = endpoint.scores.get(scope)
    if score is None or state.now >= score.valid_until:
        score = _score(state, scope, endpoint)
    factor = endpoint.slow_start_factor(state.now, state.settings.rules) if endpoint.host.started_at else 1.0
    return endpoint.host.weight / state.pool.max_weight * score.health * factor


def _select_outside_subset(state: GatewayState, pending: PendingRequest) -> EndpointState | None:
    """Return any eligible endpoint outside the subset.

    A retry may be restricted to one cell, and all endpoints of the subset may fail.
    """
    pool = state.pool
    size = len(pool.available)
    if len(pool.subset) == size:
        return None
    first = int(state.rng.random() * size)
    for offset in range(size):
        endpoint = pool.available[(first + offset) % size]
        has_capacity = not endpoint.in_subset and pool.has_capacity(endpoint, state.now, pending.fault_scope)
        if has_capacity and is_eligible(state, pending, endpoint):
            pool.choice_counts["outside"] += 1
            return endpoint
    return None
