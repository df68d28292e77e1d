"""Which endpoint gets an attempt: what is available, how loaded, how trusted, and the choice among them."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.policy.endpoint import Server
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


class Fleet:
    def __init__(self, settings: messages.Settings, rng: random.Random) -> None:
        self.set, self.rng = settings, rng
        self.doubt, self.sites, self.size = Doubt(), Sites(), Size(LIMIT_MOST)
        self.servers: dict[str, Server] = {}
        self.up: list[Server] = []
        self.near: list[Server] = []  # those of them that this gateway sends to, unless none of these will do
        self.free: list[Server] = []  # those of the near ones with a place left, in no order
        self.resting: set[Server] = set()
        self.full_until = 0.0  # none may be sent to before, unless an event says otherwise
        self.response_times = {c.name: MeanDeviation(min(c.latency_objective / 5, c.deadline), GAIN)
                               for c in settings.classes.values()}  # s
        self.rate, self.rate_at = 0.0, 0.0  # own sends a second
        self.usual = max(t.mean for t in self.response_times.values())  # s; of an answer of any class
        self.out, self.held, self.reports = 0, 0.0, False  # own attempts out; mean load of reports, if any
        self.pressure, self.answer_at = 0.0, 0.0
        self.top, self.most = 1.0, 2.0  # largest weight; own attempts out at most
        # What moved choices: taken by a report or by the mean, passed over, or taken outside the subset.
        self.moved_by = dict.fromkeys(("report", "mean", "doubted", "busy", "barred", "outside"), 0)

    def listed(self, now: float, event: messages.EndpointList) -> None:
        if event.mode not in ("delta", "failed"):
            named = {h.id for h in event.endpoints}
            for name, server in self.servers.items():
                if name not in named:
                    server.up, server.gone_at = False, min(server.gone_at, now)
        for host in event.endpoints:
            old = self.servers.get(host.id)
            if old is None or (host.state == "up" and host.started_at > old.host.started_at):
                # Credit starts anywhere below one send: first sends of many gateways are spread over time.
                self.servers[host.id] = Server(host, now, self.rng.random(), old.out if old else {})
            else:
                old.host, old.up = host, host.state == "up"
            server = self.servers[host.id]
            server.gone_at = min(server.gone_at, now) if host.state == "down" else math.inf
        self.forget(now)
        self.settle(now)

    def settle(self, now: float) -> None:
        """What may be chosen, of what is listed and by the operator's word."""
        up = sorted((s for s in self.servers.values() if s.up), key=lambda s: s.ring)
        self.up = [s for s in up if s.host.zone not in self.sites.left] or up
        held = LIMIT_MOST * self.size.scale  # attempts out at a host that are well, over all gateways
        for s in self.servers.values():
            s.judged, s.places = {}, int(max(1.0, held / self.set.gateway_count) + s.drawn)
            s.cross = self.set.prices.get("cross_zone", 0.0) * CROSS_WEIGHT * (s.host.zone != self.set.zone)
        self.gather(now)
        self.sites.listed([s.host.zone for s in self.up])
        self.resting = {s for s in self.up if s.backoff}
        self.top = max((s.host.weight for s in self.up), default=1.0) or 1.0
        # Gateways with one out at each server overdrive all, so what one has out in all is limited too.
        self.most = max(OUT_LEAST, OUT_SLACK * held * len(self.up) / self.set.gateway_count)

    def gather(self, now: float) -> None:
        """Takes the hosts around this gateway's place, as many as its traffic wants."""
        wide = subset.width(len(self.up), self.set.gateway_count, self.own_rate(now), len(self.near))
        self.near = subset.around(self.up, self.set.gateway_index, self.set.gateway_count, wide)
        for s in self.servers.values():
            s.near, s.position = False, free_list.ABSENT
        for s in self.near:
            s.near = True
        self.free = free_list.build(s for s in self.near if len(s.out) < s.places)
        self.full_until = 0.0

    def forget(self, now: float) -> None:
        """Hosts come under ever new ids: what is gone for long, with nothing out there, is dropped."""
        for name in [name for name, s in self.servers.items() if now - s.gone_at > GONE_MOST and not s.out]:
            del self.servers[name]
            self.doubt.forget(name)

    def moved(self, s: Server) -> None:
        """Its attempts out have changed: keeps `free` true, in one step whatever the size of the fleet."""
        self.full_until = 0.0
        if s.near and len(s.out) < s.places:
            free_list.add(self.free, s)
        else:
            free_list.discard(self.free, s)

    def mean_held(self) -> float:
        return self.held if self.reports else self.out * self.set.gateway_count / max(1, len(self.up))

    def clear(self) -> bool:
        return self.mean_held() < ROOM_CLEAR * LIMIT_MOST * self.size.scale

    def own_rate(self, now: float) -> float:
        return self.rate * math.exp((self.rate_at - now) / RATE_SPAN)

    def patience(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        times = self.response_times[name]
        return max(TICK, times.mean + COPY_AT * times.deviation)

    def may_send(self, s: Server, now: float, keys: tuple[str, ...] = ("host",)) -> bool:
        if not s.up or self.out >= self.most or len(s.out) >= s.places:
            return False
        if s.backoff and s.backoff.is_paused(keys, now):
            return False
        if not s.host.started_at:  # warm: the usual case
            return True
        rules = self.set.rules
        warm = s.warmth(now, rules)
        if warm == 1.0:
            return True
        # A cold host falls over when all gateways together send more than it bears: credit is saved up.
        # Where none is warm, or none has been sent yet, own sends tell too little: then as if of one core.
        alone = 1 / self.usual / self.set.gateway_count
        share = max(self.own_rate(now) / max(1, len(self.near)), alone)
        rate = warm * rules.overload_multiple * COLD_PART * share
        s.credit = min(s.credit + (now - s.credit_at) * rate, max(1.0, rate * rules.overload_duration))
        s.credit_at = now
        return s.credit >= 1.0

    def room(self, now: float) -> bool:
        if now < self.full_until or self.out >= self.most:
            return False
        if any(self.may_send(s, now) for s in self.free):
            return True
        ends = (at for s in self.resting for _, at in s.backoff.pauses() if at > now)
        self.full_until = min(now + TICK / 2, min(ends, default=math.inf))
        return False

    def judge(self, s: Server, keys: tuple[str, ...], now: float) -> tuple[float, float, float]:
        """Until when it holds, its soundness, and its cost beside what it has to do."""
        sound = self.doubt.sound(s.host.id, keys, now)
        if self.sites.doubted:
            sound *= self.sites.part(s.host.zone, now)
        cost = max(s.ratio, 0.3) / max(s.host.weight, 1e-9) / max(sound, 0.01)  # cold: up to its credit
        known = s.judged[keys] = (now + STEP, sound, cost)
        return known

    def weight(self, s: Server, keys: tuple[str, ...], now: float) -> float:
        known = s.judged.get(keys)
        sound = known[1] if known is not None and now < known[0] else self.judge(s, keys, now)[1]
        warm = s.warmth(now, self.set.rules) if s.host.started_at else 1.0
        return s.host.weight / self.top * sound * warm

    def pick(self, now: float, keys: tuple[str, ...], fits: Callable[[Server], bool] | None) -> Server | None:
        """Best of some free servers, drawn by weight: as many as this gateway has fresh reports for, two at
        least, since the best of all by an old report is the same server for all gateways."""
        if self.out >= self.most:
            return None
        pool = self.free if len(self.up) > COMPARED else self.up
        rng, drawn = self.rng.random, list[Server]()
        few = max(2, math.ceil(CHOICES * len(self.up) / self.set.gateway_count))
        if few < len(pool) or len(pool) > COMPARED:
            few, size = min(few, DRAWN), len(pool)
            for _ in range(DRAWS):
                s = pool[int(rng() * size)]
                if rng() >= self.weight(s, keys, now):
                    self.moved_by["doubted"] += 1
                elif not self.may_send(s, now, keys):
                    self.moved_by["busy"] += 1
                elif fits is not None and not fits(s):
                    self.moved_by["barred"] += 1
                else:
                    drawn.append(s)
                    if len(drawn) == few:
                        break
        held, best, least = self.mean_held(), None, math.inf
        for s in drawn or pool:
            if not drawn and not (self.may_send(s, now, keys) and (fits is None or fits(s))):
                continue
            known = s.judged.get(keys)
            if known is None or now >= known[0]:
                known = self.judge(s, keys, now)
            if now >= s.fresh_until:  # without a report it is as busy as the rest
                s.fresh, s.fresh_until = 0.5 ** ((now - s.others_at) / REPORT_AGE), now + STEP
            load = len(s.out) + s.fresh * s.others + (1 - s.fresh) * held
            cost = known[2] * (1 + load / SERVERS_OF_HOST) + s.cross + TICK * rng()
            if cost < least:
                best, least = s, cost
        if best is not None:
            self.moved_by["report" if best.fresh > 0.5 else "mean"] += 1
        return best

    def farther(self, now: float, keys: tuple[str, ...],
                fits: Callable[[Server], bool] | None) -> Server | None:
        """Any other than the near ones, where none of these will do: a repeat that only its cell may get, or
        hosts that fail all around."""
        if len(self.near) == len(self.up) or self.out >= self.most:
            return None
        first = int(self.rng.random() * len(self.up))
        for n in range(len(self.up)):
            s = self.up[(first + n) % len(self.up)]
            if not s.near and self.may_send(s, now, keys) and (fits is None or fits(s)):
                self.moved_by["outside"] += 1
                return s
        return None

    def sent(self, s: Server, key: tuple[str, int], now: float) -> None:
        s.out[key] = now
        self.moved(s)
        s.credit -= 1.0
        self.out += 1
        self.rate, self.rate_at = self.own_rate(now) + 1.0 / RATE_SPAN, now
        if subset.PAIR * self.rate > len(self.near) < len(self.up):  # more traffic than its subset is for
            self.gather(now)

    def drop(self, s: Server, key: tuple[str, int]) -> None:
        self.out -= s.out.pop(key, None) is not None
        self.moved(s)

    def answered(self, now: float, event: messages.AttemptOutcome, cls: messages.ServiceClass | None,
                 keys: tuple[str, ...]) -> None:
        s = self.servers.get(event.endpoint_id)
        if s is None:  # gone for longer than anything there could matter
            return
        out, high = len(s.out), event.result == "timeout"
        self.drop(s, (event.request_id, event.attempt))
        if event.load_report:
            held = event.load_report.get("inflight")
            if held is None:
                busy = SERVERS_OF_HOST * event.load_report.get("util", 0.0)
                held = event.load_report.get("queue", 0.0) + busy
            s.others, s.others_at, s.fresh_until = max(0.0, held - out), now, 0.0
            self.held += (QUICK if self.reports else 1.0) * (held - self.held)
            if self.size.note(event.load_report):
                self.settle(now)
            self.reports, high = True, held > CONGESTED * self.size.scale
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
            s.judged.clear()
            (self.resting.add if s.backoff else self.resting.discard)(s)
        if event.load_report or event.result in ("ok", "timeout"):
            gain = max(QUICK / 2, 1 - math.exp((self.answer_at - now) / PRESS_SPAN))
            self.pressure, self.answer_at = self.pressure + min(gain, 0.5) * (high - self.pressure), now
        if event.result != "ok" or cls is None:
            return
        self.usual += QUICK * (max(event.elapsed, 1e-4) - self.usual)
        times = self.response_times[cls.name]
        s.ratio += QUICK * (min(event.elapsed / max(times.mean, 1e-6), 10.0) - s.ratio)
        times.observe(event.elapsed)
