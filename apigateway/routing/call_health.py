"""The health of a remote service: how much of the timeout its calls take, and pauses after failures."""

from __future__ import annotations


class CallHealth:
    """The health of a service, estimated from the latest calls.

    Args:
        timeout: timeout of a call, in seconds.
        congestion: initial estimate of the share of the timeout that a call takes.
        gain: weight of the latest call in this estimate.
        max_pause: longest pause after consecutive failures, in seconds.
    """

    def __init__(self, timeout: float, congestion: float, gain: float, max_pause: float) -> None:
        self.timeout = timeout
        self.congestion = congestion
        self.consecutive_failures = 0
        self.retry_at = 0.0
        self._gain = gain
        self._max_pause = max_pause

    def observe(self, now: float, ok: bool, elapsed: float) -> None:
        """Record the end of a call; a failed call counts as taking the full timeout."""
        timeout_share = min(1.0, elapsed / self.timeout) if ok else 1.0
        self.congestion += self._gain * (timeout_share - self.congestion)
        if ok:
            self.consecutive_failures = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.consecutive_failures += 1
            self.retry_at = now + min(self._max_pause, self.timeout * 2.0**self.consecutive_failures)
