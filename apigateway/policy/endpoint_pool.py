"""The endpoints that may get attempts: which are available, how loaded and how trusted each is."""

import math
import random
from functools import partial

from apigateway import messages, routing
from apigateway.messages import AttemptOutcome, AttemptResult
from apigateway.policy.endpoint import EndpointState

TICK = 0.02  # s; coarsest delay of a check on pending requests; far under any latency objective
GAIN = 0.05  # weight of a new observation in means
QUICK_GAIN = 0.15  # likewise, where a change must show in a few observations
GONE_LIFE = 30.0  # s that an endpoint which is gone is known: longer than any attempt or retry on it matters
CONGESTED_LOAD = 5.0  # requests held at an endpoint, above which it holds more than it works on well
CONGESTION_SPAN = 1.5  # s that the part of answers from congested endpoints is taken over
CONGESTION_LIFE = 1.0  # s without an answer after which it fades
MAX_CONGESTION_GAIN = 0.5  # weight of one answer after a long silence
SHED_CONGESTION = 0.5  # part of answers from congested endpoints that sheds load
MAX_ATTEMPTS_PER_ENDPOINT = 4.0  # attempts out per endpoint over all gateways
SPARE_PART = 0.6  # part of that, below which there is spare capacity
MAX_OUT_SHARE = 2.0  # times its even part of all attempts out that one gateway may have: traffic is uneven
MIN_MAX_OUT = 20.0  # attempts out that any gateway may have
ENDPOINT_CONCURRENCY = 2.0  # requests an endpoint works on at once, when nothing tells more
SEND_RATE_SPAN = 3.0  # s that own attempts are counted over
TIMEOUT_DEVIATIONS = 4.0  # mean deviations above the mean time, after which an attempt is taken for silent
SLOW_START_SHARE = 0.6  # of what an endpoint in slow start bears, the rest is for chance and other bursts
CROSS_ZONE_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price

AttemptKey = tuple[str, int]  # a request's id and the number of its attempt
Scope = tuple[str, ...]  # a FaultScope, or a part of one


class EndpointPool(routing.SubsetIndex[EndpointState]):
    """All endpoints known, and the subset that this gateway sends to."""

    def __init__(self, settings: messages.Settings, rng: random.Random) -> None:
        super().__init__(settings.gateway_index, settings.gateway_count)
        self.settings = settings
        self.rng = rng
        self.endpoints = routing.EndpointTable[EndpointState]()
        self.health = routing.EndpointHealth[EndpointState]()
        classes = settings.classes.values()
        priors = {one.name: min(one.latency_objective / 5, one.deadline) for one in classes}
        self.response_times = routing.ResponseTimes(priors, GAIN)
        self.send_rate = routing.EventRate(SEND_RATE_SPAN)
        self.capacity = routing.CapacityEstimator(MAX_ATTEMPTS_PER_ENDPOINT)
        self.congestion = routing.DecayingMean(CONGESTION_SPAN, QUICK_GAIN / 2, MAX_CONGESTION_GAIN)
        self.reported_mean_load: float | None = None  # None: no report has come
        self.max_out = 2.0  # own attempts out
        self.max_weight = 1.0
        self.next_trial_at = 0.0  # when a pause ends that requests wait for
        self.choice_counts = dict.fromkeys(("report", "mean", "doubted", "busy", "barred", "outside"), 0)

    def on_endpoint_list(self, now: float, event: messages.EndpointList) -> None:
        """Take up what is listed now, or what has changed."""
        self.endpoints.apply_list(now, event.endpoints, event.is_complete, partial(self._create, now))
        for endpoint in self.endpoints.gone_longer_than(now, GONE_LIFE):
            if not endpoint.attempts_in_flight:
                del self.endpoints[endpoint.host.id]
                self.health.outliers.remove_host(endpoint.host.id)
        self.refresh(now)

    def _create(self, now: float, host: messages.Endpoint, old: EndpointState | None) -> EndpointState:
        return EndpointState(host, now, self.rng.random(), old.attempts_in_flight if old else {})

    def refresh(self, now: float) -> None:
        """Work out what may be chosen, of what is listed and by the operator's word."""
        up = sorted((s for s in self.endpoints.values() if s.is_up), key=lambda s: s.ring_position)
        self.available = [s for s in up if s.host.zone not in self.health.zone_health.evacuated] or up
        max_held = MAX_ATTEMPTS_PER_ENDPOINT * self.capacity.scale  # over all gateways
        price = self.settings.prices.get("cross_zone", 0.0)
        even_part = max(1.0, max_held / self.settings.gateway_count)
        for endpoint in self.endpoints.values():
            endpoint.scores = {}
            endpoint.max_attempts_in_flight = int(even_part + endpoint.rounding_draw)
            endpoint.zone_cost = price * CROSS_ZONE_WEIGHT * (endpoint.host.zone != self.settings.zone)
        self.rebuild_subset(self.endpoints.values(), self.send_rate.rate_at(now))
        self.health.set_available(self.available)
        self.max_weight = max((endpoint.host.weight for endpoint in self.available), default=1.0) or 1.0
        # Gateways with one out at each endpoint overdrive all, so what one has out in all is limited too.
        max_out = MAX_OUT_SHARE * max_held * len(self.available) / self.settings.gateway_count
        self.max_out = max(MIN_MAX_OUT, max_out)

    def mean_load(self) -> float:
        """Return the requests that an endpoint holds in the mean, by reports or else by own attempts."""
        own_mean = self.attempts_in_flight * self.settings.gateway_count / max(1, len(self.available))
        return own_mean if self.reported_mean_load is None else self.reported_mean_load

    def has_spare_capacity(self) -> bool:
        """Return whether endpoints have capacity for what need not be done."""
        return self.mean_load() < SPARE_PART * MAX_ATTEMPTS_PER_ENDPOINT * self.capacity.scale

    def is_congested(self, now: float) -> bool:
        """Return whether most answers come from endpoints that hold too much."""
        return self.congestion.value_at(now, CONGESTION_LIFE) > SHED_CONGESTION

    def attempt_timeout(self, class_name: str) -> float:
        """Return the seconds after which an attempt is taken for silent."""
        times = self.response_times[class_name]
        return max(TICK, times.mean + TIMEOUT_DEVIATIONS * times.deviation)

    def has_capacity(self, endpoint: EndpointState, now: float, scope: Scope = ("host",)) -> bool:
        """Return whether an endpoint may get another attempt now."""
        is_full = (
            self.attempts_in_flight >= self.max_out
            or len(endpoint.attempts_in_flight) >= endpoint.max_attempts_in_flight
        )
        backoff = endpoint.backoff
        if not endpoint.is_up or is_full or (backoff.failures and backoff.is_paused(scope, now)):
            return False
        return not endpoint.host.started_at or self._has_slow_start_token(endpoint, now)

    def _has_slow_start_token(self, endpoint: EndpointState, now: float) -> bool:
        """Save up tokens: a cold endpoint falls over when all gateways together send more than it bears."""
        rules = self.settings.rules
        factor = endpoint.slow_start_factor(now, rules)
        if factor == 1.0:
            return True
        # Where all are cold, or nothing has been sent yet, own attempts tell too little: as if of one core.
        lone_rate = 1 / self.response_times.typical / self.settings.gateway_count
        share = max(self.send_rate.rate_at(now) / max(1, len(self.subset)), lone_rate)
        rate = factor * rules.overload_multiple * SLOW_START_SHARE * share
        return endpoint.slow_start_tokens.refill(now, rate, max(1.0, rate * rules.overload_duration)) >= 1.0

    def any_capacity(self, now: float) -> bool:
        """Return whether any endpoint of the subset may get an attempt now."""
        if now < self.no_capacity_until or self.attempts_in_flight >= self.max_out:
            return False
        if any(self.has_capacity(endpoint, now) for endpoint in self.subset_with_capacity):
            return True
        pause_end = min((at for _, at in self.health.pause_ends(now)), default=math.inf)
        self.no_capacity_until = min(now + TICK / 2, pause_end)
        return False

    def schedule_trial(self, now: float) -> None:
        """Have the queue looked at when the next pause of an endpoint ends."""
        ends = (at for endpoint, at in self.health.pause_ends(now) if endpoint.is_up)
        self.next_trial_at = min(ends, default=0.0)

    def on_sent(self, endpoint: EndpointState, key: AttemptKey, now: float) -> None:
        """Take up an attempt that is sent."""
        self.add_attempt(endpoint, key, now)
        endpoint.slow_start_tokens.take()
        rate = self.send_rate.observe(now)
        if self.is_too_small(rate):
            self.rebuild_subset(self.endpoints.values(), rate)

    def on_silence(self, now: float, endpoint_id: str, scope: Scope, key: AttemptKey | None = None) -> None:
        """Count a failure of an endpoint that does not answer; `key`: of an attempt to be released."""
        endpoint = self.endpoints[endpoint_id]
        if key is not None:  # the attempt takes no other's place any more
            self.remove_attempt(endpoint, key)
            self.health.zone_health.record_no_answer(endpoint.host.zone, endpoint_id, now)
        self.health.outliers.record(endpoint_id, scope, True, now)
        endpoint.scores.clear()

    def on_outcome(self, now: float, event: AttemptOutcome, class_name: str | None, scope: Scope) -> None:
        """Take up the outcome of an attempt; its class is None if its request is over."""
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None:  # gone for longer than anything there could matter
            return
        own_attempts = len(endpoint.attempts_in_flight)
        self.remove_attempt(endpoint, (event.request_id, event.attempt))
        is_congested = event.result == AttemptResult.TIMEOUT
        if event.load_report:
            held = routing.requests_held(event.load_report, ENDPOINT_CONCURRENCY)
            endpoint.record_report(now, held, own_attempts)
            mean = held if self.reported_mean_load is None else self.reported_mean_load
            self.reported_mean_load = mean + QUICK_GAIN * (held - mean)
            if self.capacity.observe(event.load_report):
                self.refresh(now)
            is_congested = held > CONGESTED_LOAD * self.capacity.scale
        if event.is_health_signal:
            self.health.on_result(endpoint, event.result, scope, now)
            endpoint.scores.clear()
        if event.load_report or event.result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.congestion.observe(now, is_congested)
        if event.result == AttemptResult.OK and class_name is not None:
            ratio = self.response_times.observe(class_name, event.elapsed)
            endpoint.time_ratio += QUICK_GAIN * (ratio - endpoint.time_ratio)
