"""What a play is measured by."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any


def part(values: list[float], share: float) -> float:
    """The value that `share` of them do not pass; of a sorted list."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


@dataclass
class Figures:
    """Counts while `on`; broken rules at any time."""

    on: bool = False
    counts: Counter[str] = field(default_factory=Counter)
    times: list[float] = field(default_factory=list)  # of served ones, from the first try, in seconds
    rules: list[str] = field(default_factory=list)
    cost: float = 0.0  # of units sent on beyond quotas, in worth
    worth: float = 0.0  # of what was asked for inside them
    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def add(self, name: str, amount: int = 1) -> None:
        if self.on:
            self.counts[name] += amount

    def spend(self, cost: float) -> None:
        """On what was sent on beyond quotas, in worth."""
        if self.on:
            self.cost += cost

    def by_second(self, begin: int, length: int) -> list[dict[str, int]]:
        """From second `begin` on: first tries inside quotas that came in it, those of them that were answered
        within the aim, tries that were refused in it, attempts sent to where nothing can be reached."""
        names = {"inside": "inside", "in_aim": "in aim", "refused": "refused", "in_vain": "in vain"}
        return [
            {name: self.seconds[second][key] for name, key in names.items()}
            for second in range(begin, begin + length)
        ]

    def broken(self, text: str) -> None:
        self.rules.append(text)

    def summary(self, extra: dict[str, Any]) -> dict[str, Any]:
        """`in_aim` and `served` are of what was asked for inside quotas: what was sent on inside them, and
        answered; `refused` and `failed` of first tries, by what their last try was told; `over_quota` of what
        is sent on, `quota_cost` its cost in worth, of that asked for inside quotas; `with_room` of refused
        tries those whose customer's quota had room just then. Times in milliseconds, from the first try."""
        c, times, firsts = self.counts, sorted(self.times), max(1, self.counts["firsts"])
        inside, tries = max(1, c["inside"]), max(1, c["tries"])
        return {
            "firsts": c["firsts"],
            "tries_each": c["tries"] / firsts,
            "in_aim": c["in aim"] / inside,
            "served": c["served"] / inside,
            "refused": c["refused"] / firsts,
            "failed": c["failed"] / firsts,
            "refused_tries": c["refused tries"] / tries,
            "p50_ms": 1000 * part(times, 0.5),
            "p99_ms": 1000 * part(times, 0.99),
            "attempts_each": c["attempts"] / tries,
            "connections_each": c["connections"] / firsts,
            "probes_each": c["probes"] / firsts,
            "calls_each": c["counter calls"] / firsts,
            "calls_late": c["counter late"] / max(1, c["counter calls"]),
            "over_quota": c["units beyond"] / max(1, c["units sent"]),
            "quota_cost": self.cost / max(1e-9, self.worth),
            "with_room": c["refused with room"] / max(1, c["refused tries"]),
            "full": c["outcome full"],
            "timeouts": c["outcome timeout"],
            "fell": c["fell"],
            "broken": len(self.rules),
            **extra,
        }
