"""An index of the endpoints that a gateway sends to: its subset, and those of the subset with capacity."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Generic, Protocol, TypeVar

from apigateway.routing import free_list, subset


class IndexedEndpoint(Protocol):
    """An item of the index."""

    attempts_in_flight: dict[Any, float]
    max_attempts_in_flight: int
    in_subset: bool
    position: int  # in `subset_with_capacity`


Item = TypeVar("Item", bound=IndexedEndpoint)


class SubsetIndex(Generic[Item]):
    """The subset of gateway `index` of `gateway_count`, and its attempts in flight."""

    def __init__(self, index: int, gateway_count: int) -> None:
        self.available: list[Item] = []  # all endpoints that may receive requests, in ring order
        self.subset: list[Item] = []
        self.subset_with_capacity: list[Item] = []  # unordered
        self.attempts_in_flight = 0
        self.no_capacity_until = 0.0  # no endpoint has capacity before this time; events reset it to 0
        self._index = index
        self._gateway_count = gateway_count

    def rebuild_subset(self, all_items: Iterable[Item], rate: float) -> None:
        """Select the items around this gateway's position on the ring, as many as its request rate requires.

        Args:
            all_items: all items that may have been in the subset before.
            rate: requests per second.
        """
        size = subset.subset_size(len(self.available), self._gateway_count, rate, len(self.subset))
        self.subset = subset.deterministic_subset(self.available, self._index, self._gateway_count, size)
        for item in all_items:
            item.in_subset = False
            item.position = free_list.ABSENT
        for item in self.subset:
            item.in_subset = True
        with_capacity = (
            item for item in self.subset if len(item.attempts_in_flight) < item.max_attempts_in_flight
        )
        self.subset_with_capacity = free_list.build(with_capacity)
        self.no_capacity_until = 0.0

    def is_too_small(self, rate: float) -> bool:
        """Return whether the subset is too small for this request rate."""
        return subset.REQUEST_INTERVAL_S * rate > len(self.subset) < len(self.available)

    def add_attempt(self, item: Item, key: tuple[str, int], now: float) -> None:
        """Record an attempt that is sent."""
        item.attempts_in_flight[key] = now
        self.attempts_in_flight += 1
        self._update_capacity(item)

    def remove_attempt(self, item: Item, key: tuple[str, int]) -> None:
        """Record the end of an attempt, if it is in flight."""
        self.attempts_in_flight -= item.attempts_in_flight.pop(key, None) is not None
        self._update_capacity(item)

    def _update_capacity(self, item: Item) -> None:
        """Update `subset_with_capacity` for an item, in constant time."""
        self.no_capacity_until = 0.0
        if item.in_subset and len(item.attempts_in_flight) < item.max_attempts_in_flight:
            free_list.add(self.subset_with_capacity, item)
        else:
            free_list.discard(self.subset_with_capacity, item)
