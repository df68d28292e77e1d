"""A priority queue by route, with lazy deletion: it orders what waits and decides nothing."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable, Hashable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

MAX_EXTRA_DONE_ENTRIES = (
    4  # discarded entries kept beyond as many as wait: a short queue is not rebuilt each time
)


class Discardable(Protocol):
    """What a queue can hold: `done` says that it no longer waits."""

    done: bool


Item = TypeVar("Item", bound=Discardable)


class QueueEntry(NamedTuple, Generic[Item]):
    """An item where it waits; the greatest entry goes first, and numbers are never the same."""

    is_preferred: bool
    value: float
    number: int
    item: Item


class PriorityQueue(Generic[Item]):
    """Items by route, on each in order: preferred ones first, then the most valuable, of equals the latest.

    Items of one route are served or stuck together, so only the first of each has to be looked at, and no
    look at the queue grows with its length.
    """

    def __init__(self) -> None:
        self.queues_by_route: dict[Hashable, list[QueueEntry[Item]]] = {}  # the first item stands at the end
        self.waiting_count = 0
        self.entry_count = 0  # those that wait and those discarded since
        self._numbers = itertools.count()

    def insert(self, route: Hashable, is_preferred: bool, value: float, item: Item) -> None:
        """Put an item in its place on a route."""
        entry = QueueEntry(is_preferred, value, next(self._numbers), item)
        bisect.insort(self.queues_by_route.setdefault(route, []), entry)
        self.waiting_count += 1
        self.entry_count += 1

    def on_item_done(self) -> None:
        """Note that one item that waited is done. It stays where it is until so are as many as wait."""
        self.waiting_count -= 1
        if self.entry_count > 2 * self.waiting_count + MAX_EXTRA_DONE_ENTRIES:
            self._remove_done()

    def _remove_done(self) -> None:
        remaining = {}
        for route, entries in self.queues_by_route.items():
            waiting = [entry for entry in entries if not entry.item.done]
            if waiting:
                remaining[route] = waiting
        self.queues_by_route = remaining
        self.entry_count = self.waiting_count

    def head(self, route: Any) -> tuple[bool, float, int, Any] | None:
        """Return what orders a route among the others, the first of them least, and its key last.

        None: nothing waits on it, and the route is gone.
        """
        entries = self.queues_by_route[route]
        while entries and entries[-1].item.done:
            entries.pop()
            self.entry_count -= 1
        if entries:
            is_preferred, value, number, _ = entries[-1]
            return not is_preferred, -value, -number, route
        del self.queues_by_route[route]
        return None

    def first(self, route: Hashable) -> Item:
        """Return the first item of a route, after `head` has said that there is one."""
        return self.queues_by_route[route][-1].item

    def pop(self, route: Hashable) -> None:
        """Take the first item off a route."""
        self.queues_by_route[route].pop()
        self.waiting_count -= 1
        self.entry_count -= 1

    def drain(self, serve: Callable[[Item], bool]) -> None:
        """Serve the items in order; `serve` returns whether it did, and if not its route is over."""
        heads = [head for route in list(self.queues_by_route) if (head := self.head(route))]
        heapq.heapify(heads)
        while heads:
            route = heads[0][-1]
            if not serve(self.first(route)):  # nor could what stands behind it be served
                heapq.heappop(heads)
                continue
            self.pop(route)
            head = self.head(route)
            if head:
                heapq.heapreplace(heads, head)
            else:
                heapq.heappop(heads)

    def lowest_priority(self) -> Item | None:
        """Return the item that would go last. It stays until it is done."""
        lowest: QueueEntry[Item] | None = None
        for entries in self.queues_by_route.values():
            last = next((entry for entry in entries if not entry.item.done), None)
            if last is not None and (lowest is None or last < lowest):
                lowest = last
        return lowest.item if lowest is not None else None
