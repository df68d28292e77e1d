"""The clock of the decision module: Unix time that never jumps."""

from __future__ import annotations

import time


class MonotonicUnixClock:
    """Unix time in seconds that advances with the monotonic clock.

    The start times of endpoints and the windows of the counter are Unix times. A step of the system clock
    must not shift them.
    """

    def __init__(self) -> None:
        self._monotonic_epoch = time.time() - time.monotonic()  # Unix time at monotonic time 0

    def __call__(self) -> float:
        """Return the Unix time in seconds."""
        return self._monotonic_epoch + time.monotonic()
