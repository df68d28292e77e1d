"""A priority queue with a sub-queue for each route and lazy deletion."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable, Hashable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

MAX_EXTRA_DONE_ENTRIES = 4  # beyond the number of waiting ones; avoids rebuilding a short queue each time


class QueueItem(Protocol):
    """An item of the queue; `done` means that it no longer waits."""

    done: bool


Item = TypeVar("Item", bound=QueueItem)


class QueueEntry(NamedTuple, Generic[Item]):
    """An item with its sort key. The greatest entry is served first; sequence numbers are unique."""

    is_preferred: bool
    value: float
    sequence_number: int
    item: Item


class PriorityQueue(Generic[Item]):
    """Items by route. On each route preferred items come first, then those of greater value, then later ones.

    If the first item of a route cannot be served, neither can those behind it. So only the first item of each
    route is examined, and the cost of draining does not grow with the length of the queue.
    """

    def __init__(self) -> None:
        self.queues_by_route: dict[Hashable, list[QueueEntry[Item]]] = {}  # each sorted, first item last
        self.waiting_count = 0
        self.entry_count = 0  # waiting ones and done ones that are not removed yet
        self._sequence_numbers = itertools.count()

    def insert(self, route: Hashable, is_preferred: bool, value: float, item: Item) -> None:
        """Insert an item into the queue of its route."""
        entry = QueueEntry(is_preferred, value, next(self._sequence_numbers), item)
        bisect.insort(self.queues_by_route.setdefault(route, []), entry)
        self.waiting_count += 1
        self.entry_count += 1

    def on_item_done(self) -> None:
        """Update the counts for a waiting item that is done; its entry is removed later, with others."""
        self.waiting_count -= 1
        if self.entry_count > 2 * self.waiting_count + MAX_EXTRA_DONE_ENTRIES:
            self._remove_done()

    def _remove_done(self) -> None:
        waiting_by_route = {}
        for route, entries in self.queues_by_route.items():
            waiting = [entry for entry in entries if not entry.item.done]
            if waiting:
                waiting_by_route[route] = waiting
        self.queues_by_route = waiting_by_route
        self.entry_count = self.waiting_count

    def head_sort_key(self, route: Any) -> tuple[bool, float, int, Any] | None:
        """Return the sort key of a route's first item, with the route last; the least key is served first.

        Remove done items before it. If nothing waits on the route, remove the route and return None.
        """
        entries = self.queues_by_route[route]
        while entries and entries[-1].item.done:
            entries.pop()
            self.entry_count -= 1
        if entries:
            is_preferred, value, sequence_number, _ = entries[-1]
            return not is_preferred, -value, -sequence_number, route
        del self.queues_by_route[route]
        return None

    def first(self, route: Hashable) -> Item:
        """Return the first item of a route, for which `head_sort_key` has returned a key."""
        return self.queues_by_route[route][-1].item

    def pop(self, route: Hashable) -> None:
        """Remove the first item of a route."""
        self.queues_by_route[route].pop()
        self.waiting_count -= 1
        self.entry_count -= 1

    def drain(self, serve: Callable[[Item], bool]) -> None:
        """Serve the items in order; if `serve` returns False for one, skip the rest of its route."""
        sort_keys = [key for route in list(self.queues_by_route) if (key := self.head_sort_key(route))]
        heapq.heapify(sort_keys)
        while sort_keys:
            route = sort_keys[0][-1]
            if not serve(self.first(route)):  # items behind it could not be served either
                heapq.heappop(sort_keys)
                continue
            self.pop(route)
            key = self.head_sort_key(route)
            if key:
                heapq.heapreplace(sort_keys, key)
            else:
                heapq.heappop(sort_keys)

    def lowest_priority(self) -> Item | None:
        """Return the item that would be served last, without removing it."""
        lowest: QueueEntry[Item] | None = None
        for entries in self.queues_by_route.values():
            last = next((entry for entry in entries if not entry.item.done), None)
            if last is not None and (lowest is None or last < lowest):
                lowest = last
        return lowest.item if lowest is not None else None
