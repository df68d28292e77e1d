"""An unordered list whose items know their position in it, so that each change is one step."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

ABSENT = -1  # position of what is not in the list


class Positioned(Protocol):
    """What a free list can hold; in one such list at a time."""

    position: int


Item = TypeVar("Item", bound=Positioned)


def build(items: Iterable[Item]) -> list[Item]:
    """Return a free list of these items, in their order, and set their positions."""
    free = list(items)
    for position, item in enumerate(free):
        item.position = position
    return free


def add(free: list[Item], item: Item) -> None:
    """Add an item at the end, unless it is in the list."""
    if item.position < 0:
        item.position = len(free)
        free.append(item)


def discard(free: list[Item], item: Item) -> None:
    """Remove an item, if it is in the list; the last one takes its position."""
    if item.position < 0:
        return
    last = free.pop()
    if last is not item:
        free[item.position] = last
        last.position = item.position
    item.position = ABSENT
