"""FIFO queues by key; empty queues are removed."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")


class KeyedFifo(Generic[Key, Item]):
    """A FIFO queue for each key."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[Key, list[Item]] = {}

    def push(self, key: Key, item: Item) -> None:
        """Append an item to the queue of a key."""
        self._queues.setdefault(key, []).append(item)

    def pop(self, key: Key) -> Item | None:
        """Remove and return the oldest item of a key, or None if there is none."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        item = queue.pop(0)
        if not queue:
            del self._queues[key]
        return item
