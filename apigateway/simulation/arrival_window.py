"""Detects that a host in slow start receives more work than it can process."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

MIN_MEAN_WORK = 1e-9  # core seconds; avoids a division by zero for requests without work


class Arrival(NamedTuple):
    """A request that arrived at a host."""

    arrived_at: float
    work: float  # core seconds
    sender_knew_start: bool  # whether the gateway knew of the host's latest start


class ArrivalWindow:
    """The requests that arrived at one host within the last `duration` seconds."""

    def __init__(self, duration: float) -> None:
        self._duration = duration
        self._arrivals: deque[Arrival] = deque()
        self._work = 0.0

    def add(self, arrival: Arrival) -> None:
        """Add a request, and remove those that are too old."""
        self._arrivals.append(arrival)
        self._work += arrival.work
        oldest = arrival.arrived_at - self._duration
        while self._arrivals[0].arrived_at < oldest:
            self._work -= self._arrivals.popleft().work

    def clear(self) -> None:
        """Remove all requests."""
        self._arrivals.clear()
        self._work = 0.0

    def exceeds(self, allowed_work: float) -> bool:
        """Return whether the arrivals exceed `allowed_work` core seconds by more than chance explains.

        The margin for chance is 3 sqrt(N) + 3 requests, where N requests of mean work make up the allowed
        work: three standard deviations of a Poisson process.
        """
        mean_work = max(self._work / len(self._arrivals), MIN_MEAN_WORK)
        allowed_requests = allowed_work / mean_work
        return len(self._arrivals) > allowed_requests + 3 * math.sqrt(allowed_requests) + 3

    def informed_share(self) -> float:
        """Return the share of the requests whose gateway knew of the host's latest start."""
        return sum(arrival.sender_knew_start for arrival in self._arrivals) / len(self._arrivals)
