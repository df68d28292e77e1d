"""Whether an outer service is asked about a request, for how long, and what becomes of the request while that
service fails. Pure: it is told what happened and when.

Its word can only tighten: what it lets through the decision module decides as ever. A service that fails, by
a row of failures or by a share of them, is left alone for a rest that doubles; then single questions try it,
and it is asked about all only after so many good answers in a row, so that one that comes and goes is not
leant on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

GAIN = 0.05  # weight of a new answer in the share of failures
TRIP = 0.5  # share of failures past which it is taken to fail, however they are mixed
SEEN = 20  # answers before that share says anything
LEAST = 0.005  # s; a question with less time than this is not worth its way


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in seconds. `plans` and `classes`: a request of any of them is asked about."""

    plans: frozenset[str] = frozenset()
    classes: frozenset[str] = frozenset()
    timeout: float = 0.1  # a question is given up after this,
    share: float = 0.25  # or this part of the time that the request has left, whichever is less
    failing: Literal["own", "refuse"] = "own"
    failures: int = 5  # in a row
    rest: float = 0.5
    most_rest: float = 30.0
    trials: int = 3
    steady: float = 30.0  # well for so long, and the next rest is the first one again
    most_waiting: int = 1000  # questions out at once


@dataclass(frozen=True, slots=True)
class Ask:
    timeout: float  # s
    trial: bool


@dataclass(frozen=True, slots=True)
class Unasked:
    """`refuse`: it is refused, and may come again after `wait` seconds; else own quotas alone decide."""

    refuse: bool
    wait: float


class Choice:
    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.state: Literal["well", "resting", "trying"] = "well"
        self.since = -math.inf  # of the state
        self.until = 0.0  # end of the rest
        self.next_rest = terms.rest
        self.in_row = self.good = self.seen = 0
        self.share = 0.0
        self.trial = False  # a trial is out
        self.out = 0
        self.turns = 0  # how often it was taken to fail

    def set(self, terms: Terms) -> None:
        """A reload's. What is known of the service stays."""
        self.terms = terms
        self.next_rest = min(max(self.next_rest, terms.rest), terms.most_rest)

    def wanted(self, plan: str, cls: str) -> bool:
        return plan in self.terms.plans or cls in self.terms.classes

    def choose(self, now: float, left: float) -> Ask | Unasked:
        """About a request that is wanted, with `left` seconds of its own time. An Ask is out until `answered`
        or `failed`, or `left_alone`."""
        terms = self.terms
        timeout = min(terms.timeout, terms.share * left)
        if timeout < LEAST:
            return self.unasked(now)
        if self.state == "resting" and now >= self.until:
            self.turn("trying", now)
            self.good, self.trial = 0, False
        if self.state == "well" and self.out < terms.most_waiting:
            self.out += 1
            return Ask(timeout, False)
        if self.state == "trying" and not self.trial:
            self.trial = True
            self.out += 1
            return Ask(timeout, True)
        return self.unasked(now)

    def unasked(self, now: float) -> Unasked:
        if self.terms.failing == "own":
            return Unasked(False, 0.0)
        return Unasked(True, max(self.terms.timeout, self.until - now if self.state == "resting" else 0.0))

    def answered(self, now: float, ask: Ask) -> None:
        """It said yes or no, in time."""
        self.out -= 1
        self.note(0.0)
        self.in_row = 0
        if ask.trial:
            self.trial = False
        if ask.trial and self.state == "trying":
            self.good += 1
            if self.good >= self.terms.trials:
                self.turn("well", now)
                self.share, self.seen = 0.0, 0
        elif self.state == "well" and now - self.since > self.terms.steady:
            self.next_rest = self.terms.rest

    def failed(self, now: float, ask: Ask) -> None:
        """No answer in time, or none that says yes or no."""
        self.out -= 1
        self.note(1.0)
        self.in_row += 1
        if ask.trial:
            self.trial = False
        mixed = self.seen >= SEEN and self.share > TRIP
        if ask.trial and self.state == "trying":
            self.give_rest(now)
        elif self.state == "well" and (self.in_row >= self.terms.failures or mixed):
            self.turns += 1
            self.give_rest(now)

    def left_alone(self, now: float, ask: Ask) -> None:
        """The request is over before an answer: it says nothing of the service. A trial says as little, and
        another one is to be had."""
        self.out -= 1
        if ask.trial:
            self.trial = False

    def note(self, failed: float) -> None:
        self.seen += 1
        self.share += GAIN * (failed - self.share)

    def give_rest(self, now: float) -> None:
        self.turn("resting", now)
        self.until = now + self.next_rest
        self.next_rest = min(self.terms.most_rest, 2 * self.next_rest)
        self.in_row = 0

    def turn(self, state: Literal["well", "resting", "trying"], now: float) -> None:
        self.state, self.since = state, now
