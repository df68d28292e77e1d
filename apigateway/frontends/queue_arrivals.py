"""Since when the connections of a listener's queue may be there.

The kernel queues connections in the order in which they came. After each look at the queue it is known that
those behind the ones that were in it came later. Without that, a connection that comes while the queue never
becomes empty would count as old as the crowd, and its requests be refused as late.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Looks that are closer together count as the earlier one.
MIN_LOOK_INTERVAL_S = 0.005


class _Look(NamedTuple):
    number: int  # of the first connection that came after it
    at: float


class QueueArrivals:
    """The earliest times at which connections may have come, in the order in which they are accepted."""

    def __init__(self) -> None:
        self._since = 0.0  # of the next connection
        self._was_empty = False  # at the last look
        self._next_number = 0
        self._looks: deque[_Look] = deque()

    def restart(self, since: float) -> None:
        """Forget all looks.

        Args:
            since: When the first connection may have come; negative infinity if that is not known.
        """
        self._since = since
        self._was_empty = False
        self._looks.clear()

    def on_ready(self, now: float) -> None:
        """Record that the event loop reports connections: if there were none before, they have just come."""
        if self._was_empty:
            self.restart(now)

    def take(self) -> float:
        """Return since when the connection that is accepted next may be in the queue."""
        while self._looks and self._looks[0].number <= self._next_number:
            self._since = self._looks.popleft().at
        self._next_number += 1
        return self._since

    def on_look(self, now: float, pending_count: int, has_pending: bool) -> None:
        """Record how many connections are in the queue after some were accepted.

        Args:
            now: A time before or at the look.
            pending_count: How many are in the queue; 0 if the platform does not tell.
            has_pending: Whether there are any.
        """
        if not has_pending:
            self.restart(now)
            self._was_empty = True
        elif pending_count and (not self._looks or now - self._looks[-1].at >= MIN_LOOK_INTERVAL_S):
            self._looks.append(_Look(self._next_number + pending_count, now))
