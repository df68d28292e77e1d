"""Generates customers and their calls: who calls when, and through which gateway."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass

from apigateway import messages
from apigateway.simulation.clock import START_TIME
from apigateway.simulation.scenario import Scenario, Workload
from apigateway.simulation.token_bucket import TokenBucket

GATEWAYS_PER_BUSY_ONE = 50  # one gateway in 50 gets the traffic of `CustomerSettings.busiest`
MIN_GATEWAYS_FOR_BUSY_ONE = 11  # a smaller fleet has no busy gateway
CALM_USE_FACTORS = (0.5, 1.5)  # min and max demand of a customer that is not heavy, as multiples of `calm`


class Customer:
    """A customer: its plan, its request rate, the gateways that it uses, and its exact quota.

    Attributes:
        request_rate: First requests per second.
        first_gateway: Index of the first of its `gateway_spread` consecutive gateways.
        cumulative_weights: Distribution of its traffic over its gateways.
    """

    __slots__ = (
        "cumulative_weights",
        "first_gateway",
        "gateway_spread",
        "name",
        "plan",
        "quota",
        "request_rate",
    )

    def __init__(
        self, name: str, plan: messages.Plan, request_rate: float, first_gateway: int, gateway_spread: int
    ) -> None:
        self.name = name
        self.plan = plan
        self.request_rate = request_rate
        self.first_gateway = first_gateway
        self.gateway_spread = gateway_spread
        self.cumulative_weights: list[float] = []
        self.quota = TokenBucket(plan.rate, plan.burst, START_TIME)

    def take_from_quota(self, now: float, units: float = 1.0) -> bool:
        """Take units from the quota if enough remain, and return whether they did."""
        if not self.plan.rate:
            return True
        if self.quota.refill(now) < units:
            return False
        self.quota.take(units)
        return True


@dataclass(slots=True)
class ClientCall:
    """A call of a client, with its first request and all retries.

    Attributes:
        work: Core seconds that it takes on a host.
        is_within_quota: Whether its latest forwarded request was within the customer's quota.
        request_count: Requests sent so far.
    """

    customer: Customer
    workload: Workload
    work: float
    created_at: float
    number: int
    is_within_quota: bool = False
    request_count: int = 0


def mean_work(workloads: tuple[Workload, ...]) -> float:
    """Return the mean core seconds of a request over all classes."""
    total_share = sum(workload.share for workload in workloads)
    return sum(workload.share * workload.mean for workload in workloads) / total_share


class DemandGenerator:
    """Generates the customers of a scenario and their calls.

    The times and customers of calls are drawn from `rng` alone, so that they do not depend on the results of
    earlier calls. Gateways are drawn from `gateway_rng`.
    """

    def __init__(
        self, scenario: Scenario, capacity: float, rng: random.Random, gateway_rng: random.Random
    ) -> None:
        """Generate the customers.

        Args:
            scenario: The scenario.
            capacity: Capacity of all hosts, in core seconds per second.
            rng: Draws customers and calls.
            gateway_rng: Draws the gateways of calls.
        """
        self._scenario = scenario
        self._rng = rng
        self._gateway_rng = gateway_rng
        self._gateway_weights = self._draw_gateway_weights()
        self.customers: list[Customer] = []
        load_rate = scenario.load * capacity / mean_work(scenario.works)
        settings = scenario.customers
        for plan, share in zip(settings.plans, settings.shares, strict=True):
            self._add_customers(plan, share * load_rate)
        self._cumulative_rates = list(
            itertools.accumulate(customer.request_rate for customer in self.customers)
        )
        self._rate = self._cumulative_rates[-1]
        self._cumulative_shares = list(itertools.accumulate(work.share for work in scenario.works))
        self._call_count = 0

    def _draw_gateway_weights(self) -> list[float]:
        """Draw the share of traffic that each gateway attracts from any customer, as weights."""
        settings = self._scenario.customers
        gateways = self._scenario.gateways
        rng = self._rng
        weights = [math.exp(settings.gateway_skew * rng.gauss(0, 1)) for _ in range(gateways)]
        mean = sum(weights) / gateways
        for _ in range(0, gateways, GATEWAYS_PER_BUSY_ONE):
            weight = settings.busiest * mean if gateways >= MIN_GATEWAYS_FOR_BUSY_ONE else weights[0]
            weights[rng.randrange(gateways)] = weight
        return weights

    def _add_customers(self, plan: messages.Plan, plan_rate: float) -> None:
        """Add customers of a plan until they produce its request rate."""
        settings = self._scenario.customers
        gateways = self._scenario.gateways
        remaining_rate = plan_rate
        number = 0
        while remaining_rate > 0 and (plan.rate or number < settings.count):
            is_heavy = self._rng.random() < settings.heavy
            quota_use = (
                settings.heavy_times if is_heavy else self._rng.uniform(*CALM_USE_FACTORS) * settings.calm
            )
            request_rate = plan.rate * quota_use if plan.rate else plan_rate / settings.count
            spread = self._draw_gateway_spread(plan)
            first_gateway = self._rng.randrange(gateways)
            customer = Customer(f"{plan.name}-{number}", plan, request_rate, first_gateway, spread)
            self.draw_gateway_preference(customer)
            self.customers.append(customer)
            remaining_rate -= plan.rate * min(quota_use, 1.0) if plan.rate else request_rate
            number += 1

    def _draw_gateway_spread(self, plan: messages.Plan) -> int:
        gateways = self._scenario.gateways
        # With a ceiling, an equal share of its burst must be at least two requests.
        max_spread = max(2, int(plan.ceiling_burst / 2)) if plan.ceiling_rate else gateways
        low, high = (max(1, round(part * gateways)) for part in self._scenario.customers.spread)
        spread = min(gateways, max_spread, self._rng.randint(min(low, high), high))
        return max(spread, min(2, gateways))

    def draw_gateway_preference(self, customer: Customer) -> None:
        """Draw which of its gateways a customer prefers."""
        ranks = list(range(customer.gateway_spread))
        self._gateway_rng.shuffle(ranks)
        gateways = self._scenario.gateways
        skew = self._scenario.customers.skew
        customer.cumulative_weights = list(
            itertools.accumulate(
                self._gateway_weights[(customer.first_gateway + n) % gateways] / (1 + ranks[n]) ** skew
                for n in range(customer.gateway_spread)
            )
        )

    def next_call(self, now: float, load_factor: float) -> ClientCall:
        """Draw the next call.

        Args:
            now: The earliest time of the call.
            load_factor: The current load as a multiple of the scenario's load.

        Returns:
            The call, which begins at its `created_at`.
        """
        rng = self._rng
        rates = self._cumulative_rates
        shares = self._cumulative_shares
        customer = self.customers[bisect.bisect(rates, rng.random() * rates[-1])]
        workload = self._scenario.works[bisect.bisect(shares, rng.random() * shares[-1])]
        created_at = now + rng.expovariate(self._rate * load_factor)
        self._call_count += 1
        work = rng.expovariate(1 / workload.mean)
        return ClientCall(customer, workload, work, created_at, self._call_count)

    def draw_gateway(self, customer: Customer) -> int:
        """Draw the index of the gateway that receives a request of a customer."""
        weights = customer.cumulative_weights
        position = bisect.bisect(weights, self._gateway_rng.random() * weights[-1])
        position = min(position, customer.gateway_spread - 1)
        return (customer.first_gateway + position) % self._scenario.gateways
