"""Request rates over time: the shapes that a scenario file can use, and their sums and products.

Rates are requests per second; times are seconds from the start of the run. Each shape has an upper bound of
its rate, which is needed to draw arrivals. The fields of the shapes are keys of scenario files.
"""

from __future__ import annotations

import math
from typing import Annotated, Union

import msgspec

WORK_START = 0.25  # position in the day of `Day`, as a share of it: 6:00
WORK_END = 0.75  # 18:00

_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=1e8)]
_Duration = Annotated[float, msgspec.Meta(gt=0, le=1e8)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Shape(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", forbid_unknown_fields=True):
    """A rate over time; the key `kind` of a table in a scenario file selects the subclass."""

    def rate_at(self, time: float) -> float:
        """Return the rate at a time."""
        raise NotImplementedError

    def max_rate(self) -> float:
        """Return an upper bound of `rate_at`."""
        raise NotImplementedError


class Constant(Shape, frozen=True, kw_only=True, tag="constant"):
    """A constant rate."""

    rate: _Rate

    def rate_at(self, time: float) -> float:
        return self.rate

    def max_rate(self) -> float:
        return self.rate


class Ramp(Shape, frozen=True, kw_only=True, tag="ramp"):
    """A linear change from `start` to `end` within `over` seconds from `at_s`; constant before and after."""

    start: _Rate
    end: _Rate
    over: _Duration
    at_s: _Time = 0.0

    def rate_at(self, time: float) -> float:
        progress = min(1.0, max(0.0, (time - self.at_s) / self.over))
        return self.start + (self.end - self.start) * progress

    def max_rate(self) -> float:
        return max(self.start, self.end)


class Steps(Shape, frozen=True, kw_only=True, tag="steps"):
    """A sequence of `rates`, each for `each` seconds; the last one lasts to the end of the run."""

    rates: Annotated[list[_Rate], msgspec.Meta(min_length=1, max_length=10_000)]
    each: _Duration

    def rate_at(self, time: float) -> float:
        step = max(0, int(time / self.each))
        return self.rates[min(len(self.rates) - 1, step)]

    def max_rate(self) -> float:
        return max(self.rates)


class Burst(Shape, frozen=True, kw_only=True, tag="burst"):
    """`rate` for `length` seconds from `at_s`, else 0; repeats every `every` seconds unless that is 0."""

    rate: _Rate
    at_s: _Time
    length: _Duration
    every: _Time = 0.0

    def rate_at(self, time: float) -> float:
        elapsed = time - self.at_s
        if elapsed < 0:
            return 0.0
        if self.every:
            elapsed %= self.every
        return self.rate if elapsed < self.length else 0.0

    def max_rate(self) -> float:
        return self.rate


class OnOff(Shape, frozen=True, kw_only=True, tag="on-off"):
    """`rate` for `on` seconds and 0 for `off` seconds, alternating."""

    rate: _Rate
    on: _Duration
    off: _Duration

    def rate_at(self, time: float) -> float:
        return self.rate if time % (self.on + self.off) < self.on else 0.0

    def max_rate(self) -> float:
        return self.rate


class Sine(Shape, frozen=True, kw_only=True, tag="sine"):
    """A sine around `mean` with the amplitude `swing` * `mean` and a period of `period` seconds."""

    mean: _Rate
    swing: _Fraction
    period: _Duration
    phase: _Fraction = 0.0

    def rate_at(self, time: float) -> float:
        return self.mean * (1 + self.swing * math.sin(2 * math.pi * (time / self.period + self.phase)))

    def max_rate(self) -> float:
        return self.mean * (1 + self.swing)


class Day(Shape, frozen=True, kw_only=True, tag="day"):
    """Office hours: the fraction `low` of `rate` at night, rising to `rate` at noon.

    A day lasts `day` seconds and begins at midnight.
    """

    rate: _Rate
    day: _Duration = 86_400.0
    low: _Fraction = 0.1

    def rate_at(self, time: float) -> float:
        time_of_day = time / self.day % 1.0
        height = 0.0  # position between the night rate (0) and the noon rate (1)
        if WORK_START <= time_of_day <= WORK_END:
            work_progress = (time_of_day - WORK_START) / (WORK_END - WORK_START)
            height = max(0.0, math.sin(math.pi * work_progress))
        return self.rate * (self.low + (1 - self.low) * height)

    def max_rate(self) -> float:
        return self.rate


class BuildUp(Shape, frozen=True, kw_only=True, tag="build-up"):
    """The weeks before a holiday: `start` grows to `end` by the same factor each day, within `over` seconds.

    `start` and `end` are noon rates; each day has the shape of `Day`.
    """

    start: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    end: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    over: _Duration
    day: _Duration = 86_400.0
    low: _Fraction = 0.1

    def rate_at(self, time: float) -> float:
        progress = min(1.0, max(0.0, time / self.over))
        noon_rate = self.start * (self.end / self.start) ** progress
        return Day(rate=noon_rate, day=self.day, low=self.low).rate_at(time)

    def max_rate(self) -> float:
        return max(self.start, self.end)


class MonthStart(Shape, frozen=True, kw_only=True, tag="month-start"):
    """`base`, with a rise to `peak` within `rise` seconds from `at_s`, and a decay back to `base`.

    The excess over `base` halves every `half` seconds.
    """

    base: _Rate
    peak: _Rate
    at_s: _Time
    rise: _Duration
    half: _Duration

    def rate_at(self, time: float) -> float:
        elapsed = time - self.at_s
        if elapsed < 0:
            return self.base
        half_lives = (elapsed - self.rise) / self.half
        height = elapsed / self.rise if elapsed < self.rise else 0.5**half_lives
        return self.base + (self.peak - self.base) * height

    def max_rate(self) -> float:
        return max(self.base, self.peak)


class Sum(Shape, frozen=True, kw_only=True, tag="sum"):
    """The sum of several shapes."""

    of: Annotated[list[AnyShape], msgspec.Meta(min_length=1, max_length=100)]

    def rate_at(self, time: float) -> float:
        return sum(shape.rate_at(time) for shape in self.of)

    def max_rate(self) -> float:
        return sum(shape.max_rate() for shape in self.of)


class Product(Shape, frozen=True, kw_only=True, tag="product"):
    """The product of several shapes: the first is a rate, the others are factors."""

    of: Annotated[list[AnyShape], msgspec.Meta(min_length=1, max_length=100)]

    def rate_at(self, time: float) -> float:
        return math.prod(shape.rate_at(time) for shape in self.of)

    def max_rate(self) -> float:
        return math.prod(shape.max_rate() for shape in self.of)


AnyShape = Union[Constant, Ramp, Steps, Burst, OnOff, Sine, Day, BuildUp, MonthStart, Sum, Product]  # noqa: UP007
