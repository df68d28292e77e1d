"""Customers and their clients: who calls when, and through which gateway."""

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

GATEWAYS_PER_BUSY_ONE = 50  # one gateway in so many gets the traffic of `CustomerSettings.busiest`
MIN_GATEWAYS_FOR_BUSY_ONE = 11  # fewer have none
CALM_USE = (0.5, 1.5)  # what a customer that is not heavy asks for, as multiples of `CustomerSettings.calm`


class Customer:
    """A customer: its plan, its rate, the gateways that it uses, and its quota kept at one place.

    Attributes:
        request_rate: First requests a second.
        first_gateway: It uses `gateway_spread` gateways in a row from this one.
        cumulative_weights: How its traffic is spread over its gateways.
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
        """Take units from its quota if they fit, and return whether they do."""
        if not self.plan.rate:
            return True
        if self.quota.refill(now) < units:
            return False
        self.quota.take(units)
        return True


@dataclass(slots=True)
class ClientCall:
    """What a client wants, over its first request and all retries.

    Attributes:
        work: Core seconds that it costs a host.
        is_within_quota: Whether the request that was last forwarded for it was inside the customer's quota.
        requests: Requests sent so far.
    """

    customer: Customer
    workload: Workload
    work: float
    created_at: float
    number: int
    is_within_quota: bool = False
    requests: int = 0


def mean_work(workloads: tuple[Workload, ...]) -> float:
    """Return the core seconds of a request in the mean over all classes."""
    total_share = sum(workload.share for workload in workloads)
    return sum(workload.share * workload.mean for workload in workloads) / total_share


class DemandGenerator:
    """Draws the customers of a scenario and their calls.

    Who calls when is drawn from `rng` alone, so that it is the same whatever becomes of the calls; through
    which gateway is drawn from `gateway_rng`.
    """

    def __init__(
        self, scenario: Scenario, capacity: float, rng: random.Random, gateway_rng: random.Random
    ) -> None:
        """Draw the customers.

        Args:
            scenario: What is simulated.
            capacity: What all hosts can do, in core seconds a second.
            rng: Draws customers and calls.
            gateway_rng: Draws the gateways that calls come through.
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
        self._cumulative_rates = list(itertools.accumulate(c.request_rate for c in self.customers))
        self._rate = self._cumulative_rates[-1]
        self._cumulative_shares = list(itertools.accumulate(work.share for work in scenario.works))
        self._calls = 0

    def _draw_gateway_weights(self) -> list[float]:
        """Draw how much of the traffic each gateway attracts, whoever calls."""
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
        """Add customers of a plan until they make up its request rate."""
        settings = self._scenario.customers
        gateways = self._scenario.gateways
        remaining_rate = plan_rate
        number = 0
        while remaining_rate > 0 and (plan.rate or number < settings.count):
            is_heavy = self._rng.random() < settings.heavy
            quota_use = settings.heavy_times if is_heavy else self._rng.uniform(*CALM_USE) * settings.calm
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
        # With a ceiling, an even part of the ceiling's burst must be two requests at least.
        most = max(2, int(plan.ceiling_burst / 2)) if plan.ceiling_rate else gateways
        low, high = (max(1, round(part * gateways)) for part in self._scenario.customers.spread)
        spread = min(gateways, most, self._rng.randint(min(low, high), high))
        return max(spread, min(2, gateways))

    def draw_gateway_preference(self, customer: Customer) -> None:
        """Draw anew which of its gateways a customer uses most."""
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
            now: The time from which on it may come.
            load_factor: The load now, as a multiple of the scenario's.

        Returns:
            The call; it begins at its `created_at`.
        """
        rng = self._rng
        rates = self._cumulative_rates
        shares = self._cumulative_shares
        customer = self.customers[bisect.bisect(rates, rng.random() * rates[-1])]
        workload = self._scenario.works[bisect.bisect(shares, rng.random() * shares[-1])]
        created_at = now + rng.expovariate(self._rate * load_factor)
        self._calls += 1
        work = rng.expovariate(1 / workload.mean)
        return ClientCall(customer, workload, work, created_at, self._calls)

    def draw_gateway(self, customer: Customer) -> int:
        """Draw the index of the gateway that a request of this customer comes through."""
        weights = customer.cumulative_weights
        position = bisect.bisect(weights, self._gateway_rng.random() * weights[-1])
        position = min(position, customer.gateway_spread - 1)
        return (customer.first_gateway + position) % self._scenario.gateways
