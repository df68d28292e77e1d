"""Detects that a host which is warming up is sent more than it bears."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

MIN_MEAN_WORK = 1e-9  # core seconds; keeps the allowance defined for requests without work


class Arrival(NamedTuple):
    """A request that has come to a host."""

    at: float
    work: float  # core seconds
    sender_knew_start: bool  # whether its gateway had been told of the host's start


class ArrivalWindow:
    """The requests that came to one host within the last `duration` seconds."""

    def __init__(self, duration: float) -> None:
        self._duration = duration
        self._arrivals: deque[Arrival] = deque()
        self._work = 0.0

    def add(self, arrival: Arrival) -> None:
        """Add a request, and forget those that are too old."""
        self._arrivals.append(arrival)
        self._work += arrival.work
        oldest = arrival.at - self._duration
        while self._arrivals[0].at < oldest:
            self._work -= self._arrivals.popleft().work

    def clear(self) -> None:
        """Forget all requests."""
        self._arrivals.clear()
        self._work = 0.0

    def exceeds(self, allowed_work: float) -> bool:
        """Return whether more came than `allowed_work` core seconds and chance explain.

        Chance is allowed for with 3 sqrt(N) + 3 requests on top of the N requests of mean work that make up
        the allowed work: three standard deviations of a Poisson process.
        """
        mean_work = max(self._work / len(self._arrivals), MIN_MEAN_WORK)
        allowed = allowed_work / mean_work
        return len(self._arrivals) > allowed + 3 * math.sqrt(allowed) + 3

    def informed_share(self) -> float:
        """Return the share of the requests whose gateway had been told of the host's start."""
        return sum(arrival.sender_knew_start for arrival in self._arrivals) / len(self._arrivals)
