"""Share one resource among the frontends, so that a flood on one frontend leaves capacity for the others."""

from __future__ import annotations

# Fraction of the limit that is reserved, in equal parts, for the individual frontends.
RESERVED_FRACTION = 0.5


class Budget:
    """A limited resource (requests in flight, bytes of bodies) and the amount that each frontend uses.

    Each of n frontends has `RESERVED_FRACTION / n` of the limit reserved; the rest is first come, first
    served. A single frontend may use the whole limit.

    Attributes:
        limit: Total amount; a reload may change it, even to less than is in use.
        used: Amount that all frontends use together.
        acquired_total: Sum of all amounts that were ever acquired.
        used_by_frontend: Amount that each registered frontend uses. A frontend that has left keeps its entry
            until it has released everything.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.used = 0.0
        self.acquired_total = 0.0
        self.used_by_frontend: dict[object, float] = {}
        self._departed: set[object] = set()  # frontends that have left and still use some of the resource

    def join(self, frontend: object) -> None:
        """Register a frontend and reserve its part."""
        self.used_by_frontend.setdefault(frontend, 0.0)

    def leave(self, frontend: object) -> None:
        """Unregister a frontend; its reserve goes to the others once it has released all that it uses."""
        self._departed.add(frontend)
        self.release(frontend, 0)

    def available_to(self, frontend: object) -> float:
        """Return the amount that a frontend may acquire now; 0 or less: none."""
        available = self.limit - self.used
        if len(self.used_by_frontend) > 1:
            reserve = self.limit * RESERVED_FRACTION / len(self.used_by_frontend)
            for other, used in self.used_by_frontend.items():
                if other is not frontend and used < reserve:
                    available -= reserve - used
        return available

    def acquire(self, frontend: object, amount: float) -> None:
        """Record that a frontend uses an amount; the caller checks `available_to` first."""
        self.used += amount
        self.acquired_total += amount
        self.used_by_frontend[frontend] = self.used_by_frontend.get(frontend, 0.0) + amount

    def adjust_shared(self, amount: float) -> None:
        """Add to the amount that is used for all frontends together, or subtract from it."""
        self.used += amount
        if amount > 0:
            self.acquired_total += amount

    def release(self, frontend: object, amount: float) -> None:
        """Release an amount that the frontend acquired before."""
        if not amount and frontend not in self.used_by_frontend:
            return  # the frontend has left, and its last quota check used no bytes
        self.used -= amount
        self.used_by_frontend[frontend] -= amount
        if self._departed and frontend in self._departed and not self.used_by_frontend[frontend]:
            self._departed.discard(frontend)
            del self.used_by_frontend[frontend]
