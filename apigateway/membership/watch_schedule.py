"""Timing of the calls to discovery: how long a watch is held, when it is overdue, when calls are retried.

The moment from which a host's drain grace runs depends on what answers the calls:

* An agent beside this gateway, to which discovery pushes its changes. Whatever the agent knows counts as
  known to the gateway, whether or not a watch was open. The delays of a watch that dies must therefore add up
  to less than the drain grace. A call that the agent does not answer at once will never be answered.
* One service that all gateways poll. A change counts as known once the service has written it to this
  gateway, and at the latest 6 s after a watch stopped being answered or the service rejected a call. A new
  watch and a complete list cost the service work; keeping a watch open costs it none. The service may answer
  up to two seconds late, and it rejects the calls for which it has no capacity, which costs some work as
  well. Watches are therefore held for long, late answers are waited for, and rejected calls back off, but not
  so far that the calls of other gateways always come first.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

AGENT_CALL_TIMEOUT_S = 2.0
AGENT_FIRST_BACKOFF_S = 0.05
POLLED_CALL_TIMEOUT_S = 2.5  # the service's own limit of 2 s, plus the time on the network
POLLED_FIRST_BACKOFF_S = 0.1
POLLED_MAX_BACKOFF_S = 1.0
POLLED_WAIT_S = 3.5  # with POLLED_OVERDUE_S and 2 s for a second call: the 6 s limit of a silent watch
POLLED_OVERDUE_S = 0.5
POLLED_JITTER_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class WatchSchedule:
    """The timing of calls to one kind of discovery; times in seconds."""

    is_polled: bool  # one service for all gateways, which rejects calls when it has no capacity
    wait: float  # how long discovery may hold a watch open
    overdue_after: float  # time past `wait` after which the complete list is requested
    late_answer_time: float  # further time for which an answer to the watch still counts
    hedge_after: float  # time without an answer after which a second request is sent in parallel
    call_timeout: float  # timeout of a request for the complete list
    first_backoff: float
    max_backoff: float
    jitter: float  # random share of a wait or backoff, so that gateways do not call at the same time

    @classmethod
    def for_agent(cls, drain_grace: float) -> WatchSchedule:
        """Return the schedule for an agent.

        Wait, overdue time and hedging delay add up to at most 0.85 of the drain grace, so that a change that
        a dead watch missed is known before the grace is over. Lower bounds limit the number of calls if the
        grace is short.
        """
        hedge_after = min(0.5, max(0.05, 0.15 * drain_grace))
        wait = min(2.0, max(0.1, 0.5 * drain_grace))
        return cls(
            is_polled=False,
            wait=wait,
            overdue_after=min(1.0, max(0.05, 0.2 * drain_grace)),
            late_answer_time=0.0,
            hedge_after=hedge_after,
            call_timeout=AGENT_CALL_TIMEOUT_S,
            first_backoff=AGENT_FIRST_BACKOFF_S,
            max_backoff=hedge_after,
            jitter=0.0,
        )

    @classmethod
    def for_polled_service(cls) -> WatchSchedule:
        """Return the schedule for one service that all gateways poll."""
        return cls(
            is_polled=True,
            wait=POLLED_WAIT_S,
            overdue_after=POLLED_OVERDUE_S,
            late_answer_time=POLLED_CALL_TIMEOUT_S - POLLED_OVERDUE_S,
            hedge_after=math.inf,
            call_timeout=POLLED_CALL_TIMEOUT_S,
            first_backoff=POLLED_FIRST_BACKOFF_S,
            max_backoff=POLLED_MAX_BACKOFF_S,
            jitter=POLLED_JITTER_RATIO,
        )


class WatchPacer:
    """Draws the next wait and the next backoff, with jitter and exponential backoff."""

    def __init__(self, schedule: WatchSchedule, rng: random.Random) -> None:
        self._schedule = schedule
        self._rng = rng
        self._backoff = schedule.first_backoff

    def on_answer(self) -> None:
        """Reset the backoff after a call that was answered."""
        self._backoff = self._schedule.first_backoff

    def next_wait(self) -> float:
        """Return how long the next watch may be held."""
        return self._add_jitter(self._schedule.wait)

    def next_backoff(self) -> float:
        """Return the time before the next retry; the backoff doubles each time, up to a limit."""
        backoff = self._backoff
        self._backoff = min(max(self._schedule.first_backoff, self._schedule.max_backoff), 2 * backoff)
        return self._add_jitter(backoff)

    def _add_jitter(self, seconds: float) -> float:
        return seconds * (1.0 - self._schedule.jitter * self._rng.random())
