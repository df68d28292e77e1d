"""An estimate of how a sender's requests compare with the rate that it is entitled to."""

from __future__ import annotations

import math

MEMORY = 20.0  # s that requests are remembered, for what the sender asks for elsewhere


class DemandEstimator:
    """Exponentially decaying counts of a sender's requests here and of those that its rate allows."""

    __slots__ = ("_allowed", "_seen", "_updated_at")

    def __init__(self, now: float) -> None:
        self._seen = 0.0
        self._allowed = 0.0
        self._updated_at = now

    def observe(self, now: float, allowed_rate: float) -> float:
        """Count a request, and return how many are allowed for each one seen before it, 1 at most."""
        fade = math.exp((self._updated_at - now) / MEMORY)
        self._allowed = self._allowed * fade + allowed_rate * MEMORY * (1 - fade)
        odds = min(1.0, (1 + self._allowed) / (1 + self._seen * fade))
        self._seen = self._seen * fade + 1
        self._updated_at = now
        return odds
