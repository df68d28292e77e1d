"""The decisions of the gateway. Types, events and actions: messages.py. No clock, no I/O.

What a gateway may do by itself is its part of an amount for all; less than one is a credit or a chance."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass

from apigateway import messages
from apigateway.hashing import Forgotten, stable_hash
from apigateway.policy.counter_health import CROWDED, Counter
from apigateway.policy.customer_quota import Account
from apigateway.policy.endpoint import Server
from apigateway.policy.endpoint_pool import GAIN, LIMIT_MOST, PRESS_SPAN, TICK, Fleet
from apigateway.policy.pending_queue import Job, PendingQueue
from apigateway.routing.fault_scope import FaultScope
from apigateway.routing.grant_share import GrantShareEstimator

CHARGE_AT = 0.5  # part of what may pass uncharged which is then charged
RESERVE = 0.2  # share of a burst kept from the class worth least a unit, for the one worth most
CROWD = 0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
SIDE_CALL = 0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
SAMPLE_MOST = 4.0  # a sampled charge stands for so many at most: more makes the count jump
GRANT_PRIOR = (0.5, 0.3)  # share of first tries and of repeats taken to be granted, before any was
LOAD_COST = 0.2  # least cost of a unit sent on beyond quota, in its worth: it loads what all share
CEILING_HOLD, CEILING_THIN = 0.3, 4.0  # share of the aim that a request may wait for its customer's ceiling
# to fill here; units of an even part of it, below which it may
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
ROUNDING = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference
CALL_SPOILT = 0.9  # part of the time-out before which a call without answer was lost with its line
OPEN_EPOCH, IDLE_MOST = 5.0, 30.0  # s; life of a count of open attempts; least life of an idle account
FREED_AT_ONCE = 4  # idle accounts looked at with each request: more than come, so that they never pile up
PRESSED = 0.5  # part of answers from congested servers that sheds work
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
RETRY_START, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


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


class Gateway:
    def __init__(self, settings: messages.Settings, seed: int, now: float) -> None:
        self.set, self.born, self.rng = settings, now, random.Random(seed)
        self.reach = max(TICK, settings.limits.connect_timeout)  # s until a repeat is at its host
        self.fleet, self.counter = Fleet(settings, self.rng), Counter(settings)
        kinds = ((plan, again) for plan in self.set.plans for again in (0, 1))
        self.uses = {kind: GrantShareEstimator(GRANT_PRIOR[kind[1]], GAIN) for kind in kinds}
        self.forgotten = Forgotten(settings.max_customers) if settings.max_customers else None
        self.accounts: dict[str, Account] = {}  # in order of their last request
        self.jobs, self.queue = dict[str, Job](), PendingQueue()
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
        trial = self.trial_at if self.queue.waiting_count and self.trial_at > now else math.inf
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
                                      worth / max(self.fleet.response_times[cls.name].mean, 1e-6), keys)
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
        taken = self.fleet.response_times[job.cls.name].mean
        mean = min(rate, plan.rate or rate) / max(job.req.units, 1e-9) * taken
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
        if pays and self.fleet.clear() and not self.queue.waiting_count:
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
        if not self.queue.waiting_count and self.fleet.room(now) and self.send(now, job):  # the usual case
            self.earn()
            return
        self.line_up(job)
        most = max(QUEUE_LEAST, self.fleet.own_rate(now) * QUEUE_HOLD * job.cls.latency_objective)
        if self.queue.waiting_count > most and (worst := self.queue.lowest_priority()) is not None:
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
            self.queue.discard()
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
        if not queue.waiting_count:
            return
        routes = list(queue.queues_by_route) if self.fleet.room(now) else ()
        heads = [head for route in routes if (head := queue.head(route))]
        heapq.heapify(heads)
        while heads:
            route = heads[0][-1]
            job = queue.first(route)
            first = not job.sends
            if not self.send(now, job):  # nor could what stands behind it
                heapq.heappop(heads)
                continue
            if first:
                self.earn()
            queue.pop(route)
            head = queue.head(route)
            heapq.heapreplace(heads, head) if head else heapq.heappop(heads)
        if queue.waiting_count and self.trial_at <= now:  # no other event may come when a host's rest is over
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
        taken = max(TICK, self.fleet.response_times[job.cls.name].mean)
        late = now + taken > job.deadline or event.result == "moot"
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
        times = self.fleet.response_times[job.cls.name]
        leave = min(job.arrived + job.cls.latency_objective, job.deadline) - times.mean - times.deviation
        after = now + times.deviation
        self.look(max(now + 2 * TICK, min(after, leave) if now < leave else after), job)
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
