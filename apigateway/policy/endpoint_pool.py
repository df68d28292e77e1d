"""Which endpoint gets an attempt: what is available, how loaded, how trusted, and the choice among them."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.policy.endpoint import TrackedEndpoint
from apigateway.routing import free_list, subset
from apigateway.routing.doubt import Doubt
from apigateway.routing.mean_deviation import MeanDeviation
from apigateway.routing.sites import Sites
from apigateway.routing.size import Size

TICK = 0.02  # s; coarsest delay of a check on held requests and copies; far under any aim
GONE_MOST = 30.0  # s that a host which is gone is known: longer than any attempt or repeat on it matters
CONGESTED = 5.0  # requests held at a server, above which it holds more than it works on well
PRESS_SPAN = 1.5  # s that the part of answers from congested servers is taken over
LIMIT_MOST, ROOM_CLEAR = 4.0, 0.6  # attempts out per server over all gateways; part that is clear room;
OUT_SLACK, OUT_LEAST = 2.0, 20.0  # times its even part of them that one gateway may have out; that any may:
# traffic over many is uneven, and what they hold together is told by the hosts
SERVERS_OF_HOST = 2.0  # requests a server works on at once, when nothing tells more
GAIN, QUICK = 0.05, 0.15  # weight of a new answer in means; where a change must show in a few answers
REPORT_AGE, RATE_SPAN = 1.0, 3.0  # s; a load report says half as much after it; own sends are counted over it
CHOICES, DRAWS = 4.0, 40  # servers compared, times servers over gateways; draws before all are looked at
COMPARED, DRAWN = 12, 6  # servers all compared; of more, the best of so many drawn ones is as good
STEP = 0.05  # s that what decays slowly is taken for the same, unless an event changed it
COPY_AT = 4.0  # mean deviations above the mean time, after which an attempt is taken for silent
COLD_PART = 0.6  # of what a cold server bears by the rules, the rest for chance and the others' bursts
CROSS_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price


class EndpointPool:
    def __init__(self, settings: messages.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.doubt, self.sites, self.size = Doubt(), Sites(), Size(LIMIT_MOST)
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.available: list[TrackedEndpoint] = []
        self.subset: list[TrackedEndpoint] = []  # sent to, unless none of these will do
        self.with_capacity: list[TrackedEndpoint] = []  # those of the subset, in no order
        self.paused: set[TrackedEndpoint] = set()
        self.full_until = 0.0  # none may be sent to before, unless an event says otherwise
        self.response_times = {c.name: MeanDeviation(min(c.latency_objective / 5, c.deadline), GAIN)
                               for c in settings.classes.values()}  # s
        self.last_send_rate, self.last_send_at = 0.0, 0.0  # own sends a second
        self.typical_time = max(t.mean for t in self.response_times.values())  # s; of an answer of any class
        self.attempts_out = 0  # of this gateway
        self.reported_mean_load, self.has_reports = 0.0, False
        self.congestion, self.congestion_at = 0.0, 0.0
        self.max_weight, self.max_out = 1.0, 2.0  # largest weight; own attempts out at most
        # What moved choices: taken by a report or by the mean, passed over, or taken outside the subset.
        self.choice_counts = dict.fromkeys(("report", "mean", "doubted", "busy", "barred", "outside"), 0)

    def on_endpoint_list(self, now: float, event: messages.EndpointList) -> None:
        if event.mode not in ("delta", "failed"):
            named = {h.id for h in event.endpoints}
            for name, server in self.endpoints.items():
                if name not in named:
                    server.is_up, server.gone_at = False, min(server.gone_at, now)
        for host in event.endpoints:
            old = self.endpoints.get(host.id)
            if old is None or (host.state == "up" and host.started_at > old.host.started_at):
                # Credit starts anywhere below one send: first sends of many gateways are spread over time.
                out = old.attempts_out if old else {}
                self.endpoints[host.id] = TrackedEndpoint(host, now, self.rng.random(), out)
            else:
                old.host, old.is_up = host, host.state == "up"
            server = self.endpoints[host.id]
            server.gone_at = min(server.gone_at, now) if host.state == "down" else math.inf
        self.remove_gone(now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """What may be chosen, of what is listed and by the operator's word."""
        up = sorted((s for s in self.endpoints.values() if s.is_up), key=lambda s: s.ring_position)
        self.available = [s for s in up if s.host.zone not in self.sites.left] or up
        held = LIMIT_MOST * self.size.scale  # attempts out at a host that are well, over all gateways
        for s in self.endpoints.values():
            s.scores, s.max_attempts = {}, int(max(1.0, held / self.settings.gateway_count) + s.rounding_draw)
            price = self.settings.prices.get("cross_zone", 0.0)
            s.zone_cost = price * CROSS_WEIGHT * (s.host.zone != self.settings.zone)
        self.rebuild_subset(now)
        self.sites.listed([s.host.zone for s in self.available])
        self.paused = {s for s in self.available if s.backoff}
        self.max_weight = max((s.host.weight for s in self.available), default=1.0) or 1.0
        # Gateways with one out at each server overdrive all, so what one has out in all is limited too.
        self.max_out = max(OUT_LEAST, OUT_SLACK * held * len(self.available) / self.settings.gateway_count)

    def rebuild_subset(self, now: float) -> None:
        """Takes the hosts around this gateway's place, as many as its traffic wants."""
        index, gateways = self.settings.gateway_index, self.settings.gateway_count
        width = subset.width(len(self.available), gateways, self.send_rate(now), len(self.subset))
        self.subset = subset.around(self.available, index, gateways, width)
        for s in self.endpoints.values():
            s.in_subset, s.position = False, free_list.ABSENT
        for s in self.subset:
            s.in_subset = True
        self.with_capacity = free_list.build(s for s in self.subset if len(s.attempts_out) < s.max_attempts)
        self.full_until = 0.0

    def remove_gone(self, now: float) -> None:
        """Hosts come under ever new ids: what is gone for long, with nothing out there, is dropped."""
        idle = [(name, s) for name, s in self.endpoints.items() if not s.attempts_out]
        for name in [name for name, s in idle if now - s.gone_at > GONE_MOST]:
            del self.endpoints[name]
            self.doubt.forget(name)

    def update_capacity(self, s: TrackedEndpoint) -> None:
        """Its attempts out have changed: keeps `free` true, in one step whatever the size of the fleet."""
        self.full_until = 0.0
        if s.in_subset and len(s.attempts_out) < s.max_attempts:
            free_list.add(self.with_capacity, s)
        else:
            free_list.discard(self.with_capacity, s)

    def mean_load(self) -> float:
        even_load = self.attempts_out * self.settings.gateway_count / max(1, len(self.available))
        return self.reported_mean_load if self.has_reports else even_load

    def has_spare_capacity(self) -> bool:
        return self.mean_load() < ROOM_CLEAR * LIMIT_MOST * self.size.scale

    def send_rate(self, now: float) -> float:
        return self.last_send_rate * math.exp((self.last_send_at - now) / RATE_SPAN)

    def attempt_timeout(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        times = self.response_times[name]
        return max(TICK, times.mean + COPY_AT * times.deviation)

    def has_capacity(self, s: TrackedEndpoint, now: float, keys: tuple[str, ...] = ("host",)) -> bool:
        if not s.is_up or self.attempts_out >= self.max_out or len(s.attempts_out) >= s.max_attempts:
            return False
        if s.backoff and s.backoff.is_paused(keys, now):
            return False
        if not s.host.started_at:  # warm: the usual case
            return True
        rules = self.settings.rules
        warm = s.slow_start_factor(now, rules)
        if warm == 1.0:
            return True
        # A cold host falls over when all gateways together send more than it bears: credit is saved up.
        # Where none is warm, or none has been sent yet, own sends tell too little: then as if of one core.
        alone = 1 / self.typical_time / self.settings.gateway_count
        share = max(self.send_rate(now) / max(1, len(self.subset)), alone)
        rate = warm * rules.overload_multiple * COLD_PART * share
        most = max(1.0, rate * rules.overload_duration)
        s.slow_start_tokens = min(s.slow_start_tokens + (now - s.tokens_at) * rate, most)
        s.tokens_at = now
        return s.slow_start_tokens >= 1.0

    def any_capacity(self, now: float) -> bool:
        if now < self.full_until or self.attempts_out >= self.max_out:
            return False
        if any(self.has_capacity(s, now) for s in self.with_capacity):
            return True
        ends = (at for s in self.paused for _, at in s.backoff.pauses() if at > now)
        self.full_until = min(now + TICK / 2, min(ends, default=math.inf))
        return False

    def score(self, s: TrackedEndpoint, keys: tuple[str, ...], now: float) -> tuple[float, float, float]:
        """Until when it holds, its soundness, and its cost beside what it has to do."""
        sound = self.doubt.sound(s.host.id, keys, now)
        if self.sites.doubted:
            sound *= self.sites.part(s.host.zone, now)
        cost = max(s.relative_time, 0.3) / max(s.host.weight, 1e-9) / max(sound, 0.01)  # cold: by its tokens
        known = s.scores[keys] = (now + STEP, sound, cost)
        return known

    def selection_weight(self, s: TrackedEndpoint, keys: tuple[str, ...], now: float) -> float:
        known = s.scores.get(keys)
        sound = known[1] if known is not None and now < known[0] else self.score(s, keys, now)[1]
        warm = s.slow_start_factor(now, self.settings.rules) if s.host.started_at else 1.0
        return s.host.weight / self.max_weight * sound * warm

    def select_endpoint(self, now: float, keys: tuple[str, ...],
                        fits: Callable[[TrackedEndpoint], bool] | None) -> TrackedEndpoint | None:
        """Best of some free servers, drawn by weight: as many as this gateway has fresh reports for, two at
        least, since the best of all by an old report is the same server for all gateways."""
        if self.attempts_out >= self.max_out:
            return None
        pool = self.with_capacity if len(self.available) > COMPARED else self.available
        rng, drawn = self.rng.random, list[TrackedEndpoint]()
        few = max(2, math.ceil(CHOICES * len(self.available) / self.settings.gateway_count))
        if few < len(pool) or len(pool) > COMPARED:
            few, size = min(few, DRAWN), len(pool)
            for _ in range(DRAWS):
                s = pool[int(rng() * size)]
                if rng() >= self.selection_weight(s, keys, now):
                    self.choice_counts["doubted"] += 1
                elif not self.has_capacity(s, now, keys):
                    self.choice_counts["busy"] += 1
                elif fits is not None and not fits(s):
                    self.choice_counts["barred"] += 1
                else:
                    drawn.append(s)
                    if len(drawn) == few:
                        break
        held, best, least = self.mean_load(), None, math.inf
        for s in drawn or pool:
            if not drawn and not (self.has_capacity(s, now, keys) and (fits is None or fits(s))):
                continue
            known = s.scores.get(keys)
            if known is None or now >= known[0]:
                known = self.score(s, keys, now)
            if now >= s.weighed_until:  # without a report it is as busy as the rest
                s.report_weight, s.weighed_until = 0.5 ** ((now - s.reported_at) / REPORT_AGE), now + STEP
            load = len(s.attempts_out) + s.report_weight * s.reported_load + (1 - s.report_weight) * held
            cost = known[2] * (1 + load / SERVERS_OF_HOST) + s.zone_cost + TICK * rng()
            if cost < least:
                best, least = s, cost
        if best is not None:
            self.choice_counts["report" if best.report_weight > 0.5 else "mean"] += 1
        return best

    def select_outside_subset(self, now: float, keys: tuple[str, ...],
                fits: Callable[[TrackedEndpoint], bool] | None) -> TrackedEndpoint | None:
        """Any other than the near ones, where none of these will do: a repeat that only its cell may get, or
        hosts that fail all around."""
        if len(self.subset) == len(self.available) or self.attempts_out >= self.max_out:
            return None
        first = int(self.rng.random() * len(self.available))
        for n in range(len(self.available)):
            s = self.available[(first + n) % len(self.available)]
            if not s.in_subset and self.has_capacity(s, now, keys) and (fits is None or fits(s)):
                self.choice_counts["outside"] += 1
                return s
        return None

    def on_sent(self, s: TrackedEndpoint, key: tuple[str, int], now: float) -> None:
        s.attempts_out[key] = now
        self.update_capacity(s)
        s.slow_start_tokens -= 1.0
        self.attempts_out += 1
        self.last_send_rate, self.last_send_at = self.send_rate(now) + 1.0 / RATE_SPAN, now
        if subset.PAIR * self.last_send_rate > len(self.subset) < len(self.available):  # too much for it
            self.rebuild_subset(now)

    def release(self, s: TrackedEndpoint, key: tuple[str, int]) -> None:
        self.attempts_out -= s.attempts_out.pop(key, None) is not None
        self.update_capacity(s)

    def on_outcome(self, now: float, event: messages.AttemptOutcome, cls: messages.ServiceClass | None,
                 keys: tuple[str, ...]) -> None:
        s = self.endpoints.get(event.endpoint_id)
        if s is None:  # gone for longer than anything there could matter
            return
        out, high = len(s.attempts_out), event.result == "timeout"
        self.release(s, (event.request_id, event.attempt))
        if event.load_report:
            held = event.load_report.get("inflight")
            if held is None:
                busy = SERVERS_OF_HOST * event.load_report.get("util", 0.0)
                held = event.load_report.get("queue", 0.0) + busy
            s.reported_load, s.reported_at, s.weighed_until = max(0.0, held - out), now, 0.0
            self.reported_mean_load += (QUICK if self.has_reports else 1.0) * (held - self.reported_mean_load)
            if self.size.note(event.load_report):
                self.refresh(now)
            self.has_reports, high = True, held > CONGESTED * self.size.scale
        if event.result in ("connect_failed", "full", "error", "reset", "ok"):
            level = keys[:1] if event.result == "connect_failed" else keys
            if event.result == "connect_failed":
                self.sites.silent(s.host.zone, event.endpoint_id, now)
            elif event.result != "reset":  # which may come from the way there as well
                self.sites.answered(s.host.zone)
            self.doubt.note(event.endpoint_id, level, event.result != "ok", now)
            if event.result == "ok":
                s.backoff.on_success(level[:2])
            else:
                s.backoff.on_failure(level[:2][-1], now)
            s.scores.clear()
            (self.paused.add if s.backoff else self.paused.discard)(s)
        if event.load_report or event.result in ("ok", "timeout"):
            gain = max(QUICK / 2, 1 - math.exp((self.congestion_at - now) / PRESS_SPAN))
            self.congestion += min(gain, 0.5) * (high - self.congestion)
            self.congestion_at = now
        if event.result != "ok" or cls is None:
            return
        self.typical_time += QUICK * (max(event.elapsed, 1e-4) - self.typical_time)
        times = self.response_times[cls.name]
        s.relative_time += QUICK * (min(event.elapsed / max(times.mean, 1e-6), 10.0) - s.relative_time)
        times.observe(event.elapsed)
