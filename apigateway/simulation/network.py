"""The network between the parts of a simulation: latency, loss and partitions."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from apigateway.simulation.clock import SimulatedClock

ANYWHERE = "*"  # in a link fault: any zone and any party


@dataclass(frozen=True, slots=True)
class Location:
    """A party on the network and the zone that it stands in."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Extra delay and loss between any party of `source` and any of `target`.

    Attributes:
        source: A zone, a party's name, or `ANYWHERE`.
        target: Likewise.
        delay: Seconds added one way.
        loss: Share of the messages that never arrive.
        is_one_way: Whether only messages from `source` to `target` are affected.
    """

    source: str
    target: str
    delay: float = 0.0
    loss: float = 0.0
    is_one_way: bool = False

    def affects(self, sender: Location, receiver: Location) -> bool:
        """Return whether a message between these two is subject to the fault."""
        forward = _matches(self.source, sender) and _matches(self.target, receiver)
        backward = _matches(self.source, receiver) and _matches(self.target, sender)
        return forward or (backward and not self.is_one_way)


def _matches(pattern: str, location: Location) -> bool:
    return pattern in (ANYWHERE, location.zone, location.name)


@dataclass(frozen=True, slots=True)
class Distances:
    """One-way latencies in seconds. The field names are keys of experiment files."""

    same: float = 0.0002  # within a zone
    cross: float = 0.002  # between zones
    jitter: float = 0.15  # share of the latency that is added at random, at most


class Network:
    """Delivers messages between locations after the latency of the link, unless a fault drops them."""

    def __init__(self, clock: SimulatedClock, distances: Distances, rng: random.Random) -> None:
        self._clock = clock
        self._distances = distances
        self._rng = rng
        self.faults: list[LinkFault] = []

    def transit_time(self, sender: Location, receiver: Location) -> float | None:
        """Draw the seconds that a message takes now; None if it is lost."""
        distances = self._distances
        latency = distances.same if sender.zone == receiver.zone else distances.cross
        seconds = latency * (1 + distances.jitter * self._rng.random())
        for fault in self.faults:
            if fault.affects(sender, receiver):
                if fault.loss and self._rng.random() < fault.loss:
                    return None
                seconds += fault.delay
        return seconds

    def is_partitioned(self, sender: Location, receiver: Location) -> bool:
        """Return whether no message at all passes from one to the other now."""
        return any(fault.loss >= 1 and fault.affects(sender, receiver) for fault in self.faults)

    def send(self, sender: Location, receiver: Location, deliver: Callable[..., None], *args: Any) -> bool:
        """Call `deliver` with `args` when the message arrives.

        Returns:
            False if the message is lost; a simulated sender must not act on it.
        """
        seconds = self.transit_time(sender, receiver)
        if seconds is None:
            return False
        self._clock.call_later(seconds, deliver, *args)
        return True
