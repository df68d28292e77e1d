"""The five rules, judged from what passes between the parts of a play, not from what a module says."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.demand import Customer
from apigateway.simulation.figures import Figures
from apigateway.simulation.token_bucket import RecordingTokenBucket, TokenBucket

if TYPE_CHECKING:
    from apigateway.simulation.node import Attempt

MARGIN = 0.15  # s by which a ceiling's slack is wider, for what is on its way
LATE = 0.05  # s that each time limit is longer


class Judge:
    def __init__(
        self,
        clock: SimulatedClock,
        figures: Figures,
        rules: messages.Rules,
        plans: Mapping[str, messages.Plan],
    ) -> None:
        self.clock, self.figures, self.rules, self.plans = clock, figures, rules, plans
        self.quotas: dict[str, RecordingTokenBucket] = {}
        self.ceilings: dict[str, TokenBucket] = {}

    def sends(self, gateway: str, attempt: Attempt, told: float | None) -> None:
        """`told`: when this gateway heard that the host drains or is gone."""
        if told is not None and self.clock.now - told > self.rules.drain_grace + LATE:
            self.figures.broken(f"drain: {gateway} to {attempt.host}, {self.clock.now - told:.2f} s after")
        if len(attempt.trying.live) > 1:
            self.figures.broken(f"two at once: {attempt.trying.id} at {attempt.host}")

    def began(self, attempt: Attempt, customer: Customer, cls: messages.ServiceClass) -> bool | None:
        """An attempt's last byte has come to a host. Whether its try is inside its quota, which counts what
        is sent on; None: an earlier attempt of it came before."""
        trying, now = attempt.trying, self.clock.now
        if cls.effect == "unsafe" and any(a.may_run for a in trying.attempts if a is not attempt):
            self.figures.broken(f"twice: {trying.id} at {attempt.host}")
        if any(a.began for a in trying.attempts if a is not attempt):
            return None
        plan, inside = customer.plan, True
        self.figures.add("units sent")
        if plan.rate:
            quota = self.quotas.setdefault(customer.name, RecordingTokenBucket(plan.rate, plan.burst, now))
            if quota.refill(now) >= 1:
                quota.take()
            else:
                inside = False
                self.figures.add("units beyond")
                self.figures.spend(cls.priority_weight * plan.price_weight * plan.over_quota_cost)
        if plan.ceiling_rate:
            ceiling = self.ceilings.setdefault(
                customer.name, TokenBucket(plan.ceiling_rate, plan.ceiling_burst, now)
            )
            ceiling.refill(now)
            ceiling.take()
            if ceiling.level < -plan.ceiling_slack - MARGIN * plan.ceiling_rate - 1e-6:
                self.figures.broken(f"ceiling: {customer.name}, {-ceiling.level:.2f} units beyond")
        return inside

    def room(self, customer: str, plan: str, age: float) -> bool:
        """Whether its quota had room for one, `age` seconds ago."""
        quota = self.quotas.get(customer)
        return not self.plans[plan].rate or quota is None or quota.level_at(self.clock.now - age) >= 1

    def fell(self, host: str, knew: float) -> None:
        """`knew`: part of what it got from gateways that had been told of its start."""
        self.figures.add("fell")
        if knew > 2 / 3:
            self.figures.broken(f"pushed over: {host}, cold")

    def unanswered(self, trying: str) -> None:
        self.figures.broken(f"lost: {trying}")
