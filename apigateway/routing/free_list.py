"""An unordered list whose items store their position, so that adding and removing take constant time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

ABSENT = -1  # position of an item that is not in the list


class Positioned(Protocol):
    """An item of a free list; it can be in only one at a time."""

    position: int


Item = TypeVar("Item", bound=Positioned)


def build(items: Iterable[Item]) -> list[Item]:
    """Return a free list of these items in the given order, and set their positions."""
    free = list(items)
    for position, item in enumerate(free):
        item.position = position
    return free


def add(free: list[Item], item: Item) -> None:
    """Append an item unless it is in the list already."""
    if item.position < 0:
        item.position = len(free)
        free.append(item)


def discard(free: list[Item], item: Item) -> None:
    """Remove an item if it is in the list; the last item takes its position."""
    if item.position < 0:
        return
    last = free.pop()
    if last is not item:
        free[item.position] = last
        last.position = item.position
    item.position = ABSENT
