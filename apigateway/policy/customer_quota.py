"""What one customer may use at this gateway: its leases of the shared quota and its part of the ceiling."""

from __future__ import annotations

import math
import random

from apigateway import messages
from apigateway.hashing import stable_hash
from apigateway.routing.demand import DemandEstimator
from apigateway.routing.token_bucket import TokenBucketShare

LOCAL_PART = 0.5  # part of the even room passed uncharged
STRAND_MIN = 0.05  # least chance that an unspent unit is missed elsewhere (c2), customer nearly idle
REFILL = 0.1  # part of the refill in a thin customer's hold: its overdrafts are seldom brought along;
OPENS, OPEN_AT = 0.5, 0.5  # part of its burst that its window opens with; part of the window till it has all
LOCAL_SHARE_GAIN = 0.5  # weight of the latest window in the part of a customer's use that passes here


class CustomerQuota:
    def __init__(self, req: messages.Request, plan: messages.Plan, born: float, now: float,
                 rng: random.Random) -> None:
        self.name, self.plan, self.spread, self.open_attempts = req.customer, plan, req.gateway_spread, 0
        self.is_thin = 0 < plan.burst < self.spread  # an even part of the burst is less than a unit
        self.window_length = plan.burst / plan.rate if plan.rate else 1.0
        self.window_offset = stable_hash(self.name, "phase") % 4096 / 4096 * self.window_length
        self.window_index = self.window_at(now)
        self.window_start = self.window_index * self.window_length + self.window_offset
        self.spare_units = 0.0  # added by calls whose answers were spoilt: ours, but not leased yet
        self.local_share = 1.0 / self.spread  # of the customer's use that passes here
        self.carried_units = 0.0  # part of the total that is no use in this window
        self.unconfirmed_units = 0.0  # amount of calls without answer: it may have been added
        self.leased_units = self.unreported_units = 0.0  # granted ahead; passed, but not yet counted
        self.reported_units = 0.0  # added to the counter by this gateway, in this window
        self.total_units = 0.0  # of all gateways, as the counter last told
        self.debt_units = 0.0  # brought along from earlier windows
        self.used_units = self.previous_used_units = 0.0  # here, in this window and in the last
        self.pending_call, self.exhausted_until, self.last_seen_at = None, 0.0, now
        self.rng, self.rounding_draw = rng, rng.random()
        self.waiting_ids: list[str] = []
        self.is_known = True  # False: was evicted within its windows, so what it used is asked for first
        # Ceiling: an even share, no failure can pass it; empty at a start: the last life's use is unknown.
        tokens = min(plan.ceiling_burst, (now - born) * plan.ceiling_rate) / self.spread
        self.ceiling = TokenBucketShare(plan.ceiling_rate, plan.ceiling_burst, self.spread, tokens, now)
        self.demand = DemandEstimator(now)

    def note_request(self, now: float) -> float:
        """How its use compares with its quota, 1 at most, by its latest requests here: of one far beyond its
        quota a gateway hears more than an even part. Harm: one that leans on this gateway is taken for it."""
        return self.demand.observe(now, self.plan.rate / self.spread)

    def widen(self, spread: int) -> None:
        """Its requests and checks may name sets of their own: the larger goes, so that all parts fit."""
        self.spread, self.is_thin = spread, 0 < self.plan.burst < spread
        self.ceiling.set_parts(spread)

    def window_at(self, now: float) -> int:
        return math.floor((now - self.window_offset) / self.window_length)

    def advance_window(self, now: float) -> None:
        """Turn to the window of `now`: leases lapse; what passed the burst is carried as debt."""
        k = self.window_at(now)
        if k == self.window_index:
            return
        if self.reported_units > 0 and self.total_units - self.carried_units >= 1:  # told what all passed
            part = min(1.0, self.used_units / (self.total_units - self.carried_units))
            self.local_share += LOCAL_SHARE_GAIN * (part - self.local_share)
        # Where an even part is less than a request, the few gateways that let one pass unasked say nothing of
        # the others: taken times the spread, one such request would be a debt of many windows, for all.
        passed = self.unreported_units * (1 if self.is_thin else self.spread)
        debt = max(0.0, self.total_units + passed - self.plan.burst * (k - self.window_index))
        self.previous_used_units = self.used_units if k == self.window_index + 1 else 0.0
        self.window_index, self.window_start = k, k * self.window_length + self.window_offset
        self.leased_units = self.unreported_units = self.reported_units = self.used_units = 0.0
        self.exhausted_until = 0.0
        self.spare_units = self.unconfirmed_units = 0.0
        self.carried_units = debt
        self.total_units, self.debt_units, self.rounding_draw = debt, debt, self.rng.random()

    def window_limit(self, now: float) -> float:
        """What all may have passed in this window. A thin customer's overdraft is not brought along, so one
        that has just had the burst of its last window would have another at the turn."""
        plan, since = self.plan, now - self.window_start
        if not self.is_thin:
            return plan.burst + plan.rate * since
        opened = min(1.0, OPENS + (1 - OPENS) * since / (OPEN_AT * self.window_length))
        return min(plan.burst, max(1.0, plan.burst * opened)) + REFILL * plan.rate * since

    def remaining(self, now: float) -> float:
        return min(self.plan.burst, self.window_limit(now) - self.total_units) - self.unreported_units

    def local_allowance(self, now: float, silent: bool) -> float:
        """Of the room, what may pass here uncharged. While the counter is away that is the part that passed
        here before: a customer's traffic is uneven, and an even part refuses most of it. Harm: where it has
        just moved, the gateway that it left and the one that it came to may both pass theirs."""
        room = max(0.0, min(self.plan.burst, self.window_limit(now) - self.total_units))
        return room * max(self.local_share, 1 / self.spread) if silent else room / self.spread * LOCAL_PART

    def lease_size(self, c1: float) -> int:
        """w = sqrt(c1 A / c2); c2 is the chance that a unit left unspent here is missed elsewhere."""
        full = min(1.0, self.total_units / self.plan.burst)
        w = math.sqrt(c1 * max(self.previous_used_units, self.used_units) / max(STRAND_MIN, full * full))
        return max(1, int(min(w, self.plan.burst, max(self.previous_used_units, self.used_units, 1.0))))
