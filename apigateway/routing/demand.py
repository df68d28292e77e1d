"""Estimates how a sender's request rate compares with the rate that it is allowed."""

from __future__ import annotations

import math

DECAY_TIME_S = 20.0  # long enough to infer from these counts what a sender requests at other gateways


class DemandEstimator:
    """Exponentially decaying counts of a sender's requests and of the requests that its rate allows."""

    __slots__ = ("_allowed", "_observed", "_updated_at")

    def __init__(self, now: float) -> None:
        self._observed = 0.0
        self._allowed = 0.0
        self._updated_at = now

    def observe(self, now: float, allowed_rate: float) -> float:
        """Count a request, and return the allowed requests for each one observed before it, at most 1."""
        decay = math.exp((self._updated_at - now) / DECAY_TIME_S)
        self._allowed = self._allowed * decay + allowed_rate * DECAY_TIME_S * (1 - decay)
        allowed_ratio = min(1.0, (1 + self._allowed) / (1 + self._observed * decay))
        self._observed = self._observed * decay + 1
        self._updated_at = now
        return allowed_ratio
