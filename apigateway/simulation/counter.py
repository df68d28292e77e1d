"""The counter: names in parts, each with so many calls a second; it answers in turn, however late."""

from __future__ import annotations

from collections.abc import Callable

from apigateway.simulation.clock import Clock
from apigateway.simulation.scenario import Counting

MOST_LATE = 2.0  # s; calls that would wait longer are turned away


class Counter:
    def __init__(self, clock: Clock, spec: Counting) -> None:
        self.clock, self.spec, self.silent = clock, spec, False
        self.free_at = [clock.now] * spec.parts
        self.totals: dict[int, tuple[float, float]] = {}  # name: total, when it is forgotten
        self.calls = 0

    def add(self, name: int, amount: float, life: float, answer: Callable[[str, float], None]) -> None:
        """`answer` is called with "ok" and the total, or "full"; never while it is silent."""
        if self.silent:
            return
        part, now = name % self.spec.parts, self.clock.now
        start = max(now, self.free_at[part])
        self.calls += 1
        if start - now > MOST_LATE:
            self.clock.after(self.spec.call, answer, "full", 0.0)
            return
        self.free_at[part] = start + self.spec.parts / self.spec.capacity
        self.clock.at(start + self.spec.call, self.count, name, amount, life, answer)

    def count(self, name: int, amount: float, life: float, answer: Callable[[str, float], None]) -> None:
        total, until = self.totals.get(name, (0.0, 0.0))
        if until <= self.clock.now:
            total, until = 0.0, self.clock.now + life
        self.totals[name] = total + amount, until
        if not self.silent:
            answer("ok", total + amount)
