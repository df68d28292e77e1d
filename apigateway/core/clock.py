"""The clock of the decision module: Unix time that never steps."""

from __future__ import annotations

import time


class MonotonicUnixClock:
    """Give Unix time in seconds that advances with the monotonic clock.

    Endpoints' start times and the counter's windows are Unix times, and a step of the system's clock must
    not move them.
    """

    def __init__(self) -> None:
        self._monotonic_zero = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._monotonic_zero + time.monotonic()
