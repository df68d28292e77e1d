"""What a stand-in does, by count or in time: a script is data, so a test or a rehearsal can print and repeat
it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

KINDS = (
    "answer",
    "stall",
    "silent",
    "reset",
    "spoilt",
    "busy",
    "error",
    "half",
    "slow",
    "over",
    "odd",
    "goaway",
)  # the last three of a rate limit service


@dataclass(frozen=True, slots=True)
class Step:
    """One behaviour for `count` messages or `seconds` of time, whichever is set and over first; neither: for
    good.

    answer: as it should be; stall: answered `delay` s late; silent: never answered; reset: the connection
    breaks off; spoilt: bytes that are no message; busy: turned away; error: the peer's error; half: half an
    answer, then the end; slow: `factor` times the usual work; over: over its limit, whatever that is; odd: an
    answer without a code; goaway: the connection takes no more, from this message on."""

    kind: str = "answer"
    count: int = 0
    seconds: float = 0.0
    delay: float = 0.0
    factor: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"unknown step {self.kind!r}, one of {', '.join(KINDS)}")
        if min(self.count, self.seconds, self.delay, self.factor) < 0:
            raise ValueError(f"step {self.kind}: negative figure")


ANSWER = Step()


class Script:
    """Steps one after another; past the last all is answered. A step in time begins with its first message,
    or where the step before it was over."""

    def __init__(self, steps: Iterable[Step] = ()) -> None:
        self.steps = list(steps)
        self.used, self.began = 0, math.nan

    def play(self, *steps: Step) -> None:
        """Takes the place of all that was still to come."""
        self.steps, self.used, self.began = list(steps), 0, math.nan

    def next(self, now: float) -> Step:
        """The step for a message that came at `now` (s, any clock that does not run backwards)."""
        while self.steps:
            step = self.steps[0]
            began = now if math.isnan(self.began) else self.began
            over = step.seconds and now - began >= step.seconds
            if over or (step.count and self.used >= step.count):
                self.steps.pop(0)
                self.used, self.began = 0, began + step.seconds if over else now
                continue
            self.used, self.began = self.used + 1, began
            return step
        return ANSWER
