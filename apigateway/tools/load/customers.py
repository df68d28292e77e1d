"""The customers of a plan (`employers` in scenario files): their shares of the load and their gateways."""

from __future__ import annotations

import itertools
import random
from bisect import bisect

from apigateway.tools.load.arrivals import seeded_random
from apigateway.tools.load.scenario import PlanSection

_PLAN_ID_SHIFT = 24  # bits; 2**24 is more than the greatest number of customers of a plan
_MIN_GATEWAY_WEIGHT = 0.01  # so that each gateway of a customer receives some requests


class PlanCustomers:
    """The customers of one plan, by their index.

    Attributes:
        ids: Customer ids of 16 hex digits.
        gateway_spread: Number of gateways that each customer uses.
        first_gateways: Index of the first gateway of each customer; its other gateways have the next indexes.
    """

    def __init__(self, plan: PlanSection, name: str, plan_index: int, gateway_count: int, seed: int) -> None:
        self._plan = plan
        self._name = name
        self._seed = seed
        self._gateway_count = max(1, gateway_count)
        customers = range(plan.employers)
        self._cumulative_weights = list(itertools.accumulate((n + 1) ** -plan.skew for n in customers))
        self.ids = [f"{(plan_index << _PLAN_ID_SHIFT) + n + 1:016x}" for n in customers]
        self.gateway_spread = plan.spread or self._gateway_count
        rng = seeded_random(seed, "set", name)
        self.first_gateways = [rng.randrange(self._gateway_count) for _ in customers]

    def draw_customer(self, rng: random.Random) -> int:
        """Draw the customer of the next request."""
        weights = self._cumulative_weights
        return min(len(weights) - 1, bisect(weights, rng.random() * weights[-1]))

    def share(self, customer: int) -> float:
        """Return a customer's share of the plan's requests."""
        weights = self._cumulative_weights
        lower_weight = weights[customer - 1] if customer else 0.0
        return float((weights[customer] - lower_weight) / weights[-1])

    def draw_gateway(self, customer: int, time: float, rng: random.Random) -> int:
        """Draw the gateway of a customer's request, by uneven weights that change every `shift` seconds."""
        epoch = int(time / self._plan.shift) if self._plan.shift else 0
        weight_rng = seeded_random(self._seed, "weights", self._name, customer, epoch)
        weights = [weight_rng.random() ** 2 + _MIN_GATEWAY_WEIGHT for _ in range(self.gateway_spread)]
        (offset,) = rng.choices(range(self.gateway_spread), weights)
        return (self.first_gateways[customer] + offset) % self._gateway_count
