"""What is rejected before anything is done for it: in overload of the core that is most of the work."""

import math
import random
from collections.abc import Callable

from apigateway.routing import DecayingCounts, ExpiringKeys, LoopLag

WINDOW = 0.05  # s over which the lag is taken
LATE_FOR = 0.1  # s that the loop is late without a break, before anything is shed: a pause is no overload
DOWN = 0.1  # part of the admitted share that each multiple of the objective takes off in a window
DOWN_LEAST = 0.5  # part of it that a window leaves at least
UP = 1.02  # factor of the admitted share in a window that was in time
UP_CLEAR = 1.05  # likewise, if the lag was well below the objective
UP_LEAST = 0.003  # and what is added to it
CLEAR = 0.5  # part of the objective that is well below it
LEAST = 0.02  # part that passes whatever the lag, so that an end of the overload is seen
STEPS = 4  # steps of a doubling of worth
MOST_STEP = 100
FADE = 0.8  # part of the counts of worth kept each window
RETURN = 0.25  # s after which a rejected one may come again, when all but none are; spread evenly
MOST_BACK = 10_000  # customers whose time to come back is known


def step(worth: float) -> int:
    """Return worth on a scale of few steps: what is on the same one is worth the same here."""
    return max(-MOST_STEP, min(MOST_STEP, round(STEPS * math.log2(worth)))) if worth > 0 else -MOST_STEP


class Gate:
    """Admits the part of requests that the event loop has time for, what is worth most first."""

    def __init__(self, aim: float, most: float, most_wait: float, seed: int) -> None:
        self.set(aim, most, most_wait)
        self.random: Callable[[], float] = random.Random(seed).random
        self.share = 1.0  # that passes
        self.loop_lag = LoopLag(WINDOW)
        self.lag = 0.0  # s; of the last window
        self.late_since = math.inf
        self.counts = DecayingCounts()  # of the latest requests, by step of worth
        self.floor = -MOST_STEP - 1  # step of worth below which all are rejected;
        self.luck = 1.0  # the chance to pass of what is on it
        self.back = ExpiringKeys(MOST_BACK)  # customers who were told to come later
        self.shed = 0  # requests, while anything was shed
        self.passed = 0  # likewise

    @property
    def tight(self) -> bool:
        """Whether anything is shed by its worth."""
        return self.share < 1.0

    def set(self, aim: float, most: float, most_wait: float) -> None:
        """Take up new settings; what was learned stays."""
        self.aim = aim  # s; lag above which the core is overloaded
        self.most = most  # s; lag of a request past which it is rejected, whatever it is worth
        self.most_wait = most_wait  # s; longest time to come back that is told; 0: none is

    def late(self, now: float, lag: float) -> None:
        """Take up that the loop came `lag` seconds late to something that was due."""
        if not self.loop_lag.add_lateness(now, lag):
            return
        self.lag = self.loop_lag.seconds
        if self.lag <= self.aim:
            self.late_since = math.inf
            up = UP_CLEAR if self.lag <= CLEAR * self.aim else UP
            self.share = min(1.0, self.share * up + UP_LEAST)
        elif self.late_since == math.inf:
            self.late_since = now
        if self.lag > self.aim and (self.tight or self.late_since <= now - LATE_FOR):
            down = 1 - DOWN * (self.lag / self.aim - 1)
            self.share = max(LEAST, self.share * max(DOWN_LEAST, down))
        if self.tight:
            self.rank()
        else:
            self.back.clear()
        self.counts.decay(FADE)

    def rank(self) -> None:
        """Set the floor so that `share` of the latest requests pass, those worth most first."""
        self.floor, self.luck = self.counts.top_part(self.share) or (-MOST_STEP - 1, 1.0)

    def turned_away(self, now: float, waited: float, worth: int, customer: str, left: float) -> float:
        """Return below 0 if a request may pass, else the seconds after which it may come again; 0: not known.

        `waited`: s since it was read. `worth`: its step. `left`: s until its client gives up."""
        self.counts.add(worth)
        self.loop_lag.add_wait(waited)
        if waited <= self.most and not self.tight:
            return -1.0
        if waited <= self.most:
            wait = self.back.remaining(customer, now)
            if wait > 0:
                self.shed += 1
                return wait
            passes = worth > self.floor or (worth == self.floor and self.random() < self.luck)
            if passes and left > 2 * self.lag:  # else it would surely be answered too late
                self.passed += 1
                return -1.0
        self.shed += 1
        return min(self.most_wait, RETURN / self.share * 2 * self.random()) if self.most_wait else 0.0

    def told(self, now: float, customer: str, wait: float) -> None:
        """Take up that the decision module rejects this customer's requests for `wait` seconds."""
        if self.tight and wait > 0:
            self.back.add(customer, now + wait)
