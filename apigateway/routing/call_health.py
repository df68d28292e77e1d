"""The health of a service that is called: the part of the time-out that calls take, pauses after failures."""

from __future__ import annotations


class CallHealth:
    """What the latest calls say of a service.

    Args:
        timeout: seconds that a call may take.
        congestion: a call's time over the time-out, as it is taken before the first call.
        gain: weight of the latest call in it.
        max_pause: longest pause after failures in a row, in seconds.
    """

    def __init__(self, timeout: float, congestion: float, gain: float, max_pause: float) -> None:
        self.timeout = timeout
        self.congestion = congestion
        self.consecutive_failures = 0  # in a row
        self.retry_at = 0.0
        self._gain = gain
        self._max_pause = max_pause

    def observe(self, now: float, ok: bool, elapsed: float) -> None:
        """Take up the end of a call; one without answer counts as the full time-out."""
        time_used = min(1.0, elapsed / self.timeout) if ok else 1.0
        self.congestion += self._gain * (time_used - self.congestion)
        if ok:
            self.consecutive_failures = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.consecutive_failures += 1
            self.retry_at = now + min(self._max_pause, self.timeout * 2.0**self.consecutive_failures)
