"""Log to standard error at a limited rate."""

from __future__ import annotations

import logging
import os
import sys

# CPU time is limited, and logging a repeated fault must not use it up.
DEFAULT_MAX_LINES_PER_SECOND = 5
# Environment variable that turns on the lines of level DEBUG, such as the time of each response.
DEBUG_VARIABLE = "API_GATEWAY_DEBUG"


class LogRateLimiter(logging.Filter):
    """Drops records above a limit per second, and reports the number dropped in the next line."""

    def __init__(self, max_lines_per_second: int = DEFAULT_MAX_LINES_PER_SECOND) -> None:
        super().__init__()
        self.max_lines_per_second = max_lines_per_second
        self._second = 0  # wall-clock second that the counters belong to
        self._remaining_lines = 0
        self._dropped_lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log the record."""
        second = int(record.created)
        if second != self._second:
            self._start_new_second(second, record)
        self._remaining_lines -= 1
        if self._remaining_lines < 0:
            self._dropped_lines += 1
            return False
        return True

    def _start_new_second(self, second: int, record: logging.LogRecord) -> None:
        if self._dropped_lines:
            record.msg = f"({self._dropped_lines} lines dropped) {record.msg}"
        self._second = second
        self._remaining_lines = self.max_lines_per_second
        self._dropped_lines = 0


def start_log(max_lines_per_second: int = DEFAULT_MAX_LINES_PER_SECOND) -> LogRateLimiter:
    """Configure the root logger and return its rate limiter."""
    level = logging.DEBUG if os.environ.get(DEBUG_VARIABLE) else logging.INFO
    logging.basicConfig(stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(message)s")
    rate_limiter = LogRateLimiter(max_lines_per_second)
    logging.getLogger().handlers[0].addFilter(rate_limiter)
    return rate_limiter
