"""From a scenario to what is due: every request with its time, customer, gateway and id.

Pure and seeded: the same to the byte each time. Times are whole microseconds from the start of the run.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from apigateway.tools.load.arrivals import even_arrivals, poisson_arrivals, seeded_random
from apigateway.tools.load.customers import PlanCustomers
from apigateway.tools.load.scenario import Scenario, SpellSection, StreamSection
from apigateway.tools.load.shapes import Shape

US_PER_S = 1_000_000


class TooManyRequestsError(Exception):
    """More requests would be due than `run.max_requests` allows."""


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request.

    Attributes:
        due_us: When it is due.
        request_id: Its id.
        customer: 16 hex digits.
        plan: The customer's plan.
        service_class: Its class.
        units: What it costs.
        gateway_index: The target that it is sent to.
        first_gateway: The first of its customer's gateways.
        gateway_spread: How many gateways its customer uses.
    """

    due_us: int
    request_id: str
    customer: str
    plan: str
    service_class: str
    units: float
    gateway_index: int
    first_gateway: int
    gateway_spread: int

    def digest_line(self) -> str:
        """Return the request as `digest` counts it."""
        return (
            f"{self.due_us} {self.request_id} {self.customer} {self.plan} {self.service_class} "
            f"{self.units:g} {self.gateway_index} {self.first_gateway} {self.gateway_spread}\n"
        )


class _Arrival(NamedTuple):
    """A request before it has an id. Sorted by its fields in this order."""

    due_us: int
    stream_index: int
    customer_index: int
    gateway_index: int


class SpellShape(Shape, frozen=True, kw_only=True, tag="spell"):
    """What a customer asks beside its usual part, while a spell lasts."""

    shape: Shape
    factor: float
    start: float
    end: float

    def rate_at(self, time: float) -> float:
        """Return the rate at a time."""
        return self.shape.rate_at(time) * self.factor if self.start <= time < self.end else 0.0

    def max_rate(self) -> float:
        """Return a rate that `rate_at` never exceeds."""
        return self.shape.max_rate() * self.factor


def schedule(scenario: Scenario) -> Iterator[ScheduledRequest]:
    """Yield all that is due, in order of time. Raises TooManyRequestsError where it is more than allowed."""
    run = scenario.run
    gateway_count = max(1, len(scenario.targets.gateways))
    customers_by_plan = {
        name: PlanCustomers(plan, name, index, gateway_count, run.seed)
        for index, (name, plan) in enumerate(scenario.plans.items())
    }
    streams = [
        _StreamArrivals(scenario, index, customers_by_plan[stream.plan]).merged()
        for index, stream in enumerate(scenario.streams)
    ]
    id_prefix = hashlib.blake2b(f"{run.name}\x1f{run.seed}".encode(), digest_size=4).hexdigest()
    for number, arrival in enumerate(heapq.merge(*streams)):
        if number >= run.max_requests:
            raise TooManyRequestsError(
                f"more than run.max_requests = {run.max_requests} would be due: "
                f"by {arrival.due_us / US_PER_S:.1f} s there are"
            )
        stream = scenario.streams[arrival.stream_index]
        customers = customers_by_plan[stream.plan]
        yield ScheduledRequest(
            due_us=arrival.due_us,
            request_id=f"{id_prefix}{number:010x}",
            customer=customers.ids[arrival.customer_index],
            plan=stream.plan,
            service_class=stream.cls,
            units=stream.units,
            gateway_index=arrival.gateway_index,
            first_gateway=customers.first_gateways[arrival.customer_index],
            gateway_spread=customers.gateway_spread,
        )


def digest(requests: Iterator[ScheduledRequest]) -> tuple[int, str]:
    """Return how many requests there are, and a SHA-256 over them: two runs of a scenario send the same."""
    count = 0
    hash_of_lines = hashlib.sha256()
    for request in requests:
        hash_of_lines.update(request.digest_line().encode())
        count += 1
    return count, hash_of_lines.hexdigest()


class _StreamArrivals:
    """The arrivals of one stream: those of all its customers, and the additional ones of spells."""

    def __init__(self, scenario: Scenario, stream_index: int, customers: PlanCustomers) -> None:
        self._scenario = scenario
        self._seed = scenario.run.seed
        self._stream_index = stream_index
        self._stream: StreamSection = scenario.streams[stream_index]
        self._customers = customers

    def merged(self) -> Iterator[_Arrival]:
        """Return all arrivals in order of time."""
        sources = [self._usual()]
        for spell_index, spell in enumerate(self._scenario.spells):
            if spell.plan == self._stream.plan:
                rng = seeded_random(self._seed, "spelled", spell_index)
                chosen = rng.sample(range(len(self._customers.ids)), spell.employers)
                sources += [self._additional(spell, spell_index, customer) for customer in chosen]
        return heapq.merge(*sources)

    def _usual(self) -> Iterator[_Arrival]:
        rng = seeded_random(self._seed, "who", self._stream_index)
        for time in self._times(self._stream.shape):
            customer = self._customers.draw_customer(rng)
            gateway = self._customers.draw_gateway(customer, time, rng)
            yield _Arrival(int(time * US_PER_S), self._stream_index, customer, gateway)

    def _additional(self, spell: SpellSection, spell_index: int, customer: int) -> Iterator[_Arrival]:
        rng = seeded_random(self._seed, "spell", self._stream_index, spell_index, customer)
        shape = SpellShape(
            shape=self._stream.shape,
            factor=(spell.times - 1) * self._customers.share(customer),
            start=spell.at_s,
            end=spell.at_s + spell.length,
        )
        for time in self._times(shape, "spell", spell_index, customer):
            gateway = self._customers.draw_gateway(customer, time, rng)
            yield _Arrival(int(time * US_PER_S), self._stream_index, customer, gateway)

    def _times(self, shape: Shape, *purpose: object) -> Iterator[float]:
        seconds = self._scenario.run.seconds
        if self._stream.arrivals == "even":
            return even_arrivals(shape, seconds)
        rng = seeded_random(self._seed, "times", self._stream_index, *purpose)
        return poisson_arrivals(shape, seconds, rng)
