"""Which endpoint gets an attempt: what is available, how loaded, how trusted, and the choice among them."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.policy.endpoint import EndpointState
from apigateway.routing import free_list, subset
from apigateway.routing.capacity_estimator import CapacityEstimator
from apigateway.routing.load_report import requests_held
from apigateway.routing.mean_deviation import MeanDeviation
from apigateway.routing.outlier_detection import OutlierDetector
from apigateway.routing.zone_health import ZoneHealth

TICK = 0.02  # s; coarsest delay of a check on held requests and copies; far under any aim
GONE_LIFE = 30.0  # s that a host which is gone is known: longer than any attempt or repeat on it matters
CONGESTED = 5.0  # requests held at an endpoint, above which it holds more than it works on well
CONGESTION_SPAN = 1.5  # s that the part of answers from congested endpoints is taken over
LIMIT_MOST, ROOM_CLEAR = 4.0, 0.6  # attempts out per endpoint over all gateways; part that is clear room;
OUT_SLACK, MIN_OUT = 2.0, 20.0  # times its even part of them that one gateway may have out; that any may:
# traffic over many is uneven, and what they hold together is told by the hosts
ENDPOINT_CONCURRENCY = 2.0  # requests an endpoint works on at once, when nothing tells more
GAIN, QUICK = 0.05, 0.15  # weight of a new answer in means; where a change must show in a few answers
REPORT_HALF_LIFE, RATE_SPAN = 1.0, 3.0  # s; a load report says half as much after it; own sends count over it
CHOICES, MAX_DRAWS = 4.0, 40  # endpoints compared, times endpoints over gateways; draws before all are seen
COMPARED, DRAWN = 12, 6  # endpoints all compared; of more, the best of so many drawn ones is as good
SCORE_LIFE = 0.05  # s that what decays slowly is taken for the same, unless an event changed it
TIMEOUT_DEVIATIONS = 4.0  # mean deviations above the mean time, after which an attempt is taken for silent
SLOW_START_SHARE = 0.6  # of what a cold endpoint bears by the rules, the rest for chance and other bursts
CROSS_ZONE_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price


class EndpointPool:
    def __init__(self, settings: messages.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.outliers, self.zone_health = OutlierDetector(), ZoneHealth()
        self.capacity = CapacityEstimator(LIMIT_MOST)
        self.endpoints: dict[str, EndpointState] = {}
        self.available: list[EndpointState] = []
        self.subset: list[EndpointState] = []  # sent to, unless none of these will do
        self.with_capacity: list[EndpointState] = []  # those of the subset, in no order
        self.paused: set[EndpointState] = set()
        self.full_until = 0.0  # none may be sent to before, unless an event says otherwise
        self.response_times = {c.name: MeanDeviation(min(c.latency_objective / 5, c.deadline), GAIN)
                               for c in settings.classes.values()}  # s
        self.last_send_rate, self.last_send_at = 0.0, 0.0  # own sends a second
        self.typical_time = max(t.mean for t in self.response_times.values())  # s; of an answer of any class
        self.attempts_out, self.reported_mean_load, self.has_reports = 0, 0.0, False
        self.congestion, self.congestion_at = 0.0, 0.0
        self.max_weight, self.max_out = 1.0, 2.0  # largest weight; own attempts out at most
        self.choice_counts = dict.fromkeys(("report", "mean", "doubted", "busy", "barred", "outside"), 0)

    def on_endpoint_list(self, now: float, event: messages.EndpointList) -> None:
        if event.mode not in ("delta", "failed"):
            named = {h.id for h in event.endpoints}
            for name, endpoint in self.endpoints.items():
                if name not in named:
                    endpoint.is_up, endpoint.gone_at = False, min(endpoint.gone_at, now)
        for host in event.endpoints:
            old = self.endpoints.get(host.id)
            if old is None or (host.state == "up" and host.started_at > old.host.started_at):
                # Credit starts anywhere below one send: first sends of many gateways are spread over time.
                out = old.attempts_out if old else {}
                self.endpoints[host.id] = EndpointState(host, now, self.rng.random(), out)
            else:
                old.host, old.is_up = host, host.state == "up"
            known = self.endpoints[host.id]
            known.gone_at = min(known.gone_at, now) if host.state == "down" else math.inf
        self.remove_gone(now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """What may be chosen, of what is listed and by the operator's word."""
        up = sorted((s for s in self.endpoints.values() if s.is_up), key=lambda s: s.ring_position)
        self.available = [s for s in up if s.host.zone not in self.zone_health.left] or up
        held = LIMIT_MOST * self.capacity.scale  # attempts out at a host that are well, over all gateways
        for endpoint in self.endpoints.values():
            endpoint.scores = {}
            endpoint.max_attempts = int(max(1.0, held / self.settings.gateway_count) + endpoint.rounding_draw)
            price = self.settings.prices.get("cross_zone", 0.0)
            endpoint.zone_cost = price * CROSS_ZONE_WEIGHT * (endpoint.host.zone != self.settings.zone)
        self.rebuild_subset(now)
        self.zone_health.listed([endpoint.host.zone for endpoint in self.available])
        self.paused = {endpoint for endpoint in self.available if endpoint.backoff}
        self.max_weight = max((endpoint.host.weight for endpoint in self.available), default=1.0) or 1.0
        # Gateways with one out at each endpoint overdrive all, so what one has out in all is limited too.
        self.max_out = max(MIN_OUT, OUT_SLACK * held * len(self.available) / self.settings.gateway_count)

    def rebuild_subset(self, now: float) -> None:
        """Takes the hosts around this gateway's place, as many as its traffic wants."""
        index, gateways = self.settings.gateway_index, self.settings.gateway_count
        width = subset.subset_size(len(self.available), gateways, self.send_rate(now), len(self.subset))
        self.subset = subset.deterministic_subset(self.available, index, gateways, width)
        for endpoint in self.endpoints.values():
            endpoint.in_subset, endpoint.position = False, free_list.ABSENT
        for endpoint in self.subset:
            endpoint.in_subset = True
        self.with_capacity = free_list.build(s for s in self.subset if len(s.attempts_out) < s.max_attempts)
        self.full_until = 0.0

    def remove_gone(self, now: float) -> None:
        """Hosts come under ever new ids: what is gone for long, with nothing out there, is dropped."""
        idle = [(name, endpoint) for name, endpoint in self.endpoints.items() if not endpoint.attempts_out]
        for name in [name for name, endpoint in idle if now - endpoint.gone_at > GONE_LIFE]:
            del self.endpoints[name]
            self.outliers.forget(name)

    def update_capacity(self, endpoint: EndpointState) -> None:
        """Its attempts out have changed: keeps `free` true, in one step whatever the size of the fleet."""
        self.full_until = 0.0
        if endpoint.in_subset and len(endpoint.attempts_out) < endpoint.max_attempts:
            free_list.add(self.with_capacity, endpoint)
        else:
            free_list.discard(self.with_capacity, endpoint)

    def mean_load(self) -> float:
        even_load = self.attempts_out * self.settings.gateway_count / max(1, len(self.available))
        return self.reported_mean_load if self.has_reports else even_load

    def has_spare_capacity(self) -> bool:
        return self.mean_load() < ROOM_CLEAR * LIMIT_MOST * self.capacity.scale

    def send_rate(self, now: float) -> float:
        return self.last_send_rate * math.exp((self.last_send_at - now) / RATE_SPAN)

    def attempt_timeout(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        times = self.response_times[name]
        return max(TICK, times.mean + TIMEOUT_DEVIATIONS * times.deviation)

    def has_capacity(self, endpoint: EndpointState, now: float, keys: tuple[str, ...] = ("host",)) -> bool:
        is_full = self.attempts_out >= self.max_out or len(endpoint.attempts_out) >= endpoint.max_attempts
        if not endpoint.is_up or is_full:
            return False
        if endpoint.backoff and endpoint.backoff.is_paused(keys, now):
            return False
        if not endpoint.host.started_at:  # warm: the usual case
            return True
        rules = self.settings.rules
        warm = endpoint.slow_start_factor(now, rules)
        if warm == 1.0:
            return True
        # A cold host falls over when all gateways together send more than it bears: credit is saved up.
        # Where none is warm, or none has been sent yet, own sends tell too little: then as if of one core.
        alone = 1 / self.typical_time / self.settings.gateway_count
        share = max(self.send_rate(now) / max(1, len(self.subset)), alone)
        rate = warm * rules.overload_multiple * SLOW_START_SHARE * share
        most = max(1.0, rate * rules.overload_duration)
        endpoint.slow_start_tokens = min(endpoint.slow_start_tokens + (now - endpoint.tokens_at) * rate, most)
        endpoint.tokens_at = now
        return endpoint.slow_start_tokens >= 1.0

    def any_capacity(self, now: float) -> bool:
        if now < self.full_until or self.attempts_out >= self.max_out:
            return False
        if any(self.has_capacity(endpoint, now) for endpoint in self.with_capacity):
            return True
        ends = (at for endpoint in self.paused for _, at in endpoint.backoff.pauses() if at > now)
        self.full_until = min(now + TICK / 2, min(ends, default=math.inf))
        return False

    def score(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> tuple[float, float, float]:
        """Until when it holds, its soundness, and its cost beside what it has to do."""
        sound = self.outliers.success_probability(endpoint.host.id, keys, now)
        if self.zone_health.doubted:
            sound *= self.zone_health.part(endpoint.host.zone, now)
        cost = max(endpoint.time_ratio, 0.3) / max(endpoint.host.weight, 1e-9) / max(sound, 0.01)
        known = endpoint.scores[keys] = (now + SCORE_LIFE, sound, cost)
        return known

    def selection_weight(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        known = endpoint.scores.get(keys)
        sound = known[1] if known is not None and now < known[0] else self.score(endpoint, keys, now)[1]
        warm = endpoint.slow_start_factor(now, self.settings.rules) if endpoint.host.started_at else 1.0
        return endpoint.host.weight / self.max_weight * sound * warm

    def select_endpoint(self, now: float, keys: tuple[str, ...],
                        fits: Callable[[EndpointState], bool] | None) -> EndpointState | None:
        """Best of some free endpoints, drawn by weight: as many as this gateway has fresh reports for, two at
        least, since the best of all by an old report is the same endpoint for all gateways."""
        if self.attempts_out >= self.max_out:
            return None
        pool = self.with_capacity if len(self.available) > COMPARED else self.available
        rng, drawn = self.rng.random, list[EndpointState]()
        few = max(2, math.ceil(CHOICES * len(self.available) / self.settings.gateway_count))
        if few < len(pool) or len(pool) > COMPARED:
            few, size = min(few, DRAWN), len(pool)
            for _ in range(MAX_DRAWS):
                endpoint = pool[int(rng() * size)]
                if rng() >= self.selection_weight(endpoint, keys, now):
                    self.choice_counts["doubted"] += 1
                elif not self.has_capacity(endpoint, now, keys):
                    self.choice_counts["busy"] += 1
                elif fits is not None and not fits(endpoint):
                    self.choice_counts["barred"] += 1
                else:
                    drawn.append(endpoint)
                    if len(drawn) == few:
                        break
        held, best, least = self.mean_load(), None, math.inf
        for endpoint in drawn or pool:
            if not drawn and (not self.has_capacity(endpoint, now, keys) or (fits and not fits(endpoint))):
                continue
            known = endpoint.scores.get(keys)
            if known is None or now >= known[0]:
                known = self.score(endpoint, keys, now)
            if now >= endpoint.weighed_until:  # without a report it is as busy as the rest
                endpoint.report_weight = 0.5 ** ((now - endpoint.reported_at) / REPORT_HALF_LIFE)
                endpoint.weighed_until = now + SCORE_LIFE
            fresh = endpoint.report_weight
            load = len(endpoint.attempts_out) + fresh * endpoint.reported_load + (1 - fresh) * held
            cost = known[2] * (1 + load / ENDPOINT_CONCURRENCY) + endpoint.zone_cost + TICK * rng()
            if cost < least:
                best, least = endpoint, cost
        if best is not None:
            self.choice_counts["report" if best.report_weight > 0.5 else "mean"] += 1
        return best

    def select_outside_subset(self, now: float, keys: tuple[str, ...],
                              fits: Callable[[EndpointState], bool] | None) -> EndpointState | None:
        """Any other than the near ones, where none of these will do: a repeat that only its cell may get, or
        hosts that fail all around."""
        if len(self.subset) == len(self.available) or self.attempts_out >= self.max_out:
            return None
        first = int(self.rng.random() * len(self.available))
        for n in range(len(self.available)):
            other = self.available[(first + n) % len(self.available)]
            if not other.in_subset and self.has_capacity(other, now, keys) and (not fits or fits(other)):
                self.choice_counts["outside"] += 1
                return other
        return None

    def on_sent(self, endpoint: EndpointState, key: tuple[str, int], now: float) -> None:
        endpoint.attempts_out[key] = now
        self.update_capacity(endpoint)
        endpoint.slow_start_tokens -= 1.0
        self.attempts_out += 1
        self.last_send_rate, self.last_send_at = self.send_rate(now) + 1.0 / RATE_SPAN, now
        if subset.PAIR * self.last_send_rate > len(self.subset) < len(self.available):  # too much for it
            self.rebuild_subset(now)

    def release(self, endpoint: EndpointState, key: tuple[str, int]) -> None:
        self.attempts_out -= endpoint.attempts_out.pop(key, None) is not None
        self.update_capacity(endpoint)

    def on_outcome(self, now: float, event: messages.AttemptOutcome, cls: messages.ServiceClass | None,
                   keys: tuple[str, ...]) -> None:
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None:  # gone for longer than anything there could matter
            return
        out, high = len(endpoint.attempts_out), event.result == "timeout"
        self.release(endpoint, (event.request_id, event.attempt))
        if event.load_report:
            held = requests_held(event.load_report, ENDPOINT_CONCURRENCY)
            endpoint.reported_load = max(0.0, held - out)
            endpoint.reported_at, endpoint.weighed_until = now, 0.0
            self.reported_mean_load += (QUICK if self.has_reports else 1.0) * (held - self.reported_mean_load)
            if self.capacity.note(event.load_report):
                self.refresh(now)
            self.has_reports, high = True, held > CONGESTED * self.capacity.scale
        if event.result in ("connect_failed", "full", "error", "reset", "ok"):
            level = keys[:1] if event.result == "connect_failed" else keys
            if event.result == "connect_failed":
                self.zone_health.silent(endpoint.host.zone, event.endpoint_id, now)
            elif event.result != "reset":  # which may come from the way there as well
                self.zone_health.answered(endpoint.host.zone)
            self.outliers.record(event.endpoint_id, level, event.result != "ok", now)
            if event.result == "ok":
                endpoint.backoff.on_success(level[:2])
            else:
                endpoint.backoff.on_failure(level[:2][-1], now)
            endpoint.scores.clear()
            (self.paused.add if endpoint.backoff else self.paused.discard)(endpoint)
        if event.load_report or event.result in ("ok", "timeout"):
            gain = max(QUICK / 2, 1 - math.exp((self.congestion_at - now) / CONGESTION_SPAN))
            self.congestion += min(gain, 0.5) * (high - self.congestion)
            self.congestion_at = now
        if event.result != "ok" or cls is None:
            return
        self.typical_time += QUICK * (max(event.elapsed, 1e-4) - self.typical_time)
        seen = self.response_times[cls.name]
        endpoint.time_ratio += QUICK * (min(event.elapsed / max(seen.mean, 1e-6), 10.0) - endpoint.time_ratio)
        seen.observe(event.elapsed)
