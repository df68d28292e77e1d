"""Load shedding before any work on a request, as that work would be most of the load in an overload."""

import math
import random
from collections.abc import Callable

from apigateway.routing import DecayingCounts, ExpiringKeys, LoopLag

WINDOW_S = 0.05  # over which the lag is measured
MIN_LAG_DURATION_S = 0.1  # continuous lag before load is shed: a single pause is not an overload
# Relative decrease of the admitted share in one window, for each multiple of the objective above the first.
DECREASE_PER_OBJECTIVE = 0.1
MIN_DECREASE_FACTOR = 0.5  # of the admitted share in one window
INCREASE_FACTOR = 1.02  # of the admitted share in a window within the objective
LOW_LAG_INCREASE_FACTOR = 1.05  # of the admitted share if the lag was far below the objective
INCREASE_STEP = 0.003  # added to the admitted share in each window within the objective
LOW_LAG_SHARE = 0.5  # of the objective; a lag up to this is far below it
MIN_ADMITTED_SHARE = 0.02  # at any lag, so that the end of the overload is detected
STEPS_PER_DOUBLING = 4  # of the priority weight
MAX_STEP = 100
COUNT_DECAY_FACTOR = 0.8  # of the counts by priority, in each window
MEAN_RETRY_AFTER_S = 0.25  # of a uniform distribution while few requests are shed; it grows with their share
MAX_CUSTOMERS = 10_000  # whose Retry-After is remembered


def priority_step(weight: float) -> int:
    """Return the step of a priority weight on a logarithmic scale; equal steps mean equal priority here."""
    step = round(STEPS_PER_DOUBLING * math.log2(weight)) if weight > 0 else -MAX_STEP
    return max(-MAX_STEP, min(MAX_STEP, step))


class OverloadGate:
    """Admits the share of requests for which the event loop has time, by priority."""

    def __init__(self, lag_objective: float, max_wait: float, max_retry_after: float, seed: int) -> None:
        self.configure(lag_objective, max_wait, max_retry_after)
        self.random: Callable[[], float] = random.Random(seed).random
        self.admitted_share = 1.0
        self.loop_lag = LoopLag(WINDOW_S)
        self.lag = 0.0  # s, in the last window
        self.lagging_since = math.inf
        self.requests_by_step = DecayingCounts()  # counts of recent requests by priority step
        self.priority_floor = -MAX_STEP - 1  # requests below this priority step are shed
        self.floor_probability = 1.0  # with which requests on the floor are admitted
        self.retry_times = ExpiringKeys(MAX_CUSTOMERS)  # by customer, when its Retry-After ends
        self.shed_count = 0  # requests shed during overloads
        self.admitted_count = 0  # requests admitted during overloads

    @property
    def is_overloaded(self) -> bool:
        """Whether requests are shed by priority."""
        return self.admitted_share < 1.0

    def configure(self, lag_objective: float, max_wait: float, max_retry_after: float) -> None:
        """Apply new settings and keep the current state."""
        self.lag_objective = lag_objective  # s; lag above which the process is overloaded
        self.max_wait = max_wait  # s; a request that waited longer is shed at any priority
        self.max_retry_after = max_retry_after  # s; 0: no Retry-After is sent

    def on_loop_lag(self, now: float, lag: float) -> None:
        """Record that the event loop ran a probe `lag` seconds late, and adjust the admitted share."""
        if not self.loop_lag.record_lateness(now, lag):
            return
        self.lag = self.loop_lag.seconds
        if self.lag <= self.lag_objective:
            self.lagging_since = math.inf
            increase = (
                LOW_LAG_INCREASE_FACTOR if self.lag <= LOW_LAG_SHARE * self.lag_objective else INCREASE_FACTOR
            )
            self.admitted_share = min(1.0, self.admitted_share * increase + INCREASE_STEP)
        else:
            self.lagging_since = min(self.lagging_since, now)
            if self.is_overloaded or self.lagging_since <= now - MIN_LAG_DURATION_S:
                factor = max(
                    MIN_DECREASE_FACTOR, 1 - DECREASE_PER_OBJECTIVE * (self.lag / self.lag_objective - 1)
                )
                self.admitted_share = max(MIN_ADMITTED_SHARE, self.admitted_share * factor)
        if self.is_overloaded:
            self.update_floor()
        else:
            self.retry_times.clear()
        self.requests_by_step.decay(COUNT_DECAY_FACTOR)

    def update_floor(self) -> None:
        """Update the floor so that `admitted_share` of the recent requests would pass, by priority."""
        self.priority_floor, self.floor_probability = self.requests_by_step.top_share_threshold(
            self.admitted_share
        ) or (
            -MAX_STEP - 1,
            1.0,
        )

    def retry_after_if_shed(
        self, now: float, waited: float, step: int, customer: str, remaining: float
    ) -> float:
        """Return the Retry-After in seconds of a request that is shed; below 0 if the request is admitted.

        A Retry-After of 0 is not sent. `waited`: s since the request was read; `step`: its priority step;
        `remaining`: s until its client gives up.
        """
        self.requests_by_step.add(step)
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
            if passes and remaining > 2 * self.lag:  # otherwise the answer would come too late
                self.admitted_count += 1
                return -1.0
        self.shed_count += 1
        mean = MEAN_RETRY_AFTER_S / self.admitted_share
        return min(self.max_retry_after, 2 * mean * self.random()) if self.max_retry_after else 0.0

    def on_retry_after(self, now: float, customer: str, retry_after: float) -> None:
        """Record that the decision module rejects this customer's requests for `retry_after` seconds."""
        if self.is_overloaded and retry_after > 0:
            self.retry_times.add(customer, now + retry_after)
