"""Estimate the idle time after which reusing a pooled connection is worse than opening a new one."""

from __future__ import annotations

import bisect
import math

IDLE_BUCKET_LIMITS_S = [0.02 * 1.5**bucket for bucket in range(18)]  # upper bounds; up to about 20 s
NEW_CONNECTION_COST = 0.1  # cost of a new connection in attempts: the host's work and the delay
MIN_ATTEMPTS_SAVED = 2.0  # saved attempts below which the resets may be due to chance
HALF_LIFE_S = 30.0  # time after which observations have half their weight
PRIOR_NEW_ATTEMPTS = 10.0  # attempts counted as successes at the start, because a first reset says little


class IdleConnectionPolicy:
    """Learns from resets how long a connection may be idle and still be reused.

    Devices on the path may drop idle connections earlier than the hosts do, without notifying either end. The
    next request on such a connection is reset. Causes are address translation, a shorter idle timeout of a
    proxy or of the host, and a host that was replaced at its address.

    `limit` is the idle time in seconds beyond which closing connections would have saved the most attempts,
    or infinite while there is no evidence that closing helps. The cost is that after resets by mere chance
    new connections are opened needlessly until the half-life has passed. An improvement of the path is
    noticed with the same delay.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self._attempts = [0.0] * (len(IDLE_BUCKET_LIMITS_S) + 1)  # by bucket of idle time
        self._resets = [0.0] * (len(IDLE_BUCKET_LIMITS_S) + 1)
        self._new_attempts = PRIOR_NEW_ATTEMPTS  # on new connections
        self._new_resets = 0.0

    def record(self, idle_time: float, was_reset: bool) -> None:
        """Record an attempt on a connection that had been idle for `idle_time` seconds; 0: a new one."""
        if idle_time <= 0:
            self._new_attempts += 1
            self._new_resets += was_reset
            return
        bucket = bisect.bisect(IDLE_BUCKET_LIMITS_S, idle_time)
        self._attempts[bucket] += 1
        self._resets[bucket] += was_reset
        if was_reset:
            self._update_limit()

    def decay(self, seconds: float) -> None:
        """Reduce the weight of all observations by the decay over `seconds`."""
        decay_factor = 0.5 ** (seconds / HALF_LIFE_S)
        self._attempts = [count * decay_factor for count in self._attempts]
        self._resets = [count * decay_factor for count in self._resets]
        self._new_attempts = PRIOR_NEW_ATTEMPTS + (self._new_attempts - PRIOR_NEW_ATTEMPTS) * decay_factor
        self._new_resets *= decay_factor
        self._update_limit()

    def _update_limit(self) -> None:
        """Set `limit` to the bucket limit beyond which closing would have saved the most attempts."""
        self.limit = math.inf
        saved = 0.0
        most_saved = MIN_ATTEMPTS_SAVED
        expected_loss = self._new_resets / self._new_attempts + NEW_CONNECTION_COST
        for bucket in range(len(IDLE_BUCKET_LIMITS_S), 0, -1):
            saved += self._resets[bucket] - self._attempts[bucket] * expected_loss
            if saved > most_saved:
                most_saved = saved
                self.limit = IDLE_BUCKET_LIMITS_S[bucket - 1]
