"""How many requests a host works on at once, learned from what hosts report of themselves.

Settings do not tell how large hosts are, and what is much for a host of four cores is half of the load of one
with sixteen. Where reports tell both the requests held and the part of the CPU that is busy, their ratio is
the number of cores: below full use a request waits for none, so each that is held has a core of its own.
"""

from __future__ import annotations

from collections.abc import Mapping

MIN_UTILISATION = 0.1  # part of the CPU busy under which a report says little
MAX_UTILISATION = 0.8  # part past which some requests wait
KEPT_PART = 0.99  # of the earlier reports' weight, with each report
MIN_REPORTS = 4  # before they are used: one of many gateways gets few, and sheds load meanwhile
MIN_CHANGE = 0.15  # as a part, that is reported: decisions that rest on it are made anew then


class CapacityEstimator:
    """How much larger hosts are than usual.

    Args:
        usual: requests at once that a host is taken to work on while nothing tells.
    """

    def __init__(self, usual: float) -> None:
        self.scale = 1.0  # 1 at least: what suits small hosts is left as it is
        self._usual = usual
        self._held = 0.0
        self._busy = 0.0
        self._reports = 0

    def observe(self, report: Mapping[str, float]) -> bool:
        """Take up a load report, and return whether `scale` has changed by it."""
        held = report.get("inflight", 0.0)
        utilisation = report.get("util", 0.0)
        if not (held > 0 and MIN_UTILISATION <= utilisation <= MAX_UTILISATION):
            return False
        self._held = self._held * KEPT_PART + held
        self._busy = self._busy * KEPT_PART + utilisation
        self._reports += 1
        if self._reports < MIN_REPORTS:
            return False
        scale = max(1.0, self._held / self._busy / self._usual)
        if abs(scale - self.scale) < MIN_CHANGE * self.scale:
            return False
        self.scale = scale
        return True
