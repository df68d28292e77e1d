"""The endpoints that may get attempts, with their availability, load and health."""

import math
import random
from functools import partial

from apigateway import messages, routing
from apigateway.messages import AttemptOutcome, AttemptResult
from apigateway.policy.endpoint import EndpointState

TICK_S = 0.02  # longest delay of a check on a pending request; far below any latency objective
SMOOTHING_WEIGHT = 0.05  # of a new observation in a mean
FAST_SMOOTHING_WEIGHT = 0.15  # the same where a change must show within a few observations
# An endpoint that is gone is remembered for this time: longer than any attempt or retry on it matters.
GONE_RETENTION_S = 30.0
CONGESTED_REQUESTS = 5.0  # at an endpoint; above this it holds more requests than it can process efficiently
CONGESTION_SPAN_S = 1.5  # over which the share of answers from congested endpoints is measured
CONGESTION_TRUST_S = 1.0  # time without an answer after which that share decays
MAX_CONGESTION_WEIGHT = 0.5  # of one answer after a long silence
SHEDDING_CONGESTION = 0.5  # share of answers from congested endpoints above which load is shed
MAX_ATTEMPTS_PER_ENDPOINT = 4.0  # in flight, over all gateways
SPARE_LOAD_SHARE = 0.6  # of MAX_ATTEMPTS_PER_ENDPOINT; below this load there is spare capacity
# Attempts in flight that one gateway may have, as a multiple of an equal share: traffic is uneven.
MAX_IN_FLIGHT_MULTIPLE = 2.0
MIN_MAX_IN_FLIGHT = 20.0  # attempts in flight that any gateway may have
ENDPOINT_CONCURRENCY = 2.0  # requests that an endpoint processes at once, unless its load report says more
RESUMPTION_S = 0.1  # after a pause of the process, in which the requests that came in it arrive
SEND_RATE_SPAN_S = 3.0  # over which own attempts are counted
TIMEOUT_DEVIATIONS = 4.0  # mean deviations above the mean response time, after which an attempt is silent
SLOW_START_SHARE = 0.6  # of the load that an endpoint in slow start withstands; the rest is for random bursts
CROSS_ZONE_WEIGHT = 10.0  # mean response times that saving one unit of the cross-zone price is worth

AttemptKey = tuple[str, int]  # request ID and attempt number
Scope = tuple[str, ...]  # a FaultScope or a part of one


class EndpointPool(routing.SubsetIndex[EndpointState]):
    """All known endpoints, and the subset to which this gateway sends."""

    def __init__(self, settings: messages.Settings, rng: random.Random) -> None:
        super().__init__(settings.gateway_index, settings.gateway_count)
        self.settings = settings
        self.rng = rng
        self.endpoints = routing.EndpointTable[EndpointState]()
        self.health = routing.EndpointHealth[EndpointState]()
        classes = settings.classes.values()
        priors = {
            service_class.name: min(service_class.latency_objective / 5, service_class.deadline)
            for service_class in classes
        }
        self.response_times = routing.ResponseTimes(priors, SMOOTHING_WEIGHT)
        self.send_rate = routing.EventRate(SEND_RATE_SPAN_S)
        self.capacity = routing.CapacityEstimator(MAX_ATTEMPTS_PER_ENDPOINT)
        self.congestion = routing.DecayingMean(
            CONGESTION_SPAN_S, FAST_SMOOTHING_WEIGHT / 2, MAX_CONGESTION_WEIGHT
        )
        self.reported_mean_load: float | None = None  # None: no load report has arrived
        self.resumed_at = -math.inf  # end of the latest time without an event, or pause
        self.equal_share = 1.0  # attempts in flight, of those that all endpoints may have
        self.max_attempts_in_flight = 2.0  # of this gateway, over all endpoints
        self.max_weight = 1.0
        self.next_backoff_end = 0.0  # time at which the next backoff ends, for queued requests
        # Selections and skipped draws, by reason.
        self.choice_counts = dict.fromkeys(("report", "mean", "doubted", "busy", "barred", "outside"), 0)

    def update_endpoints(self, now: float, event: messages.EndpointList) -> None:
        """Apply an update of the endpoint list, and remove endpoints that have been gone for a long time."""
        self.endpoints.apply_list(now, event.endpoints, event.is_complete, partial(self._create, now))
        for endpoint in self.endpoints.gone_longer_than(now, GONE_RETENTION_S):
            if not endpoint.attempts_in_flight:
                del self.endpoints[endpoint.host.id]
                self.health.outliers.remove_host(endpoint.host.id)
        self.update_available(now)

    def _create(self, now: float, host: messages.Endpoint, old: EndpointState | None) -> EndpointState:
        return EndpointState(host, now, self.rng.random(), old.attempts_in_flight if old else {})

    def update_available(self, now: float) -> None:
        """Update the available endpoints and their limits, from the list and the evacuated zones."""
        up = sorted(
            (endpoint for endpoint in self.endpoints.values() if endpoint.is_up),
            key=lambda endpoint: endpoint.ring_position,
        )
        self.available = [
            endpoint for endpoint in up if endpoint.host.zone not in self.health.zone_health.evacuated
        ] or up
        max_held_requests = MAX_ATTEMPTS_PER_ENDPOINT * self.capacity.scale  # over all gateways
        price = self.settings.prices.get("cross_zone", 0.0)
        share_per_endpoint = max(1.0, max_held_requests / self.settings.gateway_count)
        for endpoint in self.endpoints.values():
            endpoint.scores = {}
            endpoint.max_attempts_in_flight = int(share_per_endpoint + endpoint.rounding_draw)
            endpoint.cross_zone_cost = price * CROSS_ZONE_WEIGHT * (endpoint.host.zone != self.settings.zone)
        self.rebuild_subset(self.endpoints.values(), self.send_rate.rate_at(now))
        self.health.set_available(self.available)
        self.max_weight = max((endpoint.host.weight for endpoint in self.available), default=1.0) or 1.0
        # Gateways that each have one attempt at every endpoint would overload them, so a gateway's total is
        # limited as well.
        self.equal_share = max_held_requests * len(self.available) / self.settings.gateway_count
        self.max_attempts_in_flight = max(MIN_MAX_IN_FLIGHT, MAX_IN_FLIGHT_MULTIPLE * self.equal_share)

    def mean_load(self) -> float:
        """Return the mean number of requests at an endpoint, from load reports or else from own attempts."""
        own_mean = self.attempts_in_flight * self.settings.gateway_count / max(1, len(self.available))
        return own_mean if self.reported_mean_load is None else self.reported_mean_load

    def has_spare_capacity(self) -> bool:
        """Return whether endpoints have capacity for optional work."""
        return self.mean_load() < SPARE_LOAD_SHARE * MAX_ATTEMPTS_PER_ENDPOINT * self.capacity.scale

    def queue_drain_rate(self, now: float) -> float:
        """Return the requests per second that can leave the queue.

        That many as were sent lately. After a pause of the process, all requests that came in it arrive at
        once, and endpoints with spare capacity can process more. A pause cannot be told from a time in which
        nothing came.
        """
        send_rate = self.send_rate.rate_at(now)
        if now >= self.resumed_at + RESUMPTION_S or not self.has_spare_capacity():
            return send_rate
        return max(send_rate, self.equal_share / max(TICK_S, self.response_times.typical))

    def is_congested(self, now: float) -> bool:
        """Return whether most answers come from congested endpoints."""
        return self.congestion.value_at(now, CONGESTION_TRUST_S) > SHEDDING_CONGESTION

    def attempt_timeout(self, class_name: str) -> float:
        """Return the seconds without an answer after which an attempt counts as silent."""
        times = self.response_times[class_name]
        return max(TICK_S, times.mean + TIMEOUT_DEVIATIONS * times.deviation)

    def has_capacity(self, endpoint: EndpointState, now: float, scope: Scope = ("host",)) -> bool:
        """Return whether an endpoint may get another attempt now."""
        is_full = (
            self.attempts_in_flight >= self.max_attempts_in_flight
            or len(endpoint.attempts_in_flight) >= endpoint.max_attempts_in_flight
        )
        backoff = endpoint.backoff
        if not endpoint.is_up or is_full or (backoff.failures and backoff.is_paused(scope, now)):
            return False
        return not endpoint.host.started_at or self._has_slow_start_token(endpoint, now)

    def _has_slow_start_token(self, endpoint: EndpointState, now: float) -> bool:
        """Refill the endpoint's slow-start tokens, and return whether one is available.

        An endpoint in slow start fails when all gateways together send more than it withstands.
        """
        rules = self.settings.rules
        factor = endpoint.slow_start_factor(now, rules)
        if factor == 1.0:
            return True
        # When all endpoints are in slow start or nothing has been sent yet, the send rate of this gateway is
        # too low to be a measure. The capacity of one core is assumed instead.
        single_core_rate = 1 / self.response_times.typical / self.settings.gateway_count
        share = max(self.send_rate.rate_at(now) / max(1, len(self.subset)), single_core_rate)
        rate = factor * rules.overload_multiple * SLOW_START_SHARE * share
        return endpoint.slow_start_tokens.refill(now, rate, max(1.0, rate * rules.overload_duration)) >= 1.0

    def has_any_capacity(self, now: float) -> bool:
        """Return whether any endpoint of the subset may get an attempt now."""
        if now < self.no_capacity_until or self.attempts_in_flight >= self.max_attempts_in_flight:
            return False
        if any(self.has_capacity(endpoint, now) for endpoint in self.subset_with_capacity):
            return True
        backoff_end = min((end for _, end in self.health.pause_ends(now)), default=math.inf)
        self.no_capacity_until = min(now + TICK_S / 2, backoff_end)
        return False

    def update_next_backoff_end(self, now: float) -> None:
        """Update the time at which the next backoff of an endpoint ends; the queue is then drained."""
        ends = (end for endpoint, end in self.health.pause_ends(now) if endpoint.is_up)
        self.next_backoff_end = min(ends, default=0.0)

    def record_sent(self, endpoint: EndpointState, key: AttemptKey, now: float) -> None:
        """Record an attempt that is sent to an endpoint."""
        self.add_attempt(endpoint, key, now)
        endpoint.slow_start_tokens.take()
        rate = self.send_rate.observe(now)
        if self.is_too_small(rate):
            self.rebuild_subset(self.endpoints.values(), rate)

    def record_silence(
        self, now: float, endpoint_id: str, scope: Scope, key: AttemptKey | None = None
    ) -> None:
        """Record a failure of an endpoint that does not answer; `key`: an attempt to remove from its load."""
        endpoint = self.endpoints[endpoint_id]
        if key is not None:  # the attempt no longer uses capacity
            self.remove_attempt(endpoint, key)
            self.health.zone_health.record_no_answer(endpoint.host.zone, endpoint_id, now)
        self.health.outliers.record(endpoint_id, scope, True, now)
        endpoint.scores.clear()

    def record_outcome(self, now: float, event: AttemptOutcome, class_name: str | None, scope: Scope) -> None:
        """Record the outcome of an attempt; `class_name` is None if the request is already finished."""
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None:  # it was removed after GONE_RETENTION_S
            return
        own_attempts = len(endpoint.attempts_in_flight)
        self.remove_attempt(endpoint, (event.request_id, event.attempt))
        is_congested = event.result == AttemptResult.TIMEOUT
        if event.load_report:
            held_requests = routing.requests_held(event.load_report, ENDPOINT_CONCURRENCY)
            endpoint.record_report(now, held_requests, own_attempts)
            mean = held_requests if self.reported_mean_load is None else self.reported_mean_load
            self.reported_mean_load = mean + FAST_SMOOTHING_WEIGHT * (held_requests - mean)
            if self.capacity.observe(event.load_report):
                self.update_available(now)
            is_congested = held_requests > CONGESTED_REQUESTS * self.capacity.scale
        if event.is_health_signal:
            self.health.on_result(endpoint, event.result, scope, now)
            endpoint.scores.clear()
        if event.load_report or event.result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.congestion.observe(now, is_congested)
        if event.result == AttemptResult.OK and class_name is not None:
            ratio = self.response_times.observe(class_name, event.elapsed)
            endpoint.response_time_ratio += FAST_SMOOTHING_WEIGHT * (ratio - endpoint.response_time_ratio)
