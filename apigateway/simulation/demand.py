"""Customers and their clients: who asks when and through which gateway, and who comes again."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass, field

from apigateway import messages
from apigateway.simulation.scenario import Scenario, Work


@dataclass(slots=True)
class Customer:
    name: str
    plan: messages.Plan
    rate: float  # tries a second, without retries
    first: int
    spread: int
    weights: list[float] = field(default_factory=list)  # cumulative, over its gateways
    # What its quota would have let pass: units now, when that was.
    room: float = 0.0
    room_at: float = 0.0

    def inside(self, now: float, units: float = 1.0) -> bool:
        """Takes them from its quota, kept at one place, where they fit."""
        if not self.plan.rate:
            return True
        self.room = min(self.plan.burst, self.room + (now - self.room_at) * self.plan.rate)
        self.room_at = now
        if self.room < units:
            return False
        self.room -= units
        return True


@dataclass(slots=True)
class Ask:
    """What a client wants, over all its tries."""

    customer: Customer
    work: Work
    size: float  # core seconds
    born: float
    inside: bool = False  # of its quota, when its last try was sent on
    number: int = 0
    tries: int = 0


def mean_work(works: tuple[Work, ...]) -> float:
    return sum(w.share * w.mean for w in works) / sum(w.share for w in works)


class Demand:
    """`capacity` is what all hosts can do, in core seconds a second. Who asks when is drawn from `rng` alone:
    it is the same whatever becomes of it; through which gateway, from `ways`."""

    def __init__(self, scenario: Scenario, capacity: float, rng: random.Random, ways: random.Random) -> None:
        self.scenario, self.rng, self.ways, c = scenario, rng, ways, scenario.customers
        self.rate = scenario.load * capacity / mean_work(scenario.works)
        gateways = scenario.gateways
        self.pull = [math.exp(c.gateway_skew * rng.gauss(0, 1)) for _ in range(gateways)]
        mean = sum(self.pull) / gateways
        for n in range(0, gateways, 50):  # one in fifty
            self.pull[rng.randrange(gateways)] = c.busiest * mean if gateways > 10 or n else self.pull[0]
        self.customers: list[Customer] = []
        for plan, share in zip(c.plans, c.shares, strict=True):
            self.settle(plan, share * self.rate)
        self.sums = list(itertools.accumulate(x.rate for x in self.customers))
        self.rate = self.sums[-1]
        self.asked = 0
        self.works = list(itertools.accumulate(w.share for w in scenario.works))

    def settle(self, plan: messages.Plan, rate: float) -> None:
        c, left, number = self.scenario.customers, rate, 0
        gateways = self.scenario.gateways
        while left > 0 and (plan.rate or number < c.count):
            heavy = self.rng.random() < c.heavy
            use = c.heavy_times if heavy else self.rng.uniform(0.5, 1.5) * c.calm
            mine = plan.rate * use if plan.rate else rate / c.count
            # Where a plan has a ceiling, an even part of its store is two requests at least.
            most = max(2, int(plan.ceiling_burst / 2)) if plan.ceiling_rate else gateways
            low, high = (max(1, round(x * gateways)) for x in c.spread)
            spread = min(gateways, most, self.rng.randint(min(low, high), high))
            name = f"{plan.name}-{number}"
            known = Customer(name, plan, mine, self.rng.randrange(gateways), max(spread, min(2, gateways)))
            known.room, known.room_at = plan.burst, 0.0
            self.lean(known)
            self.customers.append(known)
            left -= plan.rate * min(use, 1.0) if plan.rate else mine
            number += 1

    def lean(self, customer: Customer) -> None:
        """Through which of its gateways it comes, from now on."""
        ranks = list(range(customer.spread))
        self.ways.shuffle(ranks)
        gateways, skew = self.scenario.gateways, self.scenario.customers.skew
        customer.weights = list(
            itertools.accumulate(
                self.pull[(customer.first + n) % gateways] / (1 + ranks[n]) ** skew
                for n in range(customer.spread)
            )
        )

    def next(self, now: float, times: float) -> tuple[float, Ask]:
        """Seconds until the next first try, and what is asked then."""
        customer = self.customers[bisect.bisect(self.sums, self.rng.random() * self.sums[-1])]
        work = self.scenario.works[bisect.bisect(self.works, self.rng.random() * self.works[-1])]
        wait = self.rng.expovariate(self.rate * times)
        self.asked += 1
        return wait, Ask(customer, work, self.rng.expovariate(1 / work.mean), now + wait, number=self.asked)

    def gateway(self, customer: Customer) -> int:
        weights = customer.weights
        at = bisect.bisect(weights, self.ways.random() * weights[-1])
        return (customer.first + min(at, customer.spread - 1)) % self.scenario.gateways
