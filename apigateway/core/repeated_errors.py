"""Log an error that repeats once with its stack, and then only how often it came."""

from __future__ import annotations

import logging
import traceback
from dataclasses import dataclass

from apigateway.core.interfaces import Scheduler

# At most one line is logged in this time for errors that were logged before.
REPEAT_LOG_INTERVAL_S = 1.0
# A recursion without end has a thousand frames; the last ones show where it is.
MAX_LOGGED_FRAMES = 30
# Different errors of which each is logged with its stack. Beyond them, errors are only counted.
MAX_LOGGED_STACKS = 100

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ErrorPlace:
    """What makes two errors the same: the type of the exception, the operation and the line that raised."""

    error_type: type[Exception]
    operation: str
    file_name: str
    line_number: int


class RepeatedErrorLog:
    """Logs the errors of one kind of operation, so that a flood of them does not hold up the event loop.

    Args:
        loop: Timers, for the line that counts the repeated errors.
    """

    def __init__(self, loop: Scheduler) -> None:
        self._loop = loop
        self._logged_places: set[ErrorPlace] = set()
        self._repeat_count = 0
        self._latest_repeat = ""
        self._is_line_due = False

    def record(self, operation: str, detail: str, error: Exception) -> None:
        """Log an error with its stack if it is new, or count it.

        Args:
            operation: What failed, with the type of the event or the action.
            detail: On what it failed, such as the request and its customer.
            error: The exception.
        """
        place = _place_of(operation, error)
        if place not in self._logged_places and len(self._logged_places) < MAX_LOGGED_STACKS:
            self._logged_places.add(place)
            stack = traceback.format_exception(error, limit=-MAX_LOGGED_FRAMES, chain=False)
            log.error("%s (%s)\n%s", operation, detail, "".join(stack).rstrip())
            return
        self._repeat_count += 1
        self._latest_repeat = f"{operation} ({detail}): {type(error).__name__} at line {place.line_number}"
        if not self._is_line_due:
            self._is_line_due = True
            self._loop.call_later(REPEAT_LOG_INTERVAL_S, self._log_repeats)

    def _log_repeats(self) -> None:
        log.error("%d more errors of known places; the latest: %s", self._repeat_count, self._latest_repeat)
        self._repeat_count = 0
        self._is_line_due = False


def _place_of(operation: str, error: Exception) -> ErrorPlace:
    """Return the line that raised; of a recursion error, any line of the recursion: only its file is used."""
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    if not frames:
        return ErrorPlace(type(error), operation, "", 0)
    line_number = 0 if isinstance(error, RecursionError) else frames[-1].lineno or 0
    return ErrorPlace(type(error), operation, frames[-1].filename, line_number)
