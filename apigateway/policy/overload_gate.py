"""Shed load before any work is done for a request: in an overload of the process that is most of the load."""

import math
import random
from collections.abc import Callable

from apigateway.routing import DecayingCounts, ExpiringKeys, LoopLag

WINDOW = 0.05  # s over which the lag is taken
MIN_LAG_DURATION = 0.1  # s of lag without a break before anything is shed: a pause is no overload
DECREASE = 0.1  # part of the admitted share that each multiple of the objective takes off in a window
MAX_DECREASE_FACTOR = 0.5  # part of it that a window leaves at least
INCREASE = 1.02  # factor of the admitted share in a window that was in time
LOW_LAG_INCREASE = 1.05  # likewise, if the lag was well below the objective
MIN_INCREASE = 0.003  # and what is added to it
LOW_LAG = 0.5  # part of the objective that is well below it
MIN_ADMITTED_SHARE = 0.02  # whatever the lag, so that an end of the overload is seen
STEPS_PER_DOUBLING = 4  # of the priority weight
MAX_STEP = 100
COUNT_DECAY = 0.8  # part of the counts by priority kept each window
RETRY_AFTER = 0.25  # s, mean over a uniform spread, when all but none are shed
MAX_CUSTOMERS = 10_000  # whose Retry-After is known


def priority_step(weight: float) -> int:
    """Return a priority weight on a scale of few steps: weights on the same one have equal priority here."""
    step = round(STEPS_PER_DOUBLING * math.log2(weight)) if weight > 0 else -MAX_STEP
    return max(-MAX_STEP, min(MAX_STEP, step))


class OverloadGate:
    """Admits the part of requests that the event loop has time for, by priority."""

    def __init__(self, lag_objective: float, max_wait: float, max_retry_after: float, seed: int) -> None:
        self.configure(lag_objective, max_wait, max_retry_after)
        self.random: Callable[[], float] = random.Random(seed).random
        self.admitted_share = 1.0
        self.loop_lag = LoopLag(WINDOW)
        self.lag = 0.0  # s; of the last window
        self.lagging_since = math.inf
        self.counts = DecayingCounts()  # of the latest requests, by priority step
        self.priority_floor = -MAX_STEP - 1  # priority step below which all are shed;
        self.floor_probability = 1.0  # the chance to pass of those on it
        self.retry_times = ExpiringKeys(MAX_CUSTOMERS)  # of customers who were given a Retry-After
        self.shed_count = 0  # requests, during overloads
        self.admitted_count = 0  # likewise

    @property
    def is_overloaded(self) -> bool:
        """Whether anything is shed by its priority."""
        return self.admitted_share < 1.0

    def configure(self, lag_objective: float, max_wait: float, max_retry_after: float) -> None:
        """Take up new settings; what was learned stays."""
        self.lag_objective = lag_objective  # s; lag above which the process is overloaded
        self.max_wait = max_wait  # s; wait of a request past which it is shed, whatever its priority
        self.max_retry_after = max_retry_after  # s; 0: none is given

    def on_loop_lag(self, now: float, lag: float) -> None:
        """Take up that the loop came `lag` seconds late to a probe."""
        if not self.loop_lag.record_lateness(now, lag):
            return
        self.lag = self.loop_lag.seconds
        if self.lag <= self.lag_objective:
            self.lagging_since = math.inf
            increase = LOW_LAG_INCREASE if self.lag <= LOW_LAG * self.lag_objective else INCREASE
            self.admitted_share = min(1.0, self.admitted_share * increase + MIN_INCREASE)
        else:
            self.lagging_since = min(self.lagging_since, now)
            if self.is_overloaded or self.lagging_since <= now - MIN_LAG_DURATION:
                factor = max(MAX_DECREASE_FACTOR, 1 - DECREASE * (self.lag / self.lag_objective - 1))
                self.admitted_share = max(MIN_ADMITTED_SHARE, self.admitted_share * factor)
        if self.is_overloaded:
            self.update_floor()
        else:
            self.retry_times.clear()
        self.counts.decay(COUNT_DECAY)

    def update_floor(self) -> None:
        """Set the floor so that `admitted_share` of the latest requests pass, by priority."""
        self.priority_floor, self.floor_probability = self.counts.top_share_threshold(
            self.admitted_share
        ) or (
            -MAX_STEP - 1,
            1.0,
        )

    def retry_after_if_shed(
        self, now: float, waited: float, step: int, customer: str, remaining: float
    ) -> float:
        """Return the Retry-After of a request that is shed, 0 for none; below 0: it is admitted.

        `waited`: s since it was read. `step`: of its priority. `remaining`: s until its client gives up."""
        self.counts.add(step)
        self.loop_lag.record_wait(waited)
        if waited <= self.max_wait and not self.is_overloaded:
            return -1.0
        if waited <= self.max_wait:
            if (retry_after := self.retry_times.remaining_time(customer, now)) > 0:
                self.shed_count += 1
                return retry_after
            passes = step > self.priority_floor or (
                step == self.priority_floor and self.random() < self.floor_probability
            )
            if passes and remaining > 2 * self.lag:  # else it would surely be answered too late
                self.admitted_count += 1
                return -1.0
        self.shed_count += 1
        mean = RETRY_AFTER / self.admitted_share
        return min(self.max_retry_after, 2 * mean * self.random()) if self.max_retry_after else 0.0

    def on_retry_after(self, now: float, customer: str, retry_after: float) -> None:
        """Take up that the decision module rejects this customer's requests for `retry_after` seconds."""
        if self.is_overloaded and retry_after > 0:
            self.retry_times.add(customer, now + retry_after)
