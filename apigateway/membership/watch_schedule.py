"""When a gateway calls discovery: how long a watch is held, when it counts as dead, when calls are retried.

From when the drain grace of a host runs depends on who answers discovery's calls:

* An agent beside this gateway, which discovery pushes to. What the agent knows counts as known here, whether
  or not a watch was open. The times of a watch that dies therefore add up to less than the drain grace, and a
  call that the agent has not answered at once will never be answered.
* One service that all gateways poll. A change counts as known once the service has written it here, and 6 s
  after a watch fell silent or the service rejected a call at the latest. A new watch and a complete list are
  work for the service, a watch that goes on is none. It may answer up to two seconds late, and it rejects the
  calls that it has no capacity for, which is some work as well. So watches are held for long, an answer that
  is on its way is not abandoned, and rejected calls back off, yet not so far that others always come first.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

AGENT_CALL_TIMEOUT_S = 2.0
AGENT_FIRST_BACKOFF_S = 0.05
POLLED_CALL_TIMEOUT_S = 2.5  # the service's own limit is 2 s, and the answer has to travel
POLLED_FIRST_BACKOFF_S = 0.1
POLLED_MAX_BACKOFF_S = 1.0
POLLED_WAIT_S = 3.5  # with the delay below and 2 s for a second call, the 6 s of a silent watch
POLLED_OVERDUE_S = 0.5
POLLED_JITTER = 0.25


@dataclass(frozen=True, slots=True)
class WatchSchedule:
    """The times of one kind of discovery, in seconds."""

    is_polled: bool  # one service for all gateways, which rejects calls that it has no capacity for
    wait: float  # that discovery may hold a watch open
    overdue: float  # past the wait, after which the complete list is requested
    late_answer: float  # past that, for which the watch's own answer still counts
    hedge_after: float  # without an answer, after which a second request goes out beside the first
    call_timeout: float  # of a request for the complete list
    first_backoff: float
    max_backoff: float
    jitter: float  # part of a wait or backoff that is random, so that gateways do not call in step

    @classmethod
    def for_agent(cls, drain_grace: float) -> WatchSchedule:
        """Return the times for an agent.

        They come to 0.85 of the drain grace at most: a change that a dead watch missed is then known before
        the grace is over. They are bounded, so that a short grace costs few calls.
        """
        hedge_after = min(0.5, max(0.05, 0.15 * drain_grace))
        wait = min(2.0, max(0.1, 0.5 * drain_grace))
        return cls(
            is_polled=False,
            wait=wait,
            overdue=min(1.0, max(0.05, 0.2 * drain_grace)),
            late_answer=0.0,
            hedge_after=hedge_after,
            call_timeout=AGENT_CALL_TIMEOUT_S,
            first_backoff=AGENT_FIRST_BACKOFF_S,
            max_backoff=hedge_after,
            jitter=0.0,
        )

    @classmethod
    def for_polled_service(cls) -> WatchSchedule:
        """Return the times for one service that all gateways poll."""
        return cls(
            is_polled=True,
            wait=POLLED_WAIT_S,
            overdue=POLLED_OVERDUE_S,
            late_answer=POLLED_CALL_TIMEOUT_S - POLLED_OVERDUE_S,
            hedge_after=math.inf,
            call_timeout=POLLED_CALL_TIMEOUT_S,
            first_backoff=POLLED_FIRST_BACKOFF_S,
            max_backoff=POLLED_MAX_BACKOFF_S,
            jitter=POLLED_JITTER,
        )


class WatchPacer:
    """Draws the next wait and the next backoff, from how the calls before them ended."""

    def __init__(self, schedule: WatchSchedule, rng: random.Random) -> None:
        self._schedule = schedule
        self._rng = rng
        self._backoff = schedule.first_backoff

    def on_answer(self) -> None:
        """A call was answered: the next failure is the first one again."""
        self._backoff = self._schedule.first_backoff

    def next_wait(self) -> float:
        """Return how long the next watch may be held."""
        return self._spread(self._schedule.wait)

    def next_backoff(self) -> float:
        """Return how long to wait before the next retry; twice as long each time, up to a limit."""
        backoff = self._backoff
        self._backoff = min(max(self._schedule.first_backoff, self._schedule.max_backoff), 2 * backoff)
        return self._spread(backoff)

    def _spread(self, seconds: float) -> float:
        return seconds * (1.0 - self._schedule.jitter * self._rng.random())
