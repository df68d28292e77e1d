"""An index of the endpoints that one of many gateways sends to: its subset, and those in it with capacity."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Generic, Protocol, TypeVar

from apigateway.routing import free_list, subset


class Indexed(Protocol):
    """What the index can hold."""

    attempts_in_flight: dict[Any, float]
    max_attempts_in_flight: int  # out at once
    in_subset: bool
    position: int  # in the free list


Item = TypeVar("Item", bound=Indexed)


class SubsetIndex(Generic[Item]):
    """The subset of gateway `index` of `gateways`, and the attempts that it has out."""

    def __init__(self, index: int, gateways: int) -> None:
        self.available: list[Item] = []  # all that may be sent to, in the order of the ring
        self.subset: list[Item] = []
        self.subset_with_capacity: list[Item] = []  # those of the subset, in no order
        self.attempts_in_flight = 0
        self.no_capacity_until = 0.0  # none may be sent to before, unless an event says otherwise
        self._index = index
        self._gateways = gateways

    def rebuild_subset(self, known: Iterable[Item], rate: float) -> None:
        """Take the items around this gateway's place, as many as its `rate` of requests wants.

        Args:
            known: all items that may have been in the subset before.
            rate: requests a second.
        """
        width = subset.subset_size(len(self.available), self._gateways, rate, len(self.subset))
        self.subset = subset.deterministic_subset(self.available, self._index, self._gateways, width)
        for item in known:
            item.in_subset = False
            item.position = free_list.ABSENT
        for item in self.subset:
            item.in_subset = True
        free = (item for item in self.subset if len(item.attempts_in_flight) < item.max_attempts_in_flight)
        self.subset_with_capacity = free_list.build(free)
        self.no_capacity_until = 0.0

    def is_too_small(self, rate: float) -> bool:
        """Return whether the subset should be wider for this rate of requests."""
        return subset.PAIR * rate > len(self.subset) < len(self.available)

    def add_attempt(self, item: Item, key: tuple[str, int], now: float) -> None:
        """Note an attempt that is sent."""
        item.attempts_in_flight[key] = now
        self.attempts_in_flight += 1
        self._update(item)

    def remove_attempt(self, item: Item, key: tuple[str, int]) -> None:
        """Note that an attempt is not out any more, if it was."""
        self.attempts_in_flight -= item.attempts_in_flight.pop(key, None) is not None
        self._update(item)

    def _update(self, item: Item) -> None:
        """Keep `subset_with_capacity` true, in one step whatever the number of items."""
        self.no_capacity_until = 0.0
        if item.in_subset and len(item.attempts_in_flight) < item.max_attempts_in_flight:
            free_list.add(self.subset_with_capacity, item)
        else:
            free_list.discard(self.subset_with_capacity, item)
