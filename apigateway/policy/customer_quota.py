"""What one customer may use at this gateway: its leases of the shared quota and its part of the ceiling."""

import math
from random import Random

from apigateway.hashing import stable_hash
from apigateway.messages import Plan, Request
from apigateway.routing import LeaseLedger, TokenBucketShare

LOCAL_PART = 0.5  # part of an even share of what remains that is used without a lease
MIN_STRAND_COST = 0.05  # least chance that an unspent unit is missed elsewhere, customer nearly idle
THIN_REFILL = 0.1  # part of the refill in a thin customer's limit: its overdrafts are seldom carried along
OPENING_PART = 0.5  # part of its burst that its window opens with
OPENING_SPAN = 0.5  # part of the window until it has all
PHASES = 4096  # at which customers' windows begin


class CustomerQuota(LeaseLedger):
    """A customer's units of the current window and its ceiling, as far as they are known here."""

    __slots__ = ("ceiling", "is_known", "last_seen_at", "name", "open_attempts", "plan", "waiting_ids")

    def __init__(self, request: Request, plan: Plan, born: float, now: float, rng: Random) -> None:
        phase = stable_hash(request.customer, "phase") % PHASES / PHASES
        super().__init__(plan.rate, plan.burst, request.gateway_spread, phase, now, rng.random)
        self.name = request.customer
        self.plan = plan
        self.last_seen_at = now
        self.is_known = True  # False: was evicted within its windows, so what it used is asked for first
        self.waiting_ids: list[str] = []  # of requests that wait for it
        self.open_attempts = 0  # that hold a slot of this gateway
        # No failure can pass an even share. It is empty at a start: the last process's use is unknown.
        tokens = min(plan.ceiling_burst, (now - born) * plan.ceiling_rate) / self.gateway_count
        self.ceiling = TokenBucketShare(
            plan.ceiling_rate, plan.ceiling_burst, self.gateway_count, tokens, now
        )

    @property
    def is_in_use(self) -> bool:
        """Whether anything is out for it."""
        return bool(self.has_call_in_flight or self.open_attempts or self.waiting_ids)

    def widen(self, spread: int) -> None:
        """Spread it over more gateways: requests may name sets of their own, and the largest fits all."""
        self.set_gateway_count(spread)
        self.ceiling.set_share_count(spread)

    def window_limit(self, now: float) -> float:
        """Return what all may have used by now; less of a thin one: its overdraft is not carried along."""
        elapsed = now - self.window_start
        if not self.has_subunit_share:
            return self.burst + self.rate * elapsed
        opened = min(1.0, OPENING_PART + (1 - OPENING_PART) * elapsed / (OPENING_SPAN * self.window_length))
        return min(self.burst, max(1.0, self.burst * opened)) + THIN_REFILL * self.rate * elapsed

    def local_allowance(self, now: float, is_counter_silent: bool) -> float:
        """Return what may be used without a lease; while the counter is silent, the part used here before."""
        unused = max(0.0, min(self.burst, self.window_limit(now) - self.total_units))
        own_part = unused * max(self.local_share, 1 / self.gateway_count)
        return own_part if is_counter_silent else unused / self.gateway_count * LOCAL_PART

    def lease_size(self, call_cost: float) -> int:
        """Return the units to lease: sqrt(call cost * use / cost of a unit that is left unspent here)."""
        use = max(self.previous_used_units, self.used_units)
        used_part = min(1.0, self.total_units / self.burst)
        size = math.sqrt(call_cost * use / max(MIN_STRAND_COST, used_part * used_part))
        return max(1, int(min(size, self.burst, max(use, 1.0))))
