"""When a worker is started, killed or given up. Pure: it is told what happened and when, and says what is to
be done."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Care:
    """Times in seconds. `watchdog`: without a sign of life for so long a worker is taken for hung; one that
    has not
    got ready has `patience`. After an end it rests for `rest`, twice as long for each that follows before it
    was
    steady for `steady`, at most `most_rest`; `crashes` such ends in a row of one worker are a crash loop."""

    watchdog: float = 10.0
    patience: float = 60.0
    rest: float = 0.2
    most_rest: float = 10.0
    steady: float = 10.0
    crashes: int = 5


class Tended:
    """One worker. `start_at` is when it is to be started, if it is not running."""

    def __init__(self, care: Care, now: float) -> None:
        self.care = care
        self.start_at, self.running, self.ready = now, False, False
        self.began = self.heard = self.ready_at = now
        self.in_row = 0
        self.ends = 0

    def started(self, now: float) -> None:
        self.running, self.ready, self.began, self.heard = True, False, now, now

    def sign(self, now: float, ready: bool = False) -> None:
        """It has shown that it lives; or that it serves now."""
        self.heard = now
        if ready and not self.ready:
            self.ready, self.ready_at = True, now

    def hung(self, now: float) -> bool:
        if not self.running:
            return False
        if not self.ready:
            return now - self.began > self.care.patience
        return now - self.heard > self.care.watchdog

    def ended(self, now: float) -> bool:
        """Whether it is to be started again, at `start_at`; False: a crash loop."""
        steady = self.ready and now - self.ready_at >= self.care.steady
        self.running = self.ready = False
        self.ends += 1
        self.in_row = 1 if steady else self.in_row + 1
        if self.in_row >= self.care.crashes:
            return False
        self.start_at = now + min(self.care.most_rest, self.care.rest * 2.0 ** (self.in_row - 1))
        return True

    def handed(self) -> None:
        """A successor's serves in its place: it is not started again unless `anew` says so."""
        self.running = self.ready = False
        self.start_at = math.inf

    def anew(self, now: float) -> None:
        """The successor failed."""
        self.start_at, self.in_row = now, 0

    def due(self, now: float) -> bool:
        return not self.running and now >= self.start_at
