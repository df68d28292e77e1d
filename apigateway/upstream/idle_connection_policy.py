"""Decides after which idle time a pooled connection is worse than a new one."""

from __future__ import annotations

import bisect
import math

IDLE_STEPS_S = [0.02 * 1.5**step for step in range(18)]  # upper bounds of idle time; up to about 20 s
NEW_CONNECTION_COST = 0.1  # attempts that a new connection costs: the host's work for it, and the time
MIN_ATTEMPTS_SAVED = 2.0  # attempts saved, from which it is more than chance that idle connections are stale
HALF_LIFE_S = 30.0  # time after which half of what was observed is forgotten
PRIOR_NEW_ATTEMPTS = 10.0  # attempts counted as successes at the start: a first reset says little


class IdleConnectionPolicy:
    """Learns from resets how long a connection may be idle and still be used again.

    Devices on the path may drop idle connections sooner than the hosts do, and tell neither end: the next
    request is then reset. That covers address translation, a proxy's or a host's own shorter limit and a host
    that was replaced at its address.

    `limit` is the idle time in seconds beyond which closing would have saved the most attempts; infinite
    while nothing shows that closing helps. The cost: where resets come by chance alone, new connections are
    made for nothing until half is forgotten, and an improvement is found as late.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self._attempts = [0.0] * (len(IDLE_STEPS_S) + 1)  # by step of idle time
        self._resets = [0.0] * (len(IDLE_STEPS_S) + 1)
        self._new_attempts = PRIOR_NEW_ATTEMPTS  # on connections that were new
        self._new_resets = 0.0

    def record(self, idle_time: float, was_reset: bool) -> None:
        """Record the outcome of an attempt on a connection idle for `idle_time` seconds; 0: a new one."""
        if idle_time <= 0:
            self._new_attempts += 1
            self._new_resets += was_reset
            return
        step = bisect.bisect(IDLE_STEPS_S, idle_time)
        self._attempts[step] += 1
        self._resets[step] += was_reset
        if was_reset:
            self._update_limit()

    def decay(self, seconds: float) -> None:
        """Forget what was observed, as if `seconds` had passed."""
        kept = 0.5 ** (seconds / HALF_LIFE_S)
        self._attempts = [count * kept for count in self._attempts]
        self._resets = [count * kept for count in self._resets]
        self._new_attempts = PRIOR_NEW_ATTEMPTS + (self._new_attempts - PRIOR_NEW_ATTEMPTS) * kept
        self._new_resets *= kept
        self._update_limit()

    def _update_limit(self) -> None:
        """Set `limit` to the step beyond which closing would have saved the most attempts."""
        self.limit = math.inf
        saved = 0.0
        most_saved = MIN_ATTEMPTS_SAVED
        expected_loss = self._new_resets / self._new_attempts + NEW_CONNECTION_COST
        for step in range(len(IDLE_STEPS_S), 0, -1):
            saved += self._resets[step] - self._attempts[step] * expected_loss
            if saved > most_saved:
                most_saved = saved
                self.limit = IDLE_STEPS_S[step - 1]
