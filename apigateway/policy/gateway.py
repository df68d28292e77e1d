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
from apigateway.hashing import RecentlyEvictedFilter, stable_hash
from apigateway.policy.counter_health import CROWDED, CounterHealth
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.endpoint import EndpointState
from apigateway.policy.endpoint_pool import CONGESTION_SPAN, GAIN, LIMIT_MOST, TICK, EndpointPool
from apigateway.policy.pending_queue import PendingQueue, PendingRequest
from apigateway.routing.fault_scope import FaultScope
from apigateway.routing.grant_share import GrantShareEstimator

CHARGE_AT = 0.5  # part of what may pass uncharged which is then charged
RESERVE = 0.2  # share of a burst kept from the class worth least a unit, for the one worth most
CROWD = 0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
SIDE_CALL = 0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
MAX_SAMPLE = 4.0  # a sampled charge stands for so many at most: more makes the count jump
GRANT_PRIOR = (0.5, 0.3)  # share of first tries and of repeats taken to be granted, before any was
LOAD_COST = 0.2  # least cost of a unit sent on beyond quota, in its worth: it loads what all share
CEILING_HOLD, CEILING_THIN = 0.3, 4.0  # share of the aim that a request may wait for its customer's ceiling
# to fill here; units of an even part of it, below which it may
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for an endpoint; requests that always may
ROUNDING = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference
CALL_SPOILT = 0.9  # part of the time-out before which a call without answer was lost with its line
OPEN_EPOCH, IDLE_MOST = 5.0, 30.0  # s; life of a count of open attempts; least life of an idle account
FREED_AT_ONCE = 4  # idle quotas looked at with each request: more than come, so that they never pile up
SHED_AT = 0.5  # part of answers from congested endpoints that sheds work
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
START_RETRY, MAX_RETRY = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


@dataclass(slots=True)
class CounterCall:
    quota: CustomerQuota
    kind: str  # units, slot or void
    window: int
    charge: float = 0.0
    ask: float = 0.0
    extra: float = 0.0  # for those that passed unasked
    spare: float = 0.0  # units of earlier calls that it makes use of
    pending: PendingRequest | None = None

    @property
    def amount(self) -> float:
        return self.charge + self.ask + self.extra - self.spare


class Gateway:
    def __init__(self, settings: messages.Settings, seed: int, now: float) -> None:
        self.settings, self.started_at, self.rng = settings, now, random.Random(seed)
        self.connect_time = max(TICK, settings.limits.connect_timeout)  # s until a repeat is at its host
        self.pool, self.counter = EndpointPool(settings, self.rng), CounterHealth(settings)
        kinds = ((plan, again) for plan in self.settings.plans for again in (0, 1))
        self.grant_shares = {kind: GrantShareEstimator(GRANT_PRIOR[kind[1]], GAIN) for kind in kinds}
        self.evicted = RecentlyEvictedFilter(settings.max_customers) if settings.max_customers else None
        self.quotas: dict[str, CustomerQuota] = {}  # in order of their last request
        self.pending, self.queue = dict[str, PendingRequest](), PendingQueue()
        self.counter_calls: dict[int, list[CounterCall]] = {}  # by counter key, in order
        self.retry_budget = START_RETRY / settings.gateway_count
        self.max_priority = max(c.priority_weight for c in settings.classes.values())
        self.scheduled_checks: list[tuple[float, str]] = []  # when which job is to be looked at
        self.timer_at = self.watch_at = math.inf
        self.next_trial_at = 0.0  # when the queue is looked at for a host's next trial
        self.admitted_share, self.admitted_share_at, self.mean_worth = 1.0, now, 0.0
        self.recent_values: deque[float] = deque(maxlen=64)  # values of the latest requests
        self.fault_scopes: dict[tuple[str, str], FaultScope] = {}  # by class and plan
        self.draining_since = math.inf  # since when another process fills this gateway's part of the ceilings
        self.actions: list[messages.Action] = []

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        self.actions = []
        match event:
            case messages.Request():
                self.on_request(now, event)
            case messages.AttemptOutcome():
                self.on_outcome(now, event)
            case messages.CounterResult():
                self.on_counter_result(now, event)
            case messages.TimerExpired():
                self.on_timer(now)
            case messages.EndpointList():
                self.pool.on_endpoint_list(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.settings.discovery_mode == "ask":
                    self.actions.append(messages.WatchEndpoints(True))
            case messages.StreamStarted() if event.request_id in self.pending:
                self.pending[event.request_id].is_streaming = True
            case messages.ClientDisconnected() if event.request_id in self.pending:
                self.finish(now, self.pending[event.request_id])
            case messages.RejectedByPlugin():
                self.actions.append(messages.Reject(event.request_id, self.retry_after(event.retry_after)))
            case messages.ReturnUnits():
                self.on_return(now, event)
            case messages.EvacuateZones():
                self.pool.zone_health.left = frozenset(event.zones)
                self.pool.refresh(now)
            case messages.DrainGateway():
                self.draining_since = now if event.is_draining else math.inf
        self.drain_queue(now)
        while self.scheduled_checks and self.scheduled_checks[0][1] not in self.pending:
            heapq.heappop(self.scheduled_checks)
        trial = self.next_trial_at if self.queue.waiting_count and self.next_trial_at > now else math.inf
        at = min(self.scheduled_checks[0][0] if self.scheduled_checks else math.inf, self.watch_at, trial)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.actions.append(messages.SetTimer(max(0.0, at - now), 0))
        return self.actions

    def on_request(self, now: float, req: messages.Request) -> None:
        cls, plan = self.settings.classes[req.service_class], self.settings.plans[req.plan]
        kind = type(req)
        if kind is messages.CustomLimitCheck:
            plan = req.limit
        quota = self.quotas.pop(req.customer, None)
        if quota is None:
            if 0 < self.settings.max_customers <= len(self.quotas) and not self.evict_quota(now):
                wait = self.retry_after(1.0)
                is_check = isinstance(req, messages.QuotaCheck)
                self.actions.append(messages.QuotaDenied(req.request_id, False, wait, 0.0, 0.0) if is_check
                                else messages.Reject(req.request_id, wait))
                return
            quota = CustomerQuota(req, plan, self.started_at, min(now, self.draining_since), self.rng)
            quota.is_known = self.evicted is None or not self.evicted.has(now, req.customer)
        elif req.gateway_spread > quota.spread:
            quota.widen(req.gateway_spread)
        self.quotas[req.customer], quota.last_seen_at = quota, now
        self.drop_idle_quotas(now)
        units = min(req.units, self.settings.max_units)  # a check may ask for any number
        worth = cls.priority_weight * plan.price_weight * units
        self.mean_worth += (GAIN if self.mean_worth else 1.0) * (worth - self.mean_worth)
        keys = self.fault_scopes.get((req.service_class, req.plan))
        if keys is None:
            keys = FaultScope(("host", "class " + cls.name, "plan " + plan.name))
            self.fault_scopes[req.service_class, req.plan] = keys
        value = worth / max(self.pool.response_times[cls.name].mean, 1e-6)
        job = PendingRequest(req, cls, plan, quota, now, now + req.remaining, worth, value, keys)
        self.pending[req.request_id] = job
        job.is_check = isinstance(req, messages.QuotaCheck)
        job.is_prepaid = kind is messages.PrepaidRequest
        route = self.settings.routes.get(req.route) if req.route else None
        kinds = route.endpoint_kinds if route else ()
        if route and not (route.fallback and all(s.host.kind not in kinds for s in self.pool.available)):
            job.allowed_kinds = kinds
        if req.remaining < 2 * TICK or self.should_shed(now, job):  # no check would come in time, or no room
            self.reject(now, job, 0.0)
            return
        wait = quota.ceiling.wait_time(min(now, self.draining_since), req.units, job.is_prepaid)
        if wait > self.max_ceiling_wait(job):
            job.is_over_limit = True
            self.reject(now, job, wait)
        elif plan.rate and not job.is_prepaid:
            self.acquire_units(now, job)
        else:
            self.acquire_slot(now, job)

    def drop_idle_quotas(self, now: float) -> None:
        """Many customers come only once. Past its windows an account tells no more than a new one would."""
        if now - next(iter(self.quotas.values())).last_seen_at <= IDLE_MOST:  # the usual case
            return
        for quota in list(itertools.islice(self.quotas.values(), FREED_AT_ONCE)):
            if now - quota.last_seen_at <= max(IDLE_MOST, 3 * quota.window_length, quota.ceiling.fill_time):
                return
            del self.quotas[quota.name]
            if quota.pending_call or quota.open_attempts or quota.waiting_ids:  # busy: behind the others
                self.quotas[quota.name], quota.last_seen_at = quota, now

    def evict_quota(self, now: float) -> bool:
        """Ever new customers must not take all memory: the one that came last longest ago goes, within its
        windows too. What it used unasked is told to the counter, as far as that is worth a call, and it is
        asked about when it comes again. It stays while something is out for it, or its ceiling's store would
        come back fuller than it is. Harm: its overdraft of a window is not brought along, so one that is
        forgotten in each has up to twice its rate; and while the counter is away it has its even part each
        time."""
        for quota in list(itertools.islice(self.quotas.values(), FREED_AT_ONCE)):
            del self.quotas[quota.name]
            lacks = quota.ceiling.available(min(now, self.draining_since)) < quota.ceiling.capacity - ROUNDING
            if quota.pending_call or quota.open_attempts or quota.waiting_ids or lacks:
                self.quotas[quota.name], quota.last_seen_at = quota, now  # behind the others
                continue
            quota.advance_window(now)
            if self.evicted is not None and quota.plan.rate:
                self.evicted.add(now, quota.name)
            chance = self.counter.call_probability(SIDE_CALL)
            told = self.counter.is_usable(now) and self.rng.random() < chance
            if quota.unreported_units >= 2.0 and told:  # one for each that comes once would be a flood there
                self.add_units(CounterCall(quota, "void", quota.window_index, extra=quota.unreported_units))
            return True
        return False

    def should_shed(self, now: float, job: PendingRequest) -> bool:
        """While answers come from endpoints that hold too much, what is worth least a unit of work is
        rejected, whatever the cause: one gateway of many has too few out to relieve them by a limit."""
        ranks = self.recent_values
        ranks.append(job.value)
        step, pool, self.admitted_share_at = now - self.admitted_share_at, self.pool, now
        if pool.congestion * math.exp(min(0.0, (pool.congestion_at + 1 - now) / CONGESTION_SPAN)) > SHED_AT:
            self.admitted_share = max(SHED_LEAST, self.admitted_share * math.exp(-SHED_FAST * min(step, 1.0)))
        else:
            self.admitted_share = min(1.0, self.admitted_share + SHED_BACK * step)
        luck, many = self.rng.random(), self.settings.gateway_count > LIMIT_MOST
        most = (1 - self.admitted_share) * len(ranks) * many
        return most > 0 and luck * ranks.count(job.value) + sum(v < job.value for v in ranks) < most

    def units_kept(self, job: PendingRequest) -> float:
        """Kept for classes that earn more with a unit; binds near the end of a quota only."""
        priority = job.cls.priority_weight / self.max_priority if self.max_priority else 1.0
        return RESERVE * job.plan.burst * (1 - priority)

    def spare_units(self, now: float, job: PendingRequest) -> float:
        return job.quota.remaining(now) - self.units_kept(job) - job.request.units

    def take_units(self, now: float, job: PendingRequest, ask: bool) -> bool:
        quota, units = job.quota, job.request.units
        if self.spare_units(now, job) + quota.leased_units < 0:
            return False
        left = quota.local_allowance(now, self.counter.failures > 0) - quota.unreported_units
        if ask and not quota.is_known and self.counter.is_usable(now):
            left = -1.0
        if quota.leased_units >= units:
            quota.leased_units -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif quota.remaining(now) >= units and left >= units * (1 - quota.rounding_draw):
            quota.unreported_units += units
        else:
            return False
        quota.used_units += units
        self.acquire_slot(now, job)
        return True

    def acquire_units(self, now: float, job: PendingRequest) -> None:
        job.quota.advance_window(now)
        job.odds = job.quota.note_request(now) * self.grant_shares[job.plan.name, job.request.is_retry].share
        gain = job.worth / max(self.mean_worth, 1e-9) * min(job.odds, self.overuse_cost(job))
        chance = self.counter.call_probability(gain)
        self.decide(now, job, self.rng.random() < chance)
        self.renew_lease(now, job.quota, min(MAX_SAMPLE, 1 / max(chance, 1e-9)))  # for those unasked too

    def decide(self, now: float, job: PendingRequest, ask: bool) -> None:
        quota, room = job.quota, job.quota.remaining(now)
        if self.take_units(now, job, ask):
            return
        if now < quota.exhausted_until or self.spare_units(now, job) < 0:
            self.try_over_quota(now, job, (job.request.units - room) / quota.plan.rate)
        elif ask and self.counter.is_usable(now):
            quota.waiting_ids.append(job.request.request_id)
            self.schedule_check(now + 2 * self.counter.timeout + TICK, job)
        else:
            self.decide_locally(now, job)

    def overuse_cost(self, job: PendingRequest) -> float:
        """What it costs in the mean to let it pass, in its worth."""
        return (1 - job.odds) * max(LOAD_COST, job.plan.over_quota_cost - job.plan.over_quota_weight)

    def decide_locally(self, now: float, job: PendingRequest) -> None:
        """The counter is away, or has no time for it. Of a thin customer each gateway's part is less than a
        request, so the odds decide: they are against one that comes here often. Harm: while the counter is
        away first requests of all pass."""
        if job.quota.is_thin and job.odds > self.overuse_cost(job):
            job.quota.used_units += job.request.units
            self.acquire_slot(now, job)
        else:
            self.try_over_quota(now, job, 0.0)

    def renew_lease(self, now: float, quota: CustomerQuota, factor: float = 1.0) -> None:
        if quota.pending_call is not None or not self.counter.is_usable(now):
            return
        need = sum(self.pending[i].request.units for i in quota.waiting_ids if i in self.pending)
        w = quota.lease_size(self.counter.price + CROWD * self.counter.congestion ** 2)
        room = quota.remaining(now)
        more = quota.leased_units < w / 2 and room > w * quota.spread and now >= quota.exhausted_until
        due = quota.unreported_units > max(1.0, CHARGE_AT * quota.local_allowance(now, False))
        if not (need or due or (quota.reported_units and more)):
            return
        ask = max(need, w) - quota.leased_units if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + quota.unreported_units <= 0:
            self.decide_waiting(now, quota)
            return
        owed, for_unasked = quota.unreported_units, need * (factor - 1)
        call = CounterCall(quota, "units", quota.window_index, owed, ask, for_unasked, quota.spare_units)
        quota.pending_call = call
        quota.total_units += quota.unreported_units
        quota.unreported_units = quota.spare_units = 0.0
        self.add_units(call)

    def add_units(self, call: CounterCall) -> None:
        quota = call.quota
        key = stable_hash(quota.name, quota.window_index)
        self.add_to_counter(key, call.amount, 3 * quota.window_length, call)

    def add_to_counter(self, name: int, amount: float, life: float, call: CounterCall) -> None:
        self.counter_calls.setdefault(name, []).append(call)
        self.actions.append(messages.AddToCounter(name, amount, min(60.0, max(life, 1.0))))

    def on_counter_result(self, now: float, event: messages.CounterResult) -> None:
        if event.counter_key not in self.counter_calls:
            return
        call, *rest = self.counter_calls.pop(event.counter_key)
        self.counter_calls.update({event.counter_key: rest} if rest else {})
        ok, quota = event.result == "ok", call.quota
        # A spoilt answer, or a line that broke before the time was up, says nothing of the next call.
        early = event.result == "timeout" and event.elapsed < CALL_SPOILT * self.counter.timeout
        if event.result != "spoilt" and not early:
            self.counter.observe(now, ok, event.elapsed)
        if call.kind == "units":
            quota.pending_call, quota.is_known = None, True
            quota.advance_window(now)
            if call.window == quota.window_index and ok:
                self.on_lease_granted(now, quota, event.total, call)
            elif call.window == quota.window_index and event.result == "spoilt":
                quota.reported_units += call.amount  # surely added: the next call uses what was asked for
                quota.spare_units += call.ask
            elif call.window == quota.window_index and event.result != "timeout":
                quota.unreported_units += call.charge  # surely not added: the charge is still owed
                quota.total_units -= call.charge
                quota.spare_units += call.spare
            elif call.window == quota.window_index:
                quota.unconfirmed_units += call.amount
            self.decide_waiting(now, quota)
        elif call.kind == "slot":
            self.on_slot_counted(now, event, call)
        elif call.window == quota.window_index and event.result not in ("ok", "spoilt"):
            quota.reported_units -= call.amount  # else what was never added would be taken for lost
            quota.unconfirmed_units += call.amount * (event.result == "timeout")

    def on_lease_granted(self, now: float, quota: CustomerQuota, total: float, call: CounterCall) -> None:
        mine, extra, slack = call.amount, 0.0, ROUNDING * max(1.0, total)
        if total < quota.reported_units + mine - slack:  # less than ours alone: lost; add ours again
            extra, quota.reported_units = quota.reported_units, 0.0  # the new count holds no more of ours
        elif total <= quota.reported_units + mine + quota.unconfirmed_units + slack:
            extra, quota.debt_units = quota.debt_units, 0.0  # who finds only its own brings the debt along
        if not quota.is_thin:  # the store holds a burst at most: what a quiet customer let run over is gone
            surplus = max(0, int(quota.window_limit(now) - quota.plan.burst - (total + extra - call.ask)))
            extra, quota.carried_units = extra + surplus, quota.carried_units + surplus
        jobs = [self.pending[i] for i in quota.waiting_ids if i in self.pending]
        kept = min((self.units_kept(j) for j in jobs), default=0.0)
        over = min(call.ask, max(0.0, math.ceil(total + extra + kept - quota.window_limit(now))))
        quota.reported_units += mine + extra - over
        quota.total_units = total + extra - over
        quota.leased_units += call.ask - over
        need = sum(j.request.units for j in jobs)
        if need:
            use = self.grant_shares[quota.plan.name, jobs[0].request.is_retry]
            use.observe(need, min(need, quota.leased_units))
        if self.rng.random() < self.counter.call_probability(SIDE_CALL):  # else the excess stays
            extra -= over
        if extra:
            self.add_units(CounterCall(quota, "void", quota.window_index, extra=extra))

    def decide_waiting(self, now: float, quota: CustomerQuota) -> None:
        waiting, quota.waiting_ids = quota.waiting_ids, []
        jobs = [self.pending[i] for i in waiting if i in self.pending]
        for job in sorted(jobs, key=lambda j: -j.worth / max(j.request.units, 1e-9)):
            if quota.remaining(now) + quota.leased_units < job.request.units:
                wait = max(0.0, 1 - quota.remaining(now)) / quota.plan.rate
                crowd = self.counter.congestion > CROWDED  # others wait for it: no call until the turn
                quota.exhausted_until = quota.window_start + quota.window_length if crowd else now + wait
            self.decide(now, job, not self.counter.failures > 0)
        if quota.waiting_ids:
            self.renew_lease(now, quota)

    def acquire_slot(self, now: float, job: PendingRequest, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        quota, plan = job.quota, job.plan
        job.stage = "slot"
        if job.is_check or not plan.concurrency_limit:  # there is no limit to hold
            self.dispatch(now, job)
            return
        own, shared = divmod(plan.concurrency_limit, quota.spread)
        seconds = max(now - quota.window_start, quota.window_length / 4)
        rate = max(quota.total_units, quota.used_units) / seconds
        taken = self.pool.response_times[job.cls.name].mean
        mean = min(rate, plan.rate or rate) / max(job.request.units, 1e-9) * taken
        over = 1 - sum(mean ** n * math.exp(-mean) / math.factorial(n) for n in range(plan.concurrency_limit))
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_weight)
        if quota.open_attempts < own:
            job.slot = -1
            quota.open_attempts += 1
        elif shared and ask and self.counter.is_usable(now) and (
                self.rng.random() < self.counter.call_probability(max(over, SIDE_CALL) * cost)):
            self.count_open_attempt(quota, int(now / OPEN_EPOCH) + 1, 1, job)
            self.schedule_check(job.deadline, job)
            return
        elif plan.concurrency_limit and (plan.concurrency_limit >= quota.spread or over * cost >= 1 - over):
            self.try_over_quota(now, job, 0.0)
            return
        self.dispatch(now, job)

    def count_open_attempt(self, quota: CustomerQuota, epoch: int, amount: int,
                           job: PendingRequest | None = None) -> None:
        call = CounterCall(quota, "slot" if job else "void", epoch, pending=job)
        self.add_to_counter(stable_hash("open", quota.name, epoch), amount, 2 * OPEN_EPOCH, call)

    def on_slot_counted(self, now: float, event: messages.CounterResult, call: CounterCall) -> None:
        job, quota, ok = call.pending, call.quota, event.result == "ok"
        if ok and (job.done or event.total > quota.plan.concurrency_limit % quota.spread):
            self.count_open_attempt(quota, call.window, -1)
        if ok and not job.done and event.total > quota.plan.concurrency_limit % quota.spread:
            self.try_over_quota(now, job, 0.0)
        elif not job.done:
            job.slot = call.window if ok else 0
            self.dispatch(now, job) if ok else self.acquire_slot(now, job, False)

    def try_over_quota(self, now: float, job: PendingRequest, wait: float) -> None:
        pays = job.plan.over_quota_weight > job.plan.over_quota_cost
        if pays and self.pool.has_spare_capacity() and not self.queue.waiting_count:
            job.over_quota = True
            self.dispatch(now, job)
        else:
            job.is_over_limit = True
            self.reject(now, job, wait)

    def dispatch(self, now: float, job: PendingRequest) -> None:
        quota, units = job.quota, job.request.units
        wait = quota.ceiling.wait_time(min(now, self.draining_since), units, job.is_prepaid)
        if wait > self.max_ceiling_wait(job):
            job.is_over_limit = True
            self.reject(now, job, 0.0)
            return
        if wait > 0:  # an even part of it fills slowly, and a customer's requests come in bunches
            quota.ceiling.promised += units
            job.stage = "ceiling"
            self.schedule_check(now + max(TICK, wait), job)  # a look that comes at once would come for ever
            return
        if job.is_prepaid:
            quota.ceiling.take_reserved(units)
        elif type(job.request) is messages.QuotaReservation:
            quota.ceiling.reserve(units)
        else:
            quota.ceiling.take(units)  # spent before sending
        if job.is_check:
            remaining = self.remaining_quota(now, job)
            self.actions.append(messages.QuotaGranted(job.request.request_id, *remaining, quota.window_index))
            self.finish(now, job)
            return
        if not self.queue.waiting_count and self.pool.any_capacity(now) and self.send(now, job):
            self.replenish_retries()
            return
        self.enqueue(job)
        most = max(QUEUE_LEAST, self.pool.send_rate(now) * QUEUE_HOLD * job.cls.latency_objective)
        if self.queue.waiting_count > most and (worst := self.queue.lowest_priority()) is not None:
            self.reject(now, worst, 0.0)
        self.drain_queue(now)
        if job.stage == "queue" and not job.done:
            self.schedule_check(job.arrived_at + self.max_queue_time(job), job)

    def max_ceiling_wait(self, job: PendingRequest) -> float:
        """How long it may wait for its customer's ceiling, where an even part of that is thin. A check is
        answered at once, and so is what comes while another process fills this gateway's part."""
        thin = job.plan.ceiling_burst < CEILING_THIN * job.quota.spread
        may_wait = thin and not job.is_check and self.draining_since == math.inf
        return CEILING_HOLD * job.cls.latency_objective if may_wait else 0.0

    def enqueue(self, job: PendingRequest) -> None:
        job.stage = "queue"
        self.queue.add(job)

    def max_queue_time(self, job: PendingRequest) -> float:
        """How long after its arrival a request may wait for an endpoint. One whose attempt failed may
        until it is worth nothing or a rejection is late: a client that comes again waits longer still."""
        aim = job.cls.latency_objective
        return min(aim, (job.deadline - job.arrived_at) / 2) if job.sends else QUEUE_HOLD * aim

    def remaining_quota(self, now: float, job: PendingRequest) -> tuple[float, float]:
        """Units left to its class, as far as is known here, and seconds until its customer's window turns."""
        quota = job.quota
        if not quota.plan.rate:
            return math.inf, 0.0
        quota.advance_window(now)
        unused = quota.window_limit(now) - quota.total_units + quota.leased_units - quota.unreported_units
        unused = min(quota.plan.burst, unused)
        return max(0.0, unused - self.units_kept(job)), quota.window_start + quota.window_length - now

    def on_return(self, now: float, event: messages.ReturnUnits) -> None:
        quota = self.quotas.get(event.customer)
        if quota is None:  # forgotten since, and its ceiling's store was full then
            return
        quota.advance_window(now)
        if quota.plan.rate and quota.window_index == event.window_index:
            quota.leased_units += event.units
            quota.used_units -= event.units
        if type(event) is messages.ReturnReservation:
            quota.ceiling.cancel_reserved(event.units)
        else:
            quota.ceiling.add(event.units)

    def reject(self, now: float, job: PendingRequest, wait: float) -> None:
        if job.is_check:
            told = self.retry_after(wait), *self.remaining_quota(now, job)
            self.actions.append(messages.QuotaDenied(job.request.request_id, job.is_over_limit, *told))
            self.finish(now, job)
            return
        ran = job.cls.effect != "safe" and (job.cls.effect, job.cls.deduplication_scope) != ("keyed", "all")
        if not (ran and (job.possibly_executed or job.in_flight)):
            self.actions.append(messages.Reject(job.request.request_id, self.retry_after(wait)))
        else:
            self.actions.append(messages.Fail(job.request.request_id))
        self.finish(now, job)

    def retry_after(self, wait: float) -> float:
        most = self.settings.limits.max_retry_after if self.settings.limits.can_tell_retry_after else 0.0
        return min(max(wait, 0.0), most)

    def finish(self, now: float, job: PendingRequest) -> None:
        job.done = True
        if job.stage == "queue":
            self.queue.discard()
        elif job.stage == "ceiling":
            job.quota.ceiling.promised -= job.request.units
        self.pending.pop(job.request.request_id, None)
        for number in job.in_flight if self.settings.limits.can_cancel else ():
            self.actions.append(messages.CancelAttempt(job.request.request_id, number))
        if job.slot > 0:
            self.count_open_attempt(job.quota, job.slot, -1)
        job.quota.open_attempts -= job.slot < 0

    def is_eligible(self, job: PendingRequest, s: EndpointState, now: float) -> bool:
        if job.allowed_kinds and s.host.kind not in job.allowed_kinds:
            return False
        unproven = job.possibly_executed + list(job.in_flight.values())
        if s.host.id in job.tried or not unproven or job.cls.effect == "safe":
            return s.host.id not in job.tried
        until = min(t for _, t in unproven) + job.cls.deduplication_window - self.connect_time
        if job.cls.effect == "unsafe" or now >= until:
            return False
        if any(h not in self.pool.endpoints for h, _ in unproven):
            return False
        known, scope = [self.pool.endpoints[h].host for h, _ in unproven], job.cls.deduplication_scope
        return all(scope == "all" or (h.zone == s.host.zone if scope == "zone" else h.cell == s.host.cell)
                   for h in known)

    def select_endpoint(self, now: float, job: PendingRequest) -> EndpointState | None:
        fits = (lambda x: self.is_eligible(job, x, now)) if job.tried or job.allowed_kinds else None
        best = self.pool.select_endpoint(now, job.fault_scope, fits)
        is_enough = best is not None or not job.sends
        return best if is_enough else self.pool.select_outside_subset(now, job.fault_scope, fits)

    def send(self, now: float, job: PendingRequest) -> bool:
        if job.sends >= self.settings.limits.max_attempts or job.is_streaming:
            return False
        s = self.select_endpoint(now, job) if self.settings.limits.can_hedge or not job.in_flight else None
        if s is None:
            return False
        self.actions.append(messages.ForwardRequest(job.request.request_id, s.host.id))
        job.in_flight[job.sends] = (s.host.id, now)
        self.pool.on_sent(s, (job.request.request_id, job.sends), now)
        job.sends += 1
        job.tried.add(s.host.id)
        job.stage = "sent"
        self.schedule_check(now + self.pool.attempt_timeout(job.cls.name), job)
        return True

    def replenish_retries(self) -> None:
        """Each first send allows for a part of a retry."""
        share = RETRY_SPARE if self.pool.has_spare_capacity() else RETRY_SHARE
        self.retry_budget = min(max(2.0, MAX_RETRY / self.settings.gateway_count), self.retry_budget + share)

    def drain_queue(self, now: float) -> None:
        queue = self.queue
        if not queue.waiting_count:
            return
        routes = list(queue.queues_by_route) if self.pool.any_capacity(now) else ()
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
                self.replenish_retries()
            queue.pop(route)
            head = queue.head(route)
            heapq.heapreplace(heads, head) if head else heapq.heappop(heads)
        if queue.waiting_count and self.next_trial_at <= now:  # no other event may come at a pause's end
            trials = [at for s in self.pool.paused if s.is_up for _, at in s.backoff.pauses() if at > now]
            self.next_trial_at = min(trials, default=0.0)

    def on_outcome(self, now: float, event: messages.AttemptOutcome) -> None:
        job = self.pending.get(event.request_id)
        self.pool.on_outcome(now, event, job.cls if job else None, job.fault_scope if job else ("host",))
        if job is None:
            return
        sent = job.in_flight.pop(event.attempt, None)
        if event.actual_units and self.settings.settles_units and job.plan.rate and not job.over_quota:
            job.quota.unreported_units += event.actual_units - job.request.units
        if event.is_final:
            self.finish(now, job)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            job.possibly_executed.append(sent)
        if job.in_flight:
            return
        cost = {"connect_failed": 0.0, "full": RETRY_FULL}.get(event.result, 1.0)
        taken = max(TICK, self.pool.response_times[job.cls.name].mean)
        late = now + taken > job.deadline or event.result == "moot"
        if late or self.retry_budget < cost:
            self.reject(now, job, 0.0)
        elif self.send(now, job):
            self.retry_budget -= cost
        elif event.result in ("connect_failed", "full", "reset") and self.can_queue(now, job):
            # All are busy: no reason to give up what was refused or lost. What was silent or erred has had
            # its time at a host, and in overload would take that of others.
            self.retry_budget -= cost
            self.enqueue(job)
            self.schedule_check(job.arrived_at + self.max_queue_time(job), job)
        else:
            self.reject(now, job, 0.0)

    def can_queue(self, now: float, job: PendingRequest) -> bool:
        more = not job.is_streaming and job.sends < self.settings.limits.max_attempts
        more = more and now < job.arrived_at + self.max_queue_time(job)
        return more and any(self.is_eligible(job, s, now) for s in self.pool.available)

    def schedule_check(self, at: float, job: PendingRequest) -> None:
        heapq.heappush(self.scheduled_checks, (min(at, job.deadline - 2 * TICK), job.request.request_id))

    def on_timer(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.actions.append(messages.WatchEndpoints(True))
        while self.scheduled_checks and self.scheduled_checks[0][0] <= now + 1e-6:
            name = heapq.heappop(self.scheduled_checks)[1]
            if name in self.pending:
                self.run_check(now, self.pending[name])

    def run_check(self, now: float, job: PendingRequest) -> None:
        ending = now >= job.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": self.max_queue_time(job)}.get(job.stage, math.inf)
        if job.stage == "ceiling" and not ending:
            job.quota.ceiling.promised -= job.request.units
            job.stage = "slot"
            self.dispatch(now, job)
        elif job.stage != "sent" and (ending or now - job.arrived_at >= most - 1e-6):
            self.reject(now, job, 0.0)
        elif job.stage == "sent" and not ending and not job.is_streaming:
            self.on_attempt_timeout(now, job)

    def on_attempt_timeout(self, now: float, job: PendingRequest) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause, but not before that has just time to be answered within the aim. Of many gateways each knows
        too little of usual times to tell silent from slow, and a slow one given up has its work done twice,
        on a new connection. Harm: one more attempt is all that the aim has time for."""
        patience = self.pool.attempt_timeout(job.cls.name) - TICK
        late = [n for n, (_, sent) in job.in_flight.items() if now - sent >= patience]
        for number in set(late) - job.timed_out:
            silent = self.pool.endpoints[job.in_flight[number][0]]  # it holds no other's place
            self.pool.release(silent, (job.request.request_id, number))
            self.pool.outliers.record(silent.host.id, job.fault_scope, True, now)
            self.pool.zone_health.silent(silent.host.zone, silent.host.id, now)
            silent.scores.clear()
        job.timed_out.update(late)
        times = self.pool.response_times[job.cls.name]
        leave = min(job.arrived_at + job.cls.latency_objective, job.deadline) - times.mean - times.deviation
        after = now + times.deviation
        self.schedule_check(max(now + 2 * TICK, min(after, leave) if now < leave else after), job)
        if now < leave - TICK:
            return
        # Hardly any is so late at a sound host; where few gateways share all hosts they learn fast as it is.
        for number in set(late) - job.given_up if len(self.pool.subset) < len(self.pool.available) else ():
            self.pool.outliers.record(job.in_flight[number][0], job.fault_scope, True, now)
            self.pool.endpoints[job.in_flight[number][0]].scores.clear()
        job.given_up.update(late)
        if not late or len(job.in_flight) > 1 or job.cls.effect == "unsafe" or self.retry_budget < 1.0:
            return
        if self.settings.limits.can_hedge:
            self.retry_budget -= self.send(now, job)
        elif not self.pool.has_spare_capacity():
            return  # all are slow: another one would wait as long, and the work done at this host is lost
        elif self.settings.limits.can_cancel and job.sends < self.settings.limits.max_attempts:
            if self.select_endpoint(now, job):  # the outcome of this one starts the next attempt
                self.actions.append(messages.CancelAttempt(job.request.request_id, late[0]))
