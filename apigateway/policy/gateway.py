"""The decisions of the gateway. Types, events and actions: messages.py. No clock, no I/O.

What a gateway may do by itself is its part of an amount for all; less than one is a credit or a chance."""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from apigateway import messages
from apigateway.hashing import Forgotten, stable_hash
from apigateway.routing import subset
from apigateway.routing.doubt import Doubt
from apigateway.routing.failure_backoff import FailureBackoff
from apigateway.routing.fault_scope import FaultScope
from apigateway.routing.grant_share import GrantShareEstimator
from apigateway.routing.sites import Sites
from apigateway.routing.size import Size

TICK = 0.02  # s; coarsest delay of a check on held requests and copies; far under any aim
ALLOW, CHARGE_AT = 0.5, 0.5  # part of the even room passed uncharged; part of that which is then charged
RESERVE = 0.2  # share of a burst kept from the class worth least a unit, for the one worth most
STRAND_MIN = 0.05  # least chance that an unspent unit is missed elsewhere (c2), customer nearly idle
REFILL = 0.1  # part of the refill in a thin customer's hold: its overdrafts are seldom brought along;
OPENS, OPEN_AT = 0.5, 0.5  # part of its burst that its window opens with; part of the window till it has all
CROWD = 0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
CROWDED, CROWD_STEEP = 0.5, 4.0  # part of the time-out from which a call is rationed; price there, in tries
CROWD_OF = 20.0  # gateways that are half a crowd, before the counter has been heard
SIDE_CALL = 0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
SAMPLE_MOST = 4.0  # a sampled charge stands for so many at most: more makes the count jump
GRANT_PRIOR = (0.5, 0.3)  # share of first tries and of repeats taken to be granted, before any was
HEARD_SPAN = 20.0  # s that a customer's requests here are remembered, for what it asks for elsewhere
LOAD_COST = 0.2  # least cost of a unit sent on beyond quota, in its worth: it loads what all share
CEILING_HOLD, CEILING_THIN = 0.3, 4.0  # share of the aim that a request may wait for its customer's ceiling
# to fill here; units of an even part of it, below which it may
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
BACKOFF_MOST = 1.0  # s; longest pause between tries of a counter that does not answer
PART_GAIN = 0.5  # weight of the latest window in the part of a customer's use that passes here
ROUNDING = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference
CALL_SPOILT = 0.9  # part of the time-out before which a call without answer was lost with its line
OPEN_EPOCH, IDLE_MOST = 5.0, 30.0  # s; life of a count of open attempts; least life of an idle account
FREED_AT_ONCE = 4  # idle accounts looked at with each request: more than come, so that they never pile up
GONE_MOST = 30.0  # s that a host which is gone is known: longer than any attempt or repeat on it matters
CONGESTED = 5.0  # requests held at a server, above which it holds more than it works on well
PRESSED, PRESS_SPAN = 0.5, 1.5  # part of answers from congested servers that sheds work; s taken over
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
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
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
RETRY_START, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up
TRIAL_LEAST, TRIAL_MOST = 0.02, 0.5  # s; pause of a host after one failure there, and after many in a row
COLD_PART = 0.6  # of what a cold server bears by the rules, the rest for chance and the others' bursts
CROSS_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price


@dataclass(slots=True)
class Call:
    acct: Account
    kind: str  # units, slot or void
    window: int
    charge: float = 0.0
    ask: float = 0.0
    extra: float = 0.0  # for those that passed unasked
    spare: float = 0.0  # units of earlier calls that it makes use of
    job: Job | None = None

    @property
    def amount(self) -> float:
        return self.charge + self.ask + self.extra - self.spare


class Account:
    def __init__(self, req: messages.Request, plan: messages.Plan, born: float, now: float,
                 rng: random.Random) -> None:
        self.name, self.plan, self.spread, self.open_here = req.customer, plan, req.gateway_spread, 0
        self.thin = 0 < plan.burst < self.spread  # an even part of the burst is less than a unit
        self.length = plan.burst / plan.rate if plan.rate else 1.0
        self.phase = stable_hash(self.name, "phase") % 4096 / 4096 * self.length
        self.k = self.window(now)
        self.start = self.k * self.length + self.phase
        self.spare = 0.0  # units added here by calls whose answers were spoilt: ours, but not leased yet
        self.part = 1.0 / self.spread  # of the customer's use that passes here
        self.carried = 0.0  # part of the total that is no use in this window
        self.unsure = 0.0  # amount of calls without answer: it may have been added
        self.lease = self.uncharged = self.put = self.total = self.debt = self.used = self.last_used = 0.0
        self.call, self.full_until, self.seen_at, self.rng, self.dice = None, 0.0, now, rng, rng.random()
        self.waiting: list[str] = []
        self.known = True  # False: was forgotten within its windows, so what it used is to be asked for first
        # Ceiling: an even share, no failure can pass it; empty at a start: the last life's use is unknown.
        self.cap_at, self.cap = now, min(plan.ceiling_burst, (now - born) * plan.ceiling_rate) / self.spread
        self.promised = 0.0  # of it, to requests that wait for it to fill
        self.fills = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0  # s
        # By how much the store of what is sent on is fuller than that of what is granted: reserved units that
        # nobody has come for, as far as it has not filled up meanwhile; below 0 where they came late.
        self.ahead = 0.0
        self.heard, self.even, self.heard_at = 0.0, 0.0, now  # requests here lately; its quota's even part

    def note_request(self, now: float) -> float:
        """How its use compares with its quota, 1 at most, by the requests that came here lately: a gateway of
        many hears little from each customer, and of one far beyond its quota more than an even part. It is
        told before the request is counted. Harm: one that leans on this gateway is taken for one beyond."""
        fade = math.exp((self.heard_at - now) / HEARD_SPAN)
        self.even = self.even * fade + self.plan.rate / self.spread * HEARD_SPAN * (1 - fade)
        odds = min(1.0, (1 + self.even) / (1 + self.heard * fade))
        self.heard, self.heard_at = self.heard * fade + 1, now
        return odds

    def widen(self, spread: int) -> None:
        """Its requests and its checks may name sets of their own: the parts of all must not be more than the
        whole, so the larger set goes."""
        self.spread, self.thin = spread, 0 < self.plan.burst < spread
        self.cap = min(self.cap, self.plan.ceiling_burst / spread)
        self.ahead = min(self.ahead, self.plan.ceiling_burst / spread - self.cap)

    def window(self, now: float) -> int:
        return math.floor((now - self.phase) / self.length)

    def roll(self, now: float) -> None:
        """Turn to the window of `now`: leases lapse; what passed the burst is carried as debt."""
        k = self.window(now)
        if k == self.k:
            return
        if self.put > 0 and self.total - self.carried >= 1:  # the counter told what all passed
            part = min(1.0, self.used / (self.total - self.carried))
            self.part += PART_GAIN * (part - self.part)
        # Where an even part is less than a request, the few gateways that let one pass unasked say nothing of
        # the others: taken times the spread, one such request would be a debt of many windows, for all.
        passed = self.uncharged * (1 if self.thin else self.spread)
        debt = max(0.0, self.total + passed - self.plan.burst * (k - self.k))
        self.last_used = self.used if k == self.k + 1 else 0.0
        self.k, self.start = k, k * self.length + self.phase
        self.lease = self.uncharged = self.put = self.used = self.full_until = 0.0
        self.spare = self.unsure = 0.0
        self.carried = debt
        self.total, self.debt, self.dice = debt, debt, self.rng.random()

    def hold(self, now: float) -> float:
        """What all may have passed in this window. A thin customer's overdraft is not brought along, so one
        that has just had the burst of its last window would have another at the turn."""
        plan, since = self.plan, now - self.start
        if not self.thin:
            return plan.burst + plan.rate * since
        opened = min(1.0, OPENS + (1 - OPENS) * since / (OPEN_AT * self.length))
        return min(plan.burst, max(1.0, plan.burst * opened)) + REFILL * plan.rate * since

    def room(self, now: float) -> float:
        return min(self.plan.burst, self.hold(now) - self.total) - self.uncharged

    def allowance(self, now: float, silent: bool) -> float:
        """Of the room, what may pass here uncharged. While the counter is away that is the part that passed
        here before: a customer's traffic is uneven, and an even part refuses most of it. Harm: where it has
        just moved, the gateway that it left and the one that it came to may both pass theirs."""
        room = max(0.0, min(self.plan.burst, self.hold(now) - self.total))
        return room * max(self.part, 1 / self.spread) if silent else room / self.spread * ALLOW

    def block(self, c1: float) -> int:
        """w = sqrt(c1 A / c2); c2 is the chance that a unit left unspent here is missed elsewhere."""
        full = min(1.0, self.total / self.plan.burst)
        w = math.sqrt(c1 * max(self.last_used, self.used) / max(STRAND_MIN, full * full))
        return max(1, int(min(w, self.plan.burst, max(self.last_used, self.used, 1.0))))

    def ceiling_room(self, now: float, paid: bool = False) -> float:
        """`paid`: of what is sent on alone; else the store of what is granted has to have it too."""
        plan = self.plan
        if not plan.ceiling_rate:
            return math.inf
        self.fill(max(0.0, now - self.cap_at) * plan.ceiling_rate / self.spread)
        self.cap_at = max(now, self.cap_at)
        return self.cap + (self.ahead if paid else min(0.0, self.ahead)) if self.ahead else self.cap

    def ceiling_wait(self, now: float, units: float, paid: bool) -> float:
        """Seconds until its ceiling has room here for them, behind those that wait for it; inf: never."""
        lack = units + self.promised - self.ceiling_room(now, paid)
        if units > self.plan.ceiling_burst / self.spread:
            return math.inf if lack > 0 else 0.0
        return lack * self.spread / self.plan.ceiling_rate if lack > 0 else 0.0

    def fill(self, more: float) -> None:
        full = self.plan.ceiling_burst / self.spread
        cap = min(full, self.cap + more)
        if self.ahead:
            self.ahead = min(full, self.cap + self.ahead + more) - cap
        self.cap = cap


class Counter:
    def __init__(self, settings: messages.Settings) -> None:
        self.on = settings.has_counter
        self.timeout, self.price = settings.counter_timeout, settings.counter_price
        self.fails, self.retry_at = int(not self.on), 0.0
        count = settings.gateway_count
        self.slow = 0.5 * count / (count + CROWD_OF)  # many start as in a crowd

    def usable(self, now: float) -> bool:
        return self.on and now >= self.retry_at

    def chance(self, gain: float) -> float:
        """Chance that a call is made: the less it can change the decision, the sooner it gives way."""
        return min(1.0, gain / max(1e-9, self.price + CROWD_STEEP * max(0.0, self.slow - CROWDED)))

    def note(self, now: float, ok: bool, elapsed: float) -> None:
        self.slow += QUICK * ((min(1.0, elapsed / self.timeout) if ok else 1.0) - self.slow)
        if ok:
            self.fails = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.fails += 1
            self.retry_at = now + min(BACKOFF_MOST, self.timeout * 2.0 ** self.fails)


class Server:
    def __init__(self, host: messages.Endpoint, now: float, credit: float, out: dict) -> None:
        self.host, self.up, self.out = host, host.state == "up", out  # attempts out: when sent
        self.others, self.others_at, self.ratio = 0.0, -math.inf, 1.0  # ratio: time against the fleet's
        self.gone_at = math.inf
        # One that fails at once is always free and would draw requests from busy ones. Harm: after a chance
        # failure a sound host idles for a moment, and one that comes back is found TRIAL_MOST late.
        self.backoff = FailureBackoff(TRIAL_LEAST, TRIAL_MOST)  # of the host or a class there
        self.credit, self.credit_at = credit, now  # sends it may get from here while cold
        self.drawn = credit  # what is less than one of the attempts that may be out there, rounded by chance
        self.ring, self.near = stable_hash(host.id), False  # its place among all; in this gateway's subset
        self.places, self.at = 0, -1  # attempts out at once; where it stands among the free ones
        self.judged: dict[tuple[str, ...], tuple[float, float, float]] = {}  # until when, soundness, cost
        self.fresh, self.fresh_until, self.cross = 0.0, 0.0, 0.0  # weight of its report; price of its zone

    def warmth(self, now: float, rules: messages.Rules) -> float:
        age = max(0.0, now - self.host.started_at)
        cold = 0 < self.host.started_at and age < rules.slow_start_duration
        least = rules.initial_capacity
        return least + (1 - least) * age / rules.slow_start_duration if cold else 1.0


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
        self.mean = {c.name: min(c.latency_objective / 5, c.deadline) for c in settings.classes.values()}
        self.dev, self.seen = dict(self.mean), dict.fromkeys(self.mean, 0)
        self.rate, self.rate_at = 0.0, 0.0  # own sends a second
        self.usual = max(self.mean.values())  # time of an answer, whatever the class
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
            s.near, s.at = False, -1
        for s in self.near:
            s.near = True
        self.free, self.full_until = [s for s in self.near if len(s.out) < s.places], 0.0
        for n, s in enumerate(self.free):
            s.at = n

    def forget(self, now: float) -> None:
        """Hosts come under ever new ids: what is gone for long, with nothing out there, is dropped."""
        for name in [name for name, s in self.servers.items() if now - s.gone_at > GONE_MOST and not s.out]:
            del self.servers[name]
            self.doubt.forget(name)

    def moved(self, s: Server) -> None:
        """Its attempts out have changed: keeps `free` true, in one step whatever the size of the fleet."""
        self.full_until = 0.0
        if s.near and len(s.out) < s.places:
            if s.at < 0:
                s.at = len(self.free)
                self.free.append(s)
        elif s.at >= 0:
            last = self.free.pop()  # it takes the place that is left
            if last is not s:
                self.free[s.at], last.at = last, s.at
            s.at = -1

    def mean_held(self) -> float:
        return self.held if self.reports else self.out * self.set.gateway_count / max(1, len(self.up))

    def clear(self) -> bool:
        return self.mean_held() < ROOM_CLEAR * LIMIT_MOST * self.size.scale

    def own_rate(self, now: float) -> float:
        return self.rate * math.exp((self.rate_at - now) / RATE_SPAN)

    def patience(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        return max(TICK, self.mean[name] + COPY_AT * self.dev[name])

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
        s.ratio += QUICK * (min(event.elapsed / max(self.mean[cls.name], 1e-6), 10.0) - s.ratio)
        self.seen[cls.name] += 1
        gain, off = max(1 / self.seen[cls.name], GAIN), event.elapsed - self.mean[cls.name]
        self.mean[cls.name] += gain * off
        self.dev[cls.name] += gain * (abs(off) * (1 - gain) - self.dev[cls.name])


@dataclass(slots=True, eq=False)
class Job:
    req: messages.Request
    cls: messages.ServiceClass
    plan: messages.Plan
    acct: Account
    arrived: float
    deadline: float
    worth: float
    value: float  # worth a unit of work
    keys: FaultScope
    stage: str = "units"  # units, slot, queue, sent
    beyond: bool = False
    slot: int = 0  # open attempt held: own part -1, or the epoch of the shared count
    sends: int = 0
    streaming: bool = False
    kinds: tuple[str, ...] = ()  # of the hosts that its route keeps it to; none: any
    live: dict[int, tuple[str, float]] = field(default_factory=dict)
    ran: list[tuple[str, float]] = field(default_factory=list)  # ended, but may have run
    late: set[int] = field(default_factory=set)  # attempts whose silence was noted,
    left: set[int] = field(default_factory=set)  # and once more, past the time to try another
    avoid: set[str] = field(default_factory=set)
    done: bool = False
    check: bool = False  # goes to no host: its units are all that is asked for
    paid: bool = False  # a check has spent its units
    odds: float = 1.0  # that its customer's quota has room for it, as far as is known without asking
    over: bool = False  # refused for its customer's quota or ceiling


Lane = tuple[Any, ...]


class Queue:
    """Requests that wait for a host: the worthiest first, of equals the latest. Those in one lane may go to
    the same hosts, so the first of them speaks for all, and no look at the queue grows with its length."""

    def __init__(self) -> None:
        self.lanes: dict[Lane, list[tuple[bool, float, int, Job]]] = {}  # the first stands at the end
        self.live, self.size = 0, 0  # that wait; entries, those given up since among them
        self.number = itertools.count()

    def add(self, job: Job) -> None:
        """What is not proven not to have run, or was tried before, has fewer hosts left."""
        alone = (job.ran or job.live) and job.cls.effect != "safe"
        key = job.cls.name, job.kinds, frozenset(job.avoid), job.req.request_id if alone else ""
        bisect.insort(self.lanes.setdefault(key, []), (not job.beyond, job.value, next(self.number), job))
        self.live, self.size = self.live + 1, self.size + 1

    def given_up(self) -> None:
        """One that waits is done. It is left where it stands, till so are as many as wait."""
        self.live -= 1
        if self.size > 2 * self.live + FREED_AT_ONCE:
            left = ((key, [e for e in lane if not e[3].done]) for key, lane in self.lanes.items())
            self.lanes = {key: lane for key, lane in left if lane}
            self.size = self.live

    def head(self, key: Lane) -> tuple[bool, float, int, Lane] | None:
        """What orders the lane among others, the first of them least; None: it is empty, and gone."""
        lane = self.lanes[key]
        while lane and lane[-1][3].done:
            lane.pop()
            self.size -= 1
        if lane:
            return not lane[-1][0], -lane[-1][1], -lane[-1][2], key
        del self.lanes[key]
        return None

    def pop(self, key: Lane) -> None:
        self.lanes[key].pop()
        self.live, self.size = self.live - 1, self.size - 1

    def worst(self) -> Job | None:
        """The one that is worth least. It stays until it is done."""
        least = [next((e for e in lane if not e[3].done), None) for lane in self.lanes.values()]
        return min((e for e in least if e), default=(None,))[-1]


class Gateway:
    def __init__(self, settings: messages.Settings, seed: int, now: float) -> None:
        self.set, self.born, self.rng = settings, now, random.Random(seed)
        self.reach = max(TICK, settings.limits.connect_timeout)  # s until a repeat is at its host
        self.fleet, self.counter = Fleet(settings, self.rng), Counter(settings)
        kinds = ((plan, again) for plan in self.set.plans for again in (0, 1))
        self.uses = {kind: GrantShareEstimator(GRANT_PRIOR[kind[1]], GAIN) for kind in kinds}
        self.forgotten = Forgotten(settings.max_customers) if settings.max_customers else None
        self.accounts: dict[str, Account] = {}  # in order of their last request
        self.jobs, self.queue = dict[str, Job](), Queue()
        self.calls: dict[int, list[Call]] = {}  # by counter key, in order
        self.budget = RETRY_START / settings.gateway_count
        self.top = max(c.priority_weight for c in settings.classes.values())
        self.due: list[tuple[float, str]] = []  # when which job is to be looked at
        self.timer_at = self.watch_at = math.inf
        self.trial_at = 0.0  # when the queue is looked at for a host's next trial
        self.pass_share, self.pass_at, self.worth = 1.0, now, 0.0  # worth: running mean of a request's
        self.ranks: deque[float] = deque(maxlen=64)  # values of the latest requests
        self.levels: dict[tuple[str, str], FaultScope] = {}  # by class and plan
        self.retired_at = math.inf  # since when another process fills this gateway's part of the ceilings
        self.out: list[messages.Action] = []

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        self.out = []
        match event:
            case messages.Request():
                self.request(now, event)
            case messages.AttemptOutcome():
                self.outcome(now, event)
            case messages.CounterResult():
                self.counted(now, event)
            case messages.TimerExpired():
                self.tick(now)
            case messages.EndpointList():
                self.fleet.listed(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.set.discovery_mode == "ask":
                    self.out.append(messages.WatchEndpoints(True))
            case messages.StreamStarted() if event.request_id in self.jobs:
                self.jobs[event.request_id].streaming = True
            case messages.ClientDisconnected() if event.request_id in self.jobs:
                self.close(now, self.jobs[event.request_id])
            case messages.RejectedByPlugin():
                self.out.append(messages.Reject(event.request_id, self.told_wait(event.retry_after)))
            case messages.ReturnUnits():
                self.give_back(now, event)
            case messages.EvacuateZones():
                self.fleet.sites.left = frozenset(event.zones)
                self.fleet.settle(now)
            case messages.DrainGateway():
                self.retired_at = now if event.is_draining else math.inf
        self.drain_queue(now)
        while self.due and self.due[0][1] not in self.jobs:
            heapq.heappop(self.due)
        trial = self.trial_at if self.queue.live and self.trial_at > now else math.inf
        at = min(self.due[0][0] if self.due else math.inf, self.watch_at, trial)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.out.append(messages.SetTimer(max(0.0, at - now), 0))
        return self.out

    def request(self, now: float, req: messages.Request) -> None:
        cls, plan = self.set.classes[req.service_class], self.set.plans[req.plan]
        kind = type(req)
        if kind is messages.CustomLimitCheck:
            plan = req.limit
        acct = self.accounts.pop(req.customer, None)
        if acct is None:
            if 0 < self.set.max_customers <= len(self.accounts) and not self.forget_one(now):
                wait = self.told_wait(1.0)
                is_check = isinstance(req, messages.QuotaCheck)
                self.out.append(messages.QuotaDenied(req.request_id, False, wait, 0.0, 0.0) if is_check
                                else messages.Reject(req.request_id, wait))
                return
            acct = Account(req, plan, self.born, min(now, self.retired_at), self.rng)
            acct.known = self.forgotten is None or not self.forgotten.has(now, req.customer)
        elif req.gateway_spread > acct.spread:
            acct.widen(req.gateway_spread)
        self.accounts[req.customer], acct.seen_at = acct, now
        self.free_accounts(now)
        units = min(req.units, self.set.max_units)  # a check may ask for any number
        worth = cls.priority_weight * plan.price_weight * units
        self.worth += (GAIN if self.worth else 1.0) * (worth - self.worth)
        keys = self.levels.get((req.service_class, req.plan))
        if keys is None:
            keys = FaultScope(("host", "class " + cls.name, "plan " + plan.name))
            self.levels[req.service_class, req.plan] = keys
        job = self.jobs[req.request_id] = Job(req, cls, plan, acct, now, now + req.remaining, worth,
                                      worth / max(self.fleet.mean[cls.name], 1e-6), keys)
        if kind is not messages.Request:
            job.check, job.paid = isinstance(req, messages.QuotaCheck), kind is messages.PrepaidRequest
        route = self.set.routes.get(req.route) if req.route else None
        kinds = route.endpoint_kinds if route else ()
        if route and not (route.fallback and all(s.host.kind not in kinds for s in self.fleet.up)):
            job.kinds = kinds
        if req.remaining < 2 * TICK or self.shed(now, job):  # no check would come round in time, or no room
            self.refuse(now, job, 0.0)
        elif (wait := acct.ceiling_wait(min(now, self.retired_at), req.units, job.paid)) > self.bears(job):
            job.over = True
            self.refuse(now, job, wait)
        elif plan.rate and not job.paid:
            self.want_units(now, job)
        else:
            self.want_slot(now, job)

    def free_accounts(self, now: float) -> None:
        """Many customers come only once. Past its windows an account tells no more than a new one would."""
        if now - next(iter(self.accounts.values())).seen_at <= IDLE_MOST:  # the usual case
            return
        for oldest in list(itertools.islice(self.accounts.values(), FREED_AT_ONCE)):
            if now - oldest.seen_at <= max(IDLE_MOST, 3 * oldest.length, oldest.fills):
                return
            del self.accounts[oldest.name]
            if oldest.call or oldest.open_here or oldest.waiting:  # a busy one holds up none behind it
                self.accounts[oldest.name], oldest.seen_at = oldest, now

    def forget_one(self, now: float) -> bool:
        """Ever new customers must not take all memory: the one that came last longest ago goes, within its
        windows too. What it used unasked is told to the counter, as far as that is worth a call, and it is
        asked about when it comes again. It stays while something is out for it, or its ceiling's store would
        come back fuller than it is. Harm: its overdraft of a window is not brought along, so one that is
        forgotten in each has up to twice its rate; and while the counter is away it has its even part each
        time."""
        for acct in list(itertools.islice(self.accounts.values(), FREED_AT_ONCE)):
            del self.accounts[acct.name]
            full = acct.plan.ceiling_burst / acct.spread - ROUNDING
            ceiling = acct.ceiling_room(min(now, self.retired_at))
            if acct.call or acct.open_here or acct.waiting or ceiling < full:
                self.accounts[acct.name], acct.seen_at = acct, now  # behind the others
                continue
            acct.roll(now)
            if self.forgotten is not None and acct.plan.rate:
                self.forgotten.add(now, acct.name)
            told = self.counter.usable(now) and self.rng.random() < self.counter.chance(SIDE_CALL)
            if acct.uncharged >= 2.0 and told:  # one for each that comes once would be a flood there
                self.count(stable_hash(acct.name, acct.k), acct.uncharged, 3 * acct.length,
                           Call(acct, "void", acct.k, extra=acct.uncharged))
            return True
        return False

    def shed(self, now: float, job: Job) -> bool:
        """While answers come from servers that hold too much, what is worth least a unit of work is refused,
        whatever the cause: one gateway of many has too few out for a limit of its own to relieve them."""
        ranks = self.ranks
        ranks.append(job.value)
        step, fleet, self.pass_at = now - self.pass_at, self.fleet, now
        if fleet.pressure * math.exp(min(0.0, (fleet.answer_at + 1 - now) / PRESS_SPAN)) > PRESSED:
            self.pass_share = max(SHED_LEAST, self.pass_share * math.exp(-SHED_FAST * min(step, 1.0)))
        else:
            self.pass_share = min(1.0, self.pass_share + SHED_BACK * step)
        luck, many = self.rng.random(), self.set.gateway_count > LIMIT_MOST
        most = (1 - self.pass_share) * len(ranks) * many
        return most > 0 and luck * ranks.count(job.value) + sum(v < job.value for v in ranks) < most

    def kept(self, job: Job) -> float:
        """Kept for classes that earn more with a unit; binds near the end of a quota only."""
        return RESERVE * job.plan.burst * (1 - job.cls.priority_weight / self.top) if self.top else 0.0

    def spare(self, now: float, job: Job) -> float:
        return job.acct.room(now) - self.kept(job) - job.req.units

    def take_units(self, now: float, job: Job, ask: bool) -> bool:
        acct, units = job.acct, job.req.units
        if self.spare(now, job) + acct.lease < 0:
            return False
        left = acct.allowance(now, self.counter.fails > 0) - acct.uncharged
        if ask and not acct.known and self.counter.usable(now):
            left = -1.0
        if acct.lease >= units:
            acct.lease -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif acct.room(now) >= units and left >= units * (1 - acct.dice):
            acct.uncharged += units
        else:
            return False
        acct.used += units
        self.want_slot(now, job)
        return True

    def want_units(self, now: float, job: Job) -> None:
        job.acct.roll(now)
        job.odds = job.acct.note_request(now) * self.uses[job.plan.name, job.req.is_retry].share
        gain = job.worth / max(self.worth, 1e-9) * min(job.odds, self.mistake(job))
        chance = self.counter.chance(gain)
        self.decide(now, job, self.rng.random() < chance)
        self.renew(now, job.acct, min(SAMPLE_MOST, 1 / max(chance, 1e-9)))  # for those unasked too

    def decide(self, now: float, job: Job, ask: bool) -> None:
        acct, room = job.acct, job.acct.room(now)
        if self.take_units(now, job, ask):
            return
        if now < acct.full_until or self.spare(now, job) < 0:
            self.beyond(now, job, (job.req.units - room) / acct.plan.rate)
        elif ask and self.counter.usable(now):
            acct.waiting.append(job.req.request_id)
            self.look(now + 2 * self.counter.timeout + TICK, job)
        else:
            self.unasked(now, job)

    def mistake(self, job: Job) -> float:
        """What it costs in the mean to let it pass, in its worth."""
        return (1 - job.odds) * max(LOAD_COST, job.plan.over_quota_cost - job.plan.over_quota_weight)

    def unasked(self, now: float, job: Job) -> None:
        """The counter is away, or has no time for it. Of a thin customer each gateway's part is less than a
        request, so the odds decide: they are against one that comes here often. Harm: while the counter is
        away first requests of all pass."""
        if job.acct.thin and job.odds > self.mistake(job):
            job.acct.used += job.req.units
            self.want_slot(now, job)
        else:
            self.beyond(now, job, 0.0)

    def renew(self, now: float, acct: Account, factor: float = 1.0) -> None:
        if acct.call is not None or not self.counter.usable(now):
            return
        need = sum(self.jobs[i].req.units for i in acct.waiting if i in self.jobs)
        w, room = acct.block(self.counter.price + CROWD * self.counter.slow ** 2), acct.room(now)
        more = acct.lease < w / 2 and room > w * acct.spread and now >= acct.full_until
        due = acct.uncharged > max(1.0, CHARGE_AT * acct.allowance(now, False))
        if not (need or due or (acct.put and more)):
            return
        ask = max(need, w) - acct.lease if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + acct.uncharged <= 0:
            self.settle_waiting(now, acct)
            return
        call = acct.call = Call(acct, "units", acct.k, acct.uncharged, ask, need * (factor - 1),
                                spare=acct.spare)
        acct.total += acct.uncharged
        acct.uncharged = acct.spare = 0.0
        self.count(stable_hash(acct.name, acct.k), call.amount, 3 * acct.length, call)

    def count(self, name: int, amount: float, life: float, call: Call) -> None:
        self.calls.setdefault(name, []).append(call)
        self.out.append(messages.AddToCounter(name, amount, min(60.0, max(life, 1.0))))

    def counted(self, now: float, event: messages.CounterResult) -> None:
        if event.counter_key not in self.calls:
            return
        call, *rest = self.calls.pop(event.counter_key)
        self.calls.update({event.counter_key: rest} if rest else {})
        ok, acct = event.result == "ok", call.acct
        # A spoilt answer, or a line that broke before the time was up, says nothing of the next call.
        early = event.result == "timeout" and event.elapsed < CALL_SPOILT * self.counter.timeout
        if event.result != "spoilt" and not early:
            self.counter.note(now, ok, event.elapsed)
        if call.kind == "units":
            acct.call, acct.known = None, True
            acct.roll(now)
            if call.window == acct.k and ok:
                self.granted(now, acct, event.total, call)
            elif call.window == acct.k and event.result == "spoilt":
                acct.put += call.amount  # surely added: what was asked for is used up by the next call
                acct.spare += call.ask
            elif call.window == acct.k and event.result != "timeout":
                acct.uncharged += call.charge  # surely not added: the charge is still owed
                acct.total -= call.charge
                acct.spare += call.spare
            elif call.window == acct.k:
                acct.unsure += call.amount
            self.settle_waiting(now, acct)
        elif call.kind == "slot":
            self.slot_counted(now, event, call)
        elif call.window == acct.k and event.result not in ("ok", "spoilt"):
            acct.put -= call.amount  # else what never came into the count would be taken for lost from it
            acct.unsure += call.amount * (event.result == "timeout")

    def granted(self, now: float, acct: Account, total: float, call: Call) -> None:
        mine, extra, slack = call.amount, 0.0, ROUNDING * max(1.0, total)
        if total < acct.put + mine - slack:  # less than what is ours alone: counts were lost; add ours again
            extra, acct.put = acct.put, 0.0  # the new count holds nothing else of ours
        elif total <= acct.put + mine + acct.unsure + slack:
            extra, acct.debt = acct.debt, 0.0  # who finds none but its own brings the overdraft along
        if not acct.thin:  # the store holds a burst at most: what a quiet customer let run over is gone
            surplus = max(0, int(acct.hold(now) - acct.plan.burst - (total + extra - call.ask)))
            extra, acct.carried = extra + surplus, acct.carried + surplus
        jobs = [self.jobs[i] for i in acct.waiting if i in self.jobs]
        kept = min((self.kept(j) for j in jobs), default=0.0)
        over = min(call.ask, max(0.0, math.ceil(total + extra + kept - acct.hold(now))))
        acct.put += mine + extra - over
        acct.total = total + extra - over
        acct.lease += call.ask - over
        need = sum(j.req.units for j in jobs)
        if need:
            use = self.uses[acct.plan.name, jobs[0].req.is_retry]
            use.observe(need, min(need, acct.lease))
        if self.rng.random() < self.counter.chance(SIDE_CALL):  # in a crowd the excess stays counted
            extra -= over
        if extra:
            self.count(stable_hash(acct.name, acct.k), extra, 3 * acct.length,
                       Call(acct, "void", acct.k, extra=extra))

    def settle_waiting(self, now: float, acct: Account) -> None:
        waiting, acct.waiting = acct.waiting, []
        jobs = [self.jobs[i] for i in waiting if i in self.jobs]
        for job in sorted(jobs, key=lambda j: -j.worth / max(j.req.units, 1e-9)):
            if acct.room(now) + acct.lease < job.req.units:
                wait = max(0.0, 1 - acct.room(now)) / acct.plan.rate
                crowd = self.counter.slow > CROWDED  # others wait for the same unit: no call until the turn
                acct.full_until = acct.start + acct.length if crowd else now + wait
            self.decide(now, job, not self.counter.fails > 0)
        if acct.waiting:
            self.renew(now, acct)

    def want_slot(self, now: float, job: Job, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        acct, plan = job.acct, job.plan
        job.stage = "slot"
        if job.check or not plan.concurrency_limit:  # there is no limit to hold
            self.enqueue(now, job)
            return
        own, shared = divmod(plan.concurrency_limit, acct.spread)
        rate = max(acct.total, acct.used) / max(now - acct.start, acct.length / 4)
        mean = min(rate, plan.rate or rate) / max(job.req.units, 1e-9) * self.fleet.mean[job.cls.name]
        over = 1 - sum(mean ** n * math.exp(-mean) / math.factorial(n) for n in range(plan.concurrency_limit))
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_weight)
        if acct.open_here < own:
            job.slot = -1
            acct.open_here += 1
        elif shared and ask and self.counter.usable(now) and (
                self.rng.random() < self.counter.chance(max(over, SIDE_CALL) * cost)):
            self.count_open(acct, int(now / OPEN_EPOCH) + 1, 1, job)
            self.look(job.deadline, job)
            return
        elif plan.concurrency_limit and (plan.concurrency_limit >= acct.spread or over * cost >= 1 - over):
            self.beyond(now, job, 0.0)
            return
        self.enqueue(now, job)

    def count_open(self, acct: Account, epoch: int, amount: int, job: Job | None = None) -> None:
        call = Call(acct, "slot" if job else "void", epoch, job=job)
        self.count(stable_hash("open", acct.name, epoch), amount, 2 * OPEN_EPOCH, call)

    def slot_counted(self, now: float, event: messages.CounterResult, call: Call) -> None:
        job, acct, ok = call.job, call.acct, event.result == "ok"
        if ok and (job.done or event.total > acct.plan.concurrency_limit % acct.spread):
            self.count_open(acct, call.window, -1)
        if ok and not job.done and event.total > acct.plan.concurrency_limit % acct.spread:
            self.beyond(now, job, 0.0)
        elif not job.done:
            job.slot = call.window if ok else 0
            self.enqueue(now, job) if ok else self.want_slot(now, job, False)

    def beyond(self, now: float, job: Job, wait: float) -> None:
        pays = job.plan.over_quota_weight > job.plan.over_quota_cost
        if pays and self.fleet.clear() and not self.queue.live:
            job.beyond = True
            self.enqueue(now, job)
        else:
            job.over = True
            self.refuse(now, job, wait)

    def enqueue(self, now: float, job: Job) -> None:
        acct, units = job.acct, job.req.units
        wait = acct.ceiling_wait(min(now, self.retired_at), units, job.paid)
        if wait > self.bears(job):
            job.over = True
            self.refuse(now, job, 0.0)
            return
        if wait > 0:  # an even part of it fills slowly, and a customer's requests come in bunches
            acct.promised += units
            job.stage = "ceiling"
            self.look(now + max(TICK, wait), job)  # a look that comes at once would come for ever
            return
        if job.paid:
            acct.ahead -= units
        else:
            acct.cap -= units  # spent before sending
            if type(job.req) is messages.QuotaReservation:
                acct.ahead += units
        if job.check:
            self.out.append(messages.QuotaGranted(job.req.request_id, *self.left(now, job), acct.k))
            self.close(now, job)
            return
        if not self.queue.live and self.fleet.room(now) and self.send(now, job):  # the usual case
            self.earn()
            return
        self.line_up(job)
        most = max(QUEUE_LEAST, self.fleet.own_rate(now) * QUEUE_HOLD * job.cls.latency_objective)
        if self.queue.live > most and (worst := self.queue.worst()) is not None:
            self.refuse(now, worst, 0.0)
        self.drain_queue(now)
        if job.stage == "queue" and not job.done:
            self.look(job.arrived + self.hold(job), job)

    def bears(self, job: Job) -> float:
        """How long it may wait for its customer's ceiling, where an even part of that is thin. A check is
        answered at once, and so is what comes while another process fills this gateway's part."""
        thin = job.plan.ceiling_burst < CEILING_THIN * job.acct.spread
        may_wait = thin and not job.check and self.retired_at == math.inf
        return CEILING_HOLD * job.cls.latency_objective if may_wait else 0.0

    def line_up(self, job: Job) -> None:
        job.stage = "queue"
        self.queue.add(job)

    def hold(self, job: Job) -> float:
        """How long after its arrival a request may wait for a server. One whose attempt failed may do so till
        it is worth nothing or its refusal comes late: a client that comes again is served later still."""
        aim = job.cls.latency_objective
        return min(aim, (job.deadline - job.arrived) / 2) if job.sends else QUEUE_HOLD * aim

    def left(self, now: float, job: Job) -> tuple[float, float]:
        """Units left to its class, as far as is known here, and seconds until its customer's window turns."""
        acct = job.acct
        if not acct.plan.rate:
            return math.inf, 0.0
        acct.roll(now)
        unused = min(acct.plan.burst, acct.hold(now) - acct.total + acct.lease - acct.uncharged)
        return max(0.0, unused - self.kept(job)), acct.start + acct.length - now

    def give_back(self, now: float, event: messages.ReturnUnits) -> None:
        acct = self.accounts.get(event.customer)
        if acct is None:  # forgotten since, and its ceiling's store was full then
            return
        acct.roll(now)
        if acct.plan.rate and acct.k == event.window_index:
            acct.lease += event.units
            acct.used -= event.units
        sent = acct.cap + acct.ahead
        acct.fill(event.units)
        if type(event) is messages.ReturnReservation:  # what is sent on was never charged with it
            acct.ahead = sent - acct.cap

    def refuse(self, now: float, job: Job, wait: float) -> None:
        if job.check:
            told = self.told_wait(wait), *self.left(now, job)
            self.out.append(messages.QuotaDenied(job.req.request_id, job.over, *told))
            self.close(now, job)
            return
        ran = job.cls.effect != "safe" and (job.cls.effect, job.cls.deduplication_scope) != ("keyed", "all")
        if not (ran and (job.ran or job.live)):
            self.out.append(messages.Reject(job.req.request_id, self.told_wait(wait)))
        else:
            self.out.append(messages.Fail(job.req.request_id))
        self.close(now, job)

    def told_wait(self, wait: float) -> float:
        most = self.set.limits.max_retry_after if self.set.limits.can_tell_retry_after else 0.0
        return min(max(wait, 0.0), most)

    def close(self, now: float, job: Job) -> None:
        job.done = True
        if job.stage == "queue":
            self.queue.given_up()
        elif job.stage == "ceiling":
            job.acct.promised -= job.req.units
        self.jobs.pop(job.req.request_id, None)
        for number in job.live if self.set.limits.can_cancel else ():
            self.out.append(messages.CancelAttempt(job.req.request_id, number))
        if job.slot > 0:
            self.count_open(job.acct, job.slot, -1)
        job.acct.open_here -= job.slot < 0

    def fits(self, job: Job, s: Server, now: float) -> bool:
        if job.kinds and s.host.kind not in job.kinds:
            return False
        unproven = job.ran + list(job.live.values())
        if s.host.id in job.avoid or not unproven or job.cls.effect == "safe":
            return s.host.id not in job.avoid
        until = min(t for _, t in unproven) + job.cls.deduplication_window - self.reach
        if job.cls.effect == "unsafe" or now >= until:
            return False
        if any(h not in self.fleet.servers for h, _ in unproven):
            return False
        known, scope = [self.fleet.servers[h].host for h, _ in unproven], job.cls.deduplication_scope
        return all(scope == "all" or (h.zone == s.host.zone if scope == "zone" else h.cell == s.host.cell)
                   for h in known)

    def choose(self, now: float, job: Job) -> Server | None:
        fits = (lambda x: self.fits(job, x, now)) if job.avoid or job.kinds else None
        best = self.fleet.pick(now, job.keys, fits)
        return best if best is not None or not job.sends else self.fleet.farther(now, job.keys, fits)

    def send(self, now: float, job: Job) -> bool:
        if job.sends >= self.set.limits.max_attempts or job.streaming:
            return False
        s = self.choose(now, job) if self.set.limits.can_hedge or not job.live else None
        if s is None:
            return False
        self.out.append(messages.ForwardRequest(job.req.request_id, s.host.id))
        job.live[job.sends] = (s.host.id, now)
        self.fleet.sent(s, (job.req.request_id, job.sends), now)
        job.sends += 1
        job.avoid.add(s.host.id)
        job.stage = "sent"
        self.look(now + self.fleet.patience(job.cls.name), job)
        return True

    def earn(self) -> None:
        """Each first send allows for a part of a retry."""
        share = RETRY_SPARE if self.fleet.clear() else RETRY_SHARE
        self.budget = min(max(2.0, RETRY_MOST / self.set.gateway_count), self.budget + share)

    def drain_queue(self, now: float) -> None:
        queue = self.queue
        if not queue.live:
            return
        lanes = list(queue.lanes) if self.fleet.room(now) else ()
        heads = [head for key in lanes if (head := queue.head(key))]
        heapq.heapify(heads)
        while heads:
            key = heads[0][-1]
            job = queue.lanes[key][-1][-1]
            first = not job.sends
            if not self.send(now, job):  # nor could what stands behind it
                heapq.heappop(heads)
                continue
            if first:
                self.earn()
            queue.pop(key)
            head = queue.head(key)
            heapq.heapreplace(heads, head) if head else heapq.heappop(heads)
        if queue.live and self.trial_at <= now:  # no other event may come when a host's rest is over
            trials = [at for s in self.fleet.resting if s.up for _, at in s.backoff.pauses() if at > now]
            self.trial_at = min(trials, default=0.0)

    def outcome(self, now: float, event: messages.AttemptOutcome) -> None:
        job = self.jobs.get(event.request_id)
        self.fleet.answered(now, event, job.cls if job else None, job.keys if job else ("host",))
        if job is None:
            return
        sent = job.live.pop(event.attempt, None)
        if event.actual_units and self.set.settles_units and job.plan.rate and not job.beyond:
            job.acct.uncharged += event.actual_units - job.req.units
        if event.is_final:
            self.close(now, job)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            job.ran.append(sent)
        if job.live:
            return
        cost = {"connect_failed": 0.0, "full": RETRY_FULL}.get(event.result, 1.0)
        late = now + max(TICK, self.fleet.mean[job.cls.name]) > job.deadline or event.result == "moot"
        if late or self.budget < cost:
            self.refuse(now, job, 0.0)
        elif self.send(now, job):
            self.budget -= cost
        elif event.result in ("connect_failed", "full", "reset") and self.may_wait(now, job):
            # All are busy: no reason to give up what was refused or lost. What was silent or erred has had
            # its time at a host, and in overload would take that of others.
            self.budget -= cost
            self.line_up(job)
            self.look(job.arrived + self.hold(job), job)
        else:
            self.refuse(now, job, 0.0)

    def may_wait(self, now: float, job: Job) -> bool:
        more = not job.streaming and job.sends < self.set.limits.max_attempts
        more = more and now < job.arrived + self.hold(job)
        return more and any(self.fits(job, s, now) for s in self.fleet.up)

    def look(self, at: float, job: Job) -> None:
        heapq.heappush(self.due, (min(at, job.deadline - 2 * TICK), job.req.request_id))

    def tick(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.out.append(messages.WatchEndpoints(True))
        while self.due and self.due[0][0] <= now + 1e-6:
            name = heapq.heappop(self.due)[1]
            if name in self.jobs:
                self.check(now, self.jobs[name])

    def check(self, now: float, job: Job) -> None:
        ending = now >= job.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": self.hold(job)}.get(job.stage, math.inf)
        if job.stage == "ceiling" and not ending:
            job.acct.promised -= job.req.units
            job.stage = "slot"
            self.enqueue(now, job)
        elif job.stage != "sent" and (ending or now - job.arrived >= most - 1e-6):
            self.refuse(now, job, 0.0)
        elif job.stage == "sent" and not ending and not job.streaming:
            self.late(now, job)

    def late(self, now: float, job: Job) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause, but not before that has just time to be answered within the aim. Of many gateways each knows
        too little of usual times to tell silent from slow, and a slow one given up has its work done twice,
        on a new connection. Harm: one more attempt is all that the aim has time for."""
        patience = self.fleet.patience(job.cls.name) - TICK
        late = [n for n, (_, sent) in job.live.items() if now - sent >= patience]
        for number in set(late) - job.late:
            silent = self.fleet.servers[job.live[number][0]]  # it holds no other's place
            self.fleet.drop(silent, (job.req.request_id, number))
            self.fleet.doubt.note(silent.host.id, job.keys, True, now)
            self.fleet.sites.silent(silent.host.zone, silent.host.id, now)
            silent.judged.clear()
        job.late.update(late)
        mean, dev = self.fleet.mean[job.cls.name], self.fleet.dev[job.cls.name]
        leave = min(job.arrived + job.cls.latency_objective, job.deadline) - mean - dev
        self.look(max(now + 2 * TICK, min(now + dev, leave) if now < leave else now + dev), job)
        if now < leave - TICK:
            return
        # Hardly any is so late at a sound host; where few gateways share all hosts they learn fast as it is.
        for number in set(late) - job.left if len(self.fleet.near) < len(self.fleet.up) else ():
            self.fleet.doubt.note(job.live[number][0], job.keys, True, now)
            self.fleet.servers[job.live[number][0]].judged.clear()
        job.left.update(late)
        if not late or len(job.live) > 1 or job.cls.effect == "unsafe" or self.budget < 1.0:
            return
        if self.set.limits.can_hedge:
            self.budget -= self.send(now, job)
        elif not self.fleet.clear():
            return  # all are slow: another one would wait as long, and the work done at this host is lost
        elif self.set.limits.can_cancel and job.sends < self.set.limits.max_attempts:
            if self.choose(now, job):  # the outcome of this one starts the next attempt
                self.out.append(messages.CancelAttempt(job.req.request_id, late[0]))
