"""What is turned away before anything is done for it, while this gateway's own core is what is short.

A part of the decisions (policy.py), without clock or I/O. It stands in front, because a refusal by the
decision module costs what several early ones do, and in overload refusals are most of the work. Sheds as the
module does: what is worth least goes first; and whom the module told to come later is not asked about again
before."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

WINDOW = 0.05  # s over which lateness is judged
LATE_FOR = 0.1  # s that the loop is late without a break, before anything is shed: a pause is no overload
# part of what passes that each multiple of the aim takes off in a window; this at least
DOWN, DOWN_LEAST = 0.1, 0.5
# in time: times this, more where it is clearly in time, and so much
UP, UP_CLEAR, UP_LEAST = 1.02, 1.05, 0.003
CLEAR = 0.5  # part of the aim under which it is
LEAST = 0.02  # part that passes whatever the lag, so that an end of the overload is seen
STEPS = 4  # a doubling of worth is so many steps
MOST_STEP = 100
FADE = 0.8  # part of the counts of worth kept each window
RETURN = 0.25  # s after which one that was turned away may come again, when all but none are; spread evenly
MOST_BACK = 10_000  # customers whose time to come back is known


def step(worth: float) -> int:
    """Worth on a scale of few steps: what is on the same one is worth the same here."""
    return max(-MOST_STEP, min(MOST_STEP, round(STEPS * math.log2(worth)))) if worth > 0 else -MOST_STEP


class Gate:
    """`aim`: lag, in seconds, above which the core is overloaded: how long a request had lain read before it
    was looked at, and how late the loop comes to what is due, whichever is more, in the mean. `most`: lag of
    a request past which it is turned away, whatever it is worth. `most_wait`: the longest time to come back
    told, in seconds; 0: none is told.

    Harm: where the loop is late again and again for LATE_FOR, whatever the cause, what is worth least is
    shed."""

    def __init__(self, aim: float, most: float, most_wait: float, seed: int) -> None:
        self.aim, self.most, self.most_wait = aim, most, most_wait
        self.random: Callable[[], float] = random.Random(seed).random
        self.share = 1.0  # that passes
        self.lag = 0.0  # mean of the last window
        self.began, self.late_since = -math.inf, math.inf
        self.lateness, self.beats, self.waits, self.asked = 0.0, 0, 0.0, 0  # sums of a window, over how many
        self.counts: dict[int, float] = {}  # of the latest requests, by step of worth
        self.floor, self.luck = -MOST_STEP - 1, 1.0  # what is on the floor passes with this chance
        self.back: dict[str, float] = {}  # customers told to come later: when
        self.shed = self.passed = 0  # while anything was shed

    @property
    def tight(self) -> bool:
        """Whether anything is shed by its worth."""
        return self.share < 1.0

    def set(self, aim: float, most: float, most_wait: float) -> None:
        """New settings; what was learned stays."""
        self.aim, self.most, self.most_wait = aim, most, most_wait

    # Lateness

    def late(self, now: float, lag: float) -> None:
        """The loop came `lag` seconds late to something that was due."""
        self.lateness += lag
        self.beats += 1
        if now - self.began < max(WINDOW, self.lag):  # what was shed shows when what waits has been looked at
            return
        self.began, self.lag = now, max(self.lateness / self.beats, self.waits / max(1, self.asked))
        self.lateness, self.beats, self.waits, self.asked = 0.0, 0, 0.0, 0
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
        for worth in list(self.counts):
            self.counts[worth] *= FADE
            if self.counts[worth] < 0.01:
                del self.counts[worth]

    def rank(self) -> None:
        """Where the line lies for `share` of the latest requests to pass, the worthiest first."""
        left = self.share * sum(self.counts.values())
        self.floor, self.luck = -MOST_STEP - 1, 1.0
        for worth in sorted(self.counts, reverse=True):
            if self.counts[worth] >= left:
                self.floor, self.luck = worth, left / self.counts[worth]
                return
            left -= self.counts[worth]

    # Requests

    def turned_away(self, now: float, waited: float, worth: int, customer: str, left: float) -> float:
        """Below 0: it may pass. Else it is refused, and this is after how many seconds it may come again; 0:
        not known. `waited`: s that it has lain read. `worth`: its step. `left`: s until its client
        gives up; what would surely be answered too late is not taken."""
        self.counts[worth] = self.counts.get(worth, 0.0) + 1.0
        self.waits += waited
        self.asked += 1
        if waited <= self.most and not self.tight:
            return -1.0
        if waited <= self.most:
            back = self.back.get(customer, 0.0)
            if back > now:
                self.shed += 1
                return back - now
            passes = worth > self.floor or (worth == self.floor and self.random() < self.luck)
            if passes and left > 2 * self.lag:
                self.passed += 1
                return -1.0
        self.shed += 1
        return min(self.most_wait, RETURN / self.share * 2 * self.random()) if self.most_wait else 0.0

    def told(self, now: float, customer: str, wait: float) -> None:
        """The module refused this customer's request, and none of its will be taken for `wait` seconds."""
        if not (self.tight and wait > 0):
            return
        if len(self.back) >= MOST_BACK:
            self.back.clear()
        self.back[customer] = now + wait
