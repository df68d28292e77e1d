"""What several fronts share of one amount, so that a flood on one leaves room for the others."""

from __future__ import annotations

RESERVED = 0.5  # part of the amount that is kept, in even parts, for fronts that do not use theirs


class Budget:
    """An amount (requests in work, bytes of bodies) and how much of it each front holds.

    Each of n fronts has `RESERVED / n` of it to itself; the rest goes to whoever asks first. With one front
    all of it is that front's."""

    def __init__(self, most: float) -> None:
        self.most, self.used = most, 0.0
        self.by: dict[object, float] = {}
        self.left: set[object] = set()  # fronts that are gone and still hold some

    def join(self, front: object) -> None:
        self.by.setdefault(front, 0.0)

    def leave(self, front: object) -> None:
        """Its reserve goes to the others; what it still holds is given back as it ends."""
        self.left.add(front)
        self.give(front, 0)

    def free(self, front: object) -> float:
        """How much more `front` may take now; nothing or less: none."""
        left = self.most - self.used
        if len(self.by) > 1:
            own = self.most * RESERVED / len(self.by)
            for other, used in self.by.items():
                if other is not front and used < own:
                    left -= own - used
        return left

    def take(self, front: object, amount: float) -> None:
        self.used += amount
        self.by[front] = self.by.get(front, 0.0) + amount

    def give(self, front: object, amount: float) -> None:
        self.used -= amount
        self.by[front] -= amount
        if self.left and front in self.left and not self.by[front]:
            self.left.discard(front)
            del self.by[front]
