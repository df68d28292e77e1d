"""Scripts of an emulator's behaviour, by message count or time.

A script is data, so that a test can print and repeat it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class StepKind(StrEnum):
    """The kind of a script's step."""

    ANSWER = "answer"  # answered normally
    STALL = "stall"  # answered `delay_s` late
    SILENT = "silent"  # never answered
    RESET = "reset"  # the connection is reset
    MALFORMED = "spoilt"  # answered with bytes that form no message
    BUSY = "busy"  # rejected as busy
    ERROR = "error"  # answered with an error
    TRUNCATED = "half"  # part of an answer, then the connection is closed
    SLOW = "slow"  # `work_factor` times the usual work
    # Only for the rate limit service:
    OVER_LIMIT = "over"  # answered with OVER_LIMIT whatever the limit
    NO_CODE = "odd"  # answered without a code
    GOAWAY = "goaway"  # GOAWAY: this message and later ones are not processed


@dataclass(frozen=True, slots=True)
class Step:
    """A `StepKind` that applies to a number of messages or for a time, whichever ends first.

    Attributes:
        count: The number of messages that it applies to; 0 means unlimited.
        duration_s: How long it applies; 0 means unlimited.
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
            raise ValueError(f"step {self.kind}: negative parameter")


ANSWER = Step()


class Script:
    """A sequence of steps; after the last one, messages are answered normally.

    A step with a duration begins with its first message, or at the end of a step with a duration before it.

    Attributes:
        steps: The remaining steps, the current one first.
        message_count: The number of messages that the current step has handled.
    """

    def __init__(self, steps: Iterable[Step] = ()) -> None:
        self.steps = list(steps)
        self.message_count = 0
        self._started_at = math.nan  # start time of the current step; NaN if it has not begun

    def set_steps(self, *steps: Step) -> None:
        """Replace the remaining steps."""
        self.steps = list(steps)
        self.message_count = 0
        self._started_at = math.nan

    def next(self, now: float) -> Step:
        """Return the step for a message that arrives at `now`, on any monotonic clock."""
        while self.steps:
            step = self.steps[0]
            started_at = now if math.isnan(self._started_at) else self._started_at
            is_time_over = step.duration_s > 0 and now - started_at >= step.duration_s
            is_count_over = step.count > 0 and self.message_count >= step.count
            if not is_time_over and not is_count_over:
                self.message_count += 1
                self._started_at = started_at
                return step
            self.steps.pop(0)
            self.message_count = 0
            self._started_at = started_at + step.duration_s if is_time_over else now
        return ANSWER
