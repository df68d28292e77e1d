"""Share one amount among the frontends, so that a flood on one leaves capacity for the others."""

from __future__ import annotations

# Fraction of the amount that is reserved, in even parts, for frontends that do not use theirs.
RESERVED_FRACTION = 0.5


class Budget:
    """An amount (requests in flight, bytes of bodies) and how much of it each frontend uses.

    Each of n frontends has `RESERVED_FRACTION / n` of it to itself; the rest goes to whoever asks first. With
    one frontend all of it is that frontend's.

    Attributes:
        limit: The amount; a reload may change it, also to less than is used.
        used: Over all frontends.
        used_by_frontend: Of those that have joined, and of those that have left and still use some.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.used = 0.0
        self.used_by_frontend: dict[object, float] = {}
        self._departed: set[object] = set()  # frontends that have left and still use some

    def join(self, frontend: object) -> None:
        """Reserve a part for a frontend."""
        self.used_by_frontend.setdefault(frontend, 0.0)

    def leave(self, frontend: object) -> None:
        """Give a frontend's reserve to the others, once it has released all that it still uses."""
        self._departed.add(frontend)
        self.release(frontend, 0)

    def available_to(self, frontend: object) -> float:
        """Return how much more a frontend may use now; 0 or less: none."""
        available = self.limit - self.used
        if len(self.used_by_frontend) > 1:
            reserve = self.limit * RESERVED_FRACTION / len(self.used_by_frontend)
            for other, used in self.used_by_frontend.items():
                if other is not frontend and used < reserve:
                    available -= reserve - used
        return available

    def acquire(self, frontend: object, amount: float) -> None:
        """Count an amount as used by a frontend; whether it is available is the caller's to ask."""
        self.used += amount
        self.used_by_frontend[frontend] = self.used_by_frontend.get(frontend, 0.0) + amount

    def release(self, frontend: object, amount: float) -> None:
        """Take back what a frontend used, which `acquire` counted before."""
        if not amount and frontend not in self.used_by_frontend:
            return  # it has left, and a quota check of its holds no bytes
        self.used -= amount
        self.used_by_frontend[frontend] -= amount
        if self._departed and frontend in self._departed and not self.used_by_frontend[frontend]:
            self._departed.discard(frontend)
            del self.used_by_frontend[frontend]
