"""How many requests a second are due, over time: shapes of a scenario, their sums and products. Pure.

Rates are requests a second, times seconds from the begin. Each shape knows a rate that it never passes, by
which arrivals are drawn."""

from __future__ import annotations

import math
from typing import Annotated, Union

import msgspec

Rate = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Time = Annotated[float, msgspec.Meta(ge=0, le=1e8)]
Length = Annotated[float, msgspec.Meta(gt=0, le=1e8)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Shape(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", forbid_unknown_fields=True):
    def at(self, time: float) -> float:
        raise NotImplementedError

    def top(self) -> float:
        """A rate that `at` never passes."""
        raise NotImplementedError


class Constant(Shape, frozen=True, kw_only=True, tag="constant"):
    rate: Rate

    def at(self, time: float) -> float:
        return self.rate

    def top(self) -> float:
        return self.rate


class Ramp(Shape, frozen=True, kw_only=True, tag="ramp"):
    """From `start` to `end`, evenly `over` so long from `at_s` on; before and after as at its ends."""

    start: Rate
    end: Rate
    over: Length
    at_s: Time = 0.0

    def at(self, time: float) -> float:
        part = min(1.0, max(0.0, (time - self.at_s) / self.over))
        return self.start + (self.end - self.start) * part

    def top(self) -> float:
        return max(self.start, self.end)


class Steps(Shape, frozen=True, kw_only=True, tag="steps"):
    """Each of `rates` for `each` seconds; the last one stays."""

    rates: Annotated[list[Rate], msgspec.Meta(min_length=1, max_length=10_000)]
    each: Length

    def at(self, time: float) -> float:
        return self.rates[min(len(self.rates) - 1, max(0, int(time / self.each)))]

    def top(self) -> float:
        return max(self.rates)


class Burst(Shape, frozen=True, kw_only=True, tag="burst"):
    """`rate` from `at_s` on for `length`, nothing else. With `every` it comes again and again."""

    rate: Rate
    at_s: Time
    length: Length
    every: Time = 0.0

    def at(self, time: float) -> float:
        since = time - self.at_s
        if since < 0:
            return 0.0
        if self.every:
            since %= self.every
        return self.rate if since < self.length else 0.0

    def top(self) -> float:
        return self.rate


class OnOff(Shape, frozen=True, kw_only=True, tag="on-off"):
    rate: Rate
    on: Length
    off: Length

    def at(self, time: float) -> float:
        return self.rate if time % (self.on + self.off) < self.on else 0.0

    def top(self) -> float:
        return self.rate


class Sine(Shape, frozen=True, kw_only=True, tag="sine"):
    """Round `mean`, up and down by `swing` of it each `period`."""

    mean: Rate
    swing: Part
    period: Length
    phase: Part = 0.0

    def at(self, time: float) -> float:
        return self.mean * (1 + self.swing * math.sin(2 * math.pi * (time / self.period + self.phase)))

    def top(self) -> float:
        return self.mean * (1 + self.swing)


class Day(Shape, frozen=True, kw_only=True, tag="day"):
    """Office hours: `low` of `rate` by night, all of it at noon; a day has `day` seconds and begins at
    midnight."""

    rate: Rate
    day: Length = 86_400.0
    low: Part = 0.1

    def at(self, time: float) -> float:
        hour = time / self.day % 1.0  # work begins at a quarter and ends at three quarters
        up = max(0.0, math.sin(math.pi * (hour - 0.25) / 0.5)) if 0.25 <= hour <= 0.75 else 0.0
        return self.rate * (self.low + (1 - self.low) * up)

    def top(self) -> float:
        return self.rate


class BuildUp(Shape, frozen=True, kw_only=True, tag="build-up"):
    """Weeks before a feast: from `start` to `end` by the same factor each day, `over` so long, with the day's
    own shape on it."""

    start: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    end: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    over: Length
    day: Length = 86_400.0
    low: Part = 0.1

    def at(self, time: float) -> float:
        part = min(1.0, max(0.0, time / self.over))
        return Day(rate=self.start * (self.end / self.start) ** part, day=self.day, low=self.low).at(time)

    def top(self) -> float:
        return max(self.start, self.end)


class MonthStart(Shape, frozen=True, kw_only=True, tag="month-start"):
    """`base`, and from `at_s` on up to `peak` within `rise`; then half of what is above it is gone each
    `half`."""

    base: Rate
    peak: Rate
    at_s: Time
    rise: Length
    half: Length

    def at(self, time: float) -> float:
        since = time - self.at_s
        if since < 0:
            return self.base
        part = since / self.rise if since < self.rise else 0.5 ** ((since - self.rise) / self.half)
        return self.base + (self.peak - self.base) * part

    def top(self) -> float:
        return max(self.base, self.peak)


class Sum(Shape, frozen=True, kw_only=True, tag="sum"):
    of: Annotated[list[AnyShape], msgspec.Meta(min_length=1, max_length=100)]

    def at(self, time: float) -> float:
        return sum(shape.at(time) for shape in self.of)

    def top(self) -> float:
        return sum(shape.top() for shape in self.of)


class Product(Shape, frozen=True, kw_only=True, tag="product"):
    """The first is a rate; the others are factors, as rates of 1 are."""

    of: Annotated[list[AnyShape], msgspec.Meta(min_length=1, max_length=100)]

    def at(self, time: float) -> float:
        return math.prod(shape.at(time) for shape in self.of)

    def top(self) -> float:
        return math.prod(shape.top() for shape in self.of)


AnyShape = Union[Constant, Ramp, Steps, Burst, OnOff, Sine, Day, BuildUp, MonthStart, Sum, Product]  # noqa: UP007
