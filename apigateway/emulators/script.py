"""What an emulator does, by count or in time.

A script is data, so that a test or a rehearsal can print and repeat it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class StepKind(StrEnum):
    """A behaviour."""

    ANSWER = "answer"  # as it should be
    STALL = "stall"  # answered `delay` s late
    SILENT = "silent"  # never answered
    RESET = "reset"  # the connection is reset
    MALFORMED = "spoilt"  # bytes that are no message
    BUSY = "busy"  # rejected
    ERROR = "error"  # the peer's error
    TRUNCATED = "half"  # half an answer, then the end of the connection
    SLOW = "slow"  # `factor` times the usual work
    # Of a rate limit service:
    OVER_LIMIT = "over"  # over its limit, whatever that is
    NO_CODE = "odd"  # an answer without a code
    GOAWAY = "goaway"  # the connection takes no more, from this message on


@dataclass(frozen=True, slots=True)
class Step:
    """One behaviour, a `StepKind`, for some messages or some time, whichever is set and over first.

    Attributes:
        count: Messages that it lasts for; 0: not limited.
        duration_s: Time that it lasts for; 0: not limited.
    """

    kind: str = StepKind.ANSWER
    count: int = 0
    duration_s: float = 0.0
    delay_s: float = 0.0
    work_factor: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in tuple(StepKind):
            raise ValueError(f"unknown step {self.kind!r}, one of {', '.join(StepKind)}")
        if min(self.count, self.duration_s, self.delay_s, self.work_factor) < 0:
            raise ValueError(f"step {self.kind}: negative figure")


ANSWER = Step()


class Script:
    """Steps one after another; past the last all is answered.

    A step in time begins with its first message, or where the step before it was over.

    Attributes:
        steps: The steps to come, the current one first.
        message_count: Messages that the current step has had.
    """

    def __init__(self, steps: Iterable[Step] = ()) -> None:
        self.steps = list(steps)
        self.message_count = 0
        self._began = math.nan  # when the current step began; NaN: not yet

    def set_steps(self, *steps: Step) -> None:
        """Replace all that was still to come."""
        self.steps = list(steps)
        self.message_count = 0
        self._began = math.nan

    def next(self, now: float) -> Step:
        """Return the step for a message that came at `now`, by any clock that does not run backwards."""
        while self.steps:
            step = self.steps[0]
            began = now if math.isnan(self._began) else self._began
            is_time_over = step.duration_s > 0 and now - began >= step.duration_s
            is_count_over = step.count > 0 and self.message_count >= step.count
            if not is_time_over and not is_count_over:
                self.message_count += 1
                self._began = began
                return step
            self.steps.pop(0)
            self.message_count = 0
            self._began = began + step.duration_s if is_time_over else now
        return ANSWER
