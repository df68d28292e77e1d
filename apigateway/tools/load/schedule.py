"""Computes the schedule of a scenario: every request with its due time, customer, gateway and id.

A scenario and its seed always give the same schedule, byte for byte. Times are whole microseconds from the
start of the run.
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
    """The schedule has more requests than `run.max_requests` allows."""


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request of the schedule.

    Attributes:
        due_us: Time at which the request is due.
        request_id: Unique id.
        customer: Id of the customer, 16 hex digits.
        plan: The customer's plan.
        service_class: Name of the service class.
        units: Cost in units of quota.
        gateway_index: Index of the target that receives the request.
        first_gateway: Index of the customer's first gateway.
        gateway_spread: Number of gateways that the customer uses.
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
        """Return the line that represents the request in `digest`."""
        return (
            f"{self.due_us} {self.request_id} {self.customer} {self.plan} {self.service_class} "
            f"{self.units:g} {self.gateway_index} {self.first_gateway} {self.gateway_spread}\n"
        )


class _Arrival(NamedTuple):
    """A request before it has an id. Arrivals sort by these fields in this order."""

    due_us: int
    stream_index: int
    customer_index: int
    gateway_index: int


class SpellShape(Shape, frozen=True, kw_only=True, tag="spell"):
    """The additional rate of a customer during a spell."""

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
    """Yield the requests in order of due time. Raises TooManyRequestsError after `run.max_requests`."""
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
                f"the schedule exceeds run.max_requests = {run.max_requests} "
                f"after {arrival.due_us / US_PER_S:.1f} s"
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
    """Return the number of requests and a SHA-256 over them; it is equal for all runs of a scenario."""
    count = 0
    hasher = hashlib.sha256()
    for request in requests:
        hasher.update(request.digest_line().encode())
        count += 1
    return count, hasher.hexdigest()


class _StreamArrivals:
    """The arrivals of one stream: the usual ones of all its customers and the additional ones of spells."""

    def __init__(self, scenario: Scenario, stream_index: int, customers: PlanCustomers) -> None:
        self._scenario = scenario
        self._seed = scenario.run.seed
        self._stream_index = stream_index
        self._stream: StreamSection = scenario.streams[stream_index]
        self._customers = customers

    def merged(self) -> Iterator[_Arrival]:
        """Return the usual and the additional arrivals, merged in order of time."""
        sources = [self._usual_arrivals()]
        for spell_index, spell in enumerate(self._scenario.spells):
            if spell.plan == self._stream.plan:
                rng = seeded_random(self._seed, "spelled", spell_index)
                chosen = rng.sample(range(len(self._customers.ids)), spell.employers)
                sources += [self._additional_arrivals(spell, spell_index, customer) for customer in chosen]
        return heapq.merge(*sources)

    def _usual_arrivals(self) -> Iterator[_Arrival]:
        rng = seeded_random(self._seed, "who", self._stream_index)
        for time in self._arrival_times(self._stream.shape):
            customer = self._customers.draw_customer(rng)
            gateway = self._customers.draw_gateway(customer, time, rng)
            yield _Arrival(int(time * US_PER_S), self._stream_index, customer, gateway)

    def _additional_arrivals(
        self, spell: SpellSection, spell_index: int, customer: int
    ) -> Iterator[_Arrival]:
        rng = seeded_random(self._seed, "spell", self._stream_index, spell_index, customer)
        shape = SpellShape(
            shape=self._stream.shape,
            factor=(spell.times - 1) * self._customers.share(customer),
            start=spell.at_s,
            end=spell.at_s + spell.length,
        )
        for time in self._arrival_times(shape, "spell", spell_index, customer):
            gateway = self._customers.draw_gateway(customer, time, rng)
            yield _Arrival(int(time * US_PER_S), self._stream_index, customer, gateway)

    def _arrival_times(self, shape: Shape, *purpose: object) -> Iterator[float]:
        seconds = self._scenario.run.seconds
        if self._stream.arrivals == "even":
            return even_arrivals(shape, seconds)
        rng = seeded_random(self._seed, "times", self._stream_index, *purpose)
        return poisson_arrivals(shape, seconds, rng)
