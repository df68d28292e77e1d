"""Return freed memory to the system after clients have used much of it.

The C library keeps freed memory between blocks that are still in use, so after a burst of large bodies the
process would stay as large as it was at the burst's peak.
"""

from __future__ import annotations

import asyncio
import ctypes
from collections.abc import Callable

from apigateway.core.budget import Budget

# Interval of the checks.
CHECK_INTERVAL_S = 2.0
# Memory that clients have used, in all, since the last trim, after which it is worth another one.
TRIM_AFTER_BYTES = 16 * 1024 * 1024


class MemoryTrimmer:
    """Trims the heap at times, if the C library can.

    Args:
        budget: The memory that clients use.
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._trim = _find_trim()
        self._trimmed_at_total = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check at intervals until `stop`."""
        if self._trim is None:
            return
        if self._budget.acquired_total - self._trimmed_at_total >= TRIM_AFTER_BYTES:
            self._trimmed_at_total = self._budget.acquired_total
            self._trim()
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()


def _find_trim() -> Callable[[], object] | None:
    """Return a function that trims the heap; None if the C library has none."""
    try:
        malloc_trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    return lambda: malloc_trim(0)
