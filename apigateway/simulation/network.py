"""A simulated network with latency, loss and partitions."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from apigateway.simulation.clock import SimulatedClock

ANYWHERE = "*"  # in a link fault: any zone and any node


@dataclass(frozen=True, slots=True)
class Location:
    """A node of the network and its zone."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Extra delay and loss between the nodes of `source` and those of `target`.

    Attributes:
        source: A zone, the name of a node, or `ANYWHERE`.
        target: A zone, the name of a node, or `ANYWHERE`.
        delay: Seconds added to the one-way latency.
        loss: Share of the messages that are lost.
        is_one_way: Whether only messages from `source` to `target` are affected.
    """

    source: str
    target: str
    delay: float = 0.0
    loss: float = 0.0
    is_one_way: bool = False

    def affects(self, sender: Location, receiver: Location) -> bool:
        """Return whether the fault applies to a message from `sender` to `receiver`."""
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
    jitter: float = 0.15  # maximum random addition, as a share of the latency


class Network:
    """Delivers messages after the latency of their link, unless a fault drops them."""

    def __init__(self, clock: SimulatedClock, distances: Distances, rng: random.Random) -> None:
        self._clock = clock
        self._distances = distances
        self._rng = rng
        self.faults: list[LinkFault] = []

    def transit_time(self, sender: Location, receiver: Location) -> float | None:
        """Draw the seconds that a message takes, or return None if it is lost."""
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
        """Return whether all messages from `sender` to `receiver` are lost."""
        return any(fault.loss >= 1 and fault.affects(sender, receiver) for fault in self.faults)

    def send(self, sender: Location, receiver: Location, deliver: Callable[..., None], *args: Any) -> bool:
        """Call `deliver` with `args` when the message arrives.

        Returns:
            False if the message is lost; simulated senders must not use this.
        """
        seconds = self.transit_time(sender, receiver)
        if seconds is None:
            return False
        self._clock.call_later(seconds, deliver, *args)
        return True
