"""A scenario to what is due: every request with its time, employer, gateway and id. Pure, seeded, the same to
the byte each time.

Times are whole microseconds from the begin. Arrivals of a stream with rate r(t) are drawn as a Poisson
process by thinning (Lewis and Shedler 1979): candidates at the shape's top rate, each kept with chance
r(t) / top; or `even`: the n-th is due when the integral of r has reached n."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import math
import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass

from apigateway.tools.load.scenario import PlanPart, Scenario, SpellPart
from apigateway.tools.load.shapes import Shape

US = 1_000_000
STEP, STEPS = 0.001, 1_000_000  # s, of the integral for even arrivals; longer where there would be more


@dataclass(frozen=True, slots=True)
class Due:
    """One request. `at` in us from the begin; `gateway`: its number among the targets; `first` and `spread`:
    the set that its employer has."""

    at: int
    id: str
    employer: str  # 16 hex digits
    plan: str
    cls: str
    units: float
    gateway: int
    first: int
    spread: int

    def line(self) -> str:
        return (
            f"{self.at} {self.id} {self.employer} {self.plan} {self.cls} {self.units:g} {self.gateway} "
            f"{self.first} {self.spread}\n"
        )


def drawn(seed: int, *parts: object) -> random.Random:
    """A source of its own for each purpose, so that a change in one moves nothing in the others."""
    text = "\x1f".join(str(part) for part in (seed, *parts)).encode()
    return random.Random(int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big"))


def poisson(shape: Shape, seconds: float, rng: random.Random) -> Iterator[float]:
    top, time = shape.top(), 0.0
    while top > 0:
        time -= math.log(1.0 - rng.random()) / top
        if time >= seconds:
            return
        if rng.random() * top < shape.at(time):
            yield time


def even(shape: Shape, seconds: float) -> Iterator[float]:
    if shape.top() <= 0:
        return
    due, total = 0.0, 0.0  # the first is due when the integral is at 0 and the rate is not
    length = max(STEP, seconds / STEPS)
    for step in range(math.ceil(seconds / length)):
        begin = step * length
        end = min(seconds, begin + length)
        more = (shape.at(begin) + shape.at(end)) / 2 * (end - begin)
        while more > 0 and due < total + more:
            yield begin + (due - total) / more * (end - begin)
            due += 1.0
        total += more


class Employers:
    """Of one plan: who asks how much, and at which gateways."""

    def __init__(self, plan: PlanPart, name: str, number: int, gateways: int, seed: int) -> None:
        self.plan, self.name, self.seed, self.gateways = plan, name, seed, max(1, gateways)
        self.ids = [f"{(number << 24) + n + 1:016x}" for n in range(plan.employers)]
        self.sums = list(itertools.accumulate((n + 1) ** -plan.skew for n in range(plan.employers)))
        self.spread = plan.spread or self.gateways
        sets = drawn(seed, "set", name)
        self.first = [sets.randrange(self.gateways) for _ in range(plan.employers)]

    def draw(self, rng: random.Random) -> int:
        return min(len(self.sums) - 1, bisect(self.sums, rng.random() * self.sums[-1]))

    def share(self, employer: int) -> float:
        """Its part of what the plan asks."""
        before = self.sums[employer - 1] if employer else 0.0
        return float((self.sums[employer] - before) / self.sums[-1])

    def gateway(self, employer: int, time: float, rng: random.Random) -> int:
        """Uneven over its set; which of them are busy changes with each shift."""
        epoch = int(time / self.plan.shift) if self.plan.shift else 0
        weights = drawn(self.seed, "weights", self.name, employer, epoch)
        parts = [weights.random() ** 2 + 0.01 for _ in range(self.spread)]
        (number,) = rng.choices(range(self.spread), parts)
        return (self.first[employer] + number) % self.gateways


class Spell(Shape, frozen=True, kw_only=True, tag="spell"):
    """What an employer asks beside its usual part, while a spell lasts."""

    shape: Shape
    factor: float
    begin: float
    end: float

    def at(self, time: float) -> float:
        return self.shape.at(time) * self.factor if self.begin <= time < self.end else 0.0

    def top(self) -> float:
        return self.shape.top() * self.factor


class TooMany(Exception):
    """More requests would be due than `run.max_requests` allows."""


def schedule(scenario: Scenario) -> Iterator[Due]:
    """All that is due, in order of time. Raises TooMany where it comes to more than is allowed."""
    run, count = scenario.run, max(1, len(scenario.targets.gateways))
    plans = {
        name: Employers(plan, name, number, count, run.seed)
        for number, (name, plan) in enumerate(scenario.plans.items())
    }
    merged = heapq.merge(*(stream(scenario, number, plans) for number in range(len(scenario.streams))))
    prefix = hashlib.blake2b(f"{run.name}\x1f{run.seed}".encode(), digest_size=4).hexdigest()
    for n, (at, number, employer, gateway) in enumerate(merged):
        if n >= run.max_requests:
            raise TooMany(
                f"more than run.max_requests = {run.max_requests} would be due: by {at / US:.1f} s there are"
            )
        part = scenario.streams[number]
        known = plans[part.plan]
        yield Due(
            at,
            f"{prefix}{n:010x}",
            known.ids[employer],
            part.plan,
            part.cls,
            part.units,
            gateway,
            known.first[employer],
            known.spread,
        )


def stream(
    scenario: Scenario, number: int, plans: dict[str, Employers]
) -> Iterator[tuple[int, int, int, int]]:
    """One stream's: time in us, its number, employer, gateway."""
    part, seed, seconds = scenario.streams[number], scenario.run.seed, scenario.run.seconds
    known = plans[part.plan]

    def times(shape: Shape, *names: object) -> Iterator[float]:
        if part.arrivals == "even":
            return even(shape, seconds)
        return poisson(shape, seconds, drawn(seed, "times", number, *names))

    def usual() -> Iterator[tuple[int, int, int, int]]:
        rng = drawn(seed, "who", number)
        for time in times(part.shape):
            employer = known.draw(rng)
            yield int(time * US), number, employer, known.gateway(employer, time, rng)

    def more(spell: SpellPart, place: int, employer: int) -> Iterator[tuple[int, int, int, int]]:
        rng = drawn(seed, "spell", number, place, employer)
        shape = Spell(
            shape=part.shape,
            factor=(spell.times - 1) * known.share(employer),
            begin=spell.at_s,
            end=spell.at_s + spell.length,
        )
        for time in times(shape, "spell", place, employer):
            yield int(time * US), number, employer, known.gateway(employer, time, rng)

    sources = [usual()]
    for place, spell in enumerate(scenario.spells):
        if spell.plan == part.plan:
            chosen = drawn(seed, "spelled", place).sample(range(len(known.ids)), spell.employers)
            sources += [more(spell, place, employer) for employer in chosen]
    return heapq.merge(*sources)


def digest(dues: Iterator[Due]) -> tuple[int, str]:
    """How many, and a SHA-256 over all of them: two runs of one scenario send the same bytes."""
    told, count = hashlib.sha256(), 0
    for due in dues:
        told.update(due.line().encode())
        count += 1
    return count, told.hexdigest()
