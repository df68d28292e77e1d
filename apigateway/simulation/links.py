"""What lies between two parties: time, loss and silence, by pairs of zones and by parties."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from apigateway.simulation.clock import Clock


@dataclass(frozen=True, slots=True)
class Fault:
    """Between any party of `here` and any of `there`, each a zone or a party's name; "*": any. Both ways,
    unless `one_way`: then what goes from `here` to `there` alone."""

    here: str
    there: str
    delay: float = 0.0  # s, one way, on top
    lose: float = 0.0  # part of the messages that never come
    one_way: bool = False

    def hits(self, source: Place, target: Place) -> bool:
        ahead = self.here in ("*", source.zone, source.name) and self.there in ("*", target.zone, target.name)
        back = self.here in ("*", target.zone, target.name) and self.there in ("*", source.zone, source.name)
        return ahead or (back and not self.one_way)


@dataclass(frozen=True, slots=True)
class Place:
    """Where a party stands."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class Distances:
    same: float = 0.0002  # s, one way, within a zone
    cross: float = 0.002
    jitter: float = 0.15  # part of it


class Links:
    def __init__(self, clock: Clock, distances: Distances, rng: random.Random) -> None:
        self.clock, self.distances, self.rng = clock, distances, rng
        self.faults: list[Fault] = []

    def way(self, source: Place, target: Place) -> float:
        """Seconds that a message takes now; below 0: it never comes."""
        d = self.distances
        took = (d.same if source.zone == target.zone else d.cross) * (1 + d.jitter * self.rng.random())
        for fault in self.faults:
            if fault.hits(source, target):
                if fault.lose and self.rng.random() < fault.lose:
                    return -1.0
                took += fault.delay
        return took

    def cut(self, source: Place, target: Place) -> bool:
        """Whether nothing passes there now."""
        return any(fault.lose >= 1 and fault.hits(source, target) for fault in self.faults)

    def send(self, source: Place, target: Place, what: Callable[..., None], *args: Any) -> bool:
        """False: it is lost, which its sender is not told."""
        took = self.way(source, target)
        if took < 0:
            return False
        self.clock.after(took, what, *args)
        return True
