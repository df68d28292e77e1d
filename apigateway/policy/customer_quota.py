"""What one customer may use at this gateway: its leases of the shared quota and its part of the ceiling."""

from __future__ import annotations

import math
import random

from apigateway import messages
from apigateway.hashing import stable_hash

ALLOW = 0.5  # part of the even room passed uncharged
STRAND_MIN = 0.05  # least chance that an unspent unit is missed elsewhere (c2), customer nearly idle
REFILL = 0.1  # part of the refill in a thin customer's hold: its overdrafts are seldom brought along;
OPENS, OPEN_AT = 0.5, 0.5  # part of its burst that its window opens with; part of the window till it has all
HEARD_SPAN = 20.0  # s that a customer's requests here are remembered, for what it asks for elsewhere
PART_GAIN = 0.5  # weight of the latest window in the part of a customer's use that passes here


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
