"""How many requests a host works on at once, learned from what hosts report of themselves.

Settings do not tell how large hosts are, and what is much for a host of four cores is half of the load of one
with sixteen. Where reports tell both the requests held and the part of the CPU that is busy, their ratio is
the number of cores: below full use a request waits for none, so each that is held has a core of its own.
"""

from __future__ import annotations

from collections.abc import Mapping

IDLE, FULL = 0.1, 0.8  # part of the CPU busy; under it a report says little, past it some requests wait
KEEP = 0.99  # of what was heard before, with each report
ENOUGH = 4  # reports before it is believed: one of many gateways hears few, and sheds meanwhile
STEP = 0.15  # change, as a part, that is told: decisions that rest on it are made anew then


class CapacityEstimator:
    """`usual`: requests at once that a host is taken to work on while nothing tells. `scale`: by how much
    hosts are larger than that, 1 at least: what suits small ones is left as it is."""

    def __init__(self, usual: float) -> None:
        self.usual, self.scale = usual, 1.0
        self.held, self.busy, self.heard = 0.0, 0.0, 0

    def note(self, report: Mapping[str, float]) -> bool:
        """Whether `scale` has changed by it."""
        held, util = report.get("inflight", 0.0), report.get("util", 0.0)
        if not (held > 0 and IDLE <= util <= FULL):
            return False
        self.held, self.busy = self.held * KEEP + held, self.busy * KEEP + util
        self.heard += 1
        if self.heard < ENOUGH:
            return False
        scale = max(1.0, self.held / self.busy / self.usual)
        if abs(scale - self.scale) < STEP * self.scale:
            return False
        self.scale = scale
        return True
