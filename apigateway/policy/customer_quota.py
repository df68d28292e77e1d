"""The quota of one customer at this gateway: leases of the shared quota, and a share of the ceiling."""

import math
from random import Random

from apigateway.hashing import stable_hash
from apigateway.messages import Plan, Request
from apigateway.routing import LeaseLedger, TokenBucketShare, floor_units

LOCAL_ALLOWANCE_SHARE = 0.5  # of an equal share of the remaining units; usable without a lease
# Lower limit of the assumed probability that a unit left unspent here is missing at another gateway. It
# applies when the customer uses little of its quota.
MIN_STRANDED_UNIT_COST = 0.05
# The next three apply to a customer whose burst has fewer units than the customer has gateways.
SMALL_BURST_REFILL_SHARE = 0.1  # of the refill that is added to the limit: overdrafts are rarely carried over
INITIAL_BURST_SHARE = 0.5  # of the burst, available when a window begins
FULL_BURST_WINDOW_SHARE = 0.5  # of the window, after which the whole burst is available
WINDOW_PHASES = 4096  # number of different times at which customers' windows begin


class CustomerQuota(LeaseLedger):
    """A customer's units of the current window and its ceiling, as known at this gateway."""

    __slots__ = (
        "ceiling",
        "customer",
        "is_usage_known",
        "last_request_at",
        "local_slots_used",
        "plan",
        "waiting_request_ids",
    )

    def __init__(
        self, request: Request, plan: Plan, gateway_started_at: float, now: float, rng: Random
    ) -> None:
        phase = stable_hash(request.customer, "phase") % WINDOW_PHASES / WINDOW_PHASES
        super().__init__(plan.rate, plan.burst, request.gateway_spread, phase, now, rng.random)
        self.customer = request.customer
        self.plan = plan  # of the latest request
        self.last_request_at = now
        # False after a recent eviction: the counter is then asked first how many units have been used.
        self.is_usage_known = True
        self.waiting_request_ids: list[str] = []  # requests that wait for units
        self.local_slots_used = 0
        self.ceiling = self._new_ceiling(plan, gateway_started_at, now)

    def _new_ceiling(self, plan: Plan, gateway_started_at: float, now: float) -> TokenBucketShare:
        """Return this gateway's share of a ceiling that no request of the customer has used here.

        With an equal share per gateway, no failure exceeds the ceiling. The share starts empty because the
        use by the previous process is not known.
        """
        tokens = min(plan.ceiling_burst, (now - gateway_started_at) * plan.ceiling_rate) / self.gateway_count
        return TokenBucketShare(plan.ceiling_rate, plan.ceiling_burst, self.gateway_count, tokens, now)

    def follow_plan(self, plan: Plan, gateway_started_at: float, now: float) -> None:
        """Apply the limits of the plan that the customer's latest request names.

        What was spent stays spent. A plan without a rate or a ceiling does not use these limits and leaves
        them as they are, so that a customer cannot refill them by a request of such a plan.
        """
        self.plan = plan
        if plan.rate and not self.has_limits(plan.rate, plan.burst):
            self.change_limits(plan.rate, plan.burst, now)
        ceiling = self.ceiling
        if not plan.ceiling_rate or (plan.ceiling_rate, plan.ceiling_burst) == (ceiling.rate, ceiling.burst):
            return
        if ceiling.rate:
            ceiling.change_limits(plan.ceiling_rate, plan.ceiling_burst, now)
        else:
            self.ceiling = self._new_ceiling(plan, gateway_started_at, now)

    @property
    def is_in_use(self) -> bool:
        """Whether a counter call, a slot or a waiting request refers to it."""
        return bool(self.has_call_in_flight or self.local_slots_used or self.waiting_request_ids)

    def increase_gateway_count(self, gateway_count: int) -> None:
        """Share the quota among more gateways. Requests may name different sets; the largest one is used."""
        self.set_gateway_count(gateway_count)
        self.ceiling.set_share_count(gateway_count)

    def window_limit(self, now: float) -> float:
        """Return the units that all gateways together may have used by now.

        The limit is lower for a small burst, whose overdraft is not carried over to the next window.
        """
        if not self.has_subunit_share:
            return super().window_limit(now)
        elapsed = now - self.window_start
        burst_share = min(
            1.0,
            INITIAL_BURST_SHARE
            + (1 - INITIAL_BURST_SHARE) * elapsed / (FULL_BURST_WINDOW_SHARE * self.window_length),
        )
        refill = SMALL_BURST_REFILL_SHARE * self.rate * elapsed
        return floor_units(min(self.burst, max(1.0, self.burst * burst_share)) + refill)

    def local_allowance(self, now: float, is_counter_silent: bool) -> float:
        """Return the units that may be used without a lease.

        While the counter is silent, the gateway may use as large a share as it used before, or an equal share
        if that is more.
        """
        unused = max(0.0, min(self.burst, self.window_limit(now) - self.total_units))
        local_unused = unused * max(self.local_share, 1 / self.gateway_count)
        return local_unused if is_counter_silent else unused / self.gateway_count * LOCAL_ALLOWANCE_SHARE

    def lease_size(self, call_cost: float) -> int:
        """Return the units to lease: sqrt(call cost * units used / cost of a unit left unspent here)."""
        used_units = max(self.previous_used_units, self.used_units)
        used_share = min(1.0, self.total_units / self.burst)
        size = math.sqrt(call_cost * used_units / max(MIN_STRANDED_UNIT_COST, used_share * used_share))
        return max(1, int(min(size, self.burst, max(used_units, 1.0))))
