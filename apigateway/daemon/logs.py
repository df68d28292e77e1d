"""The log: standard error, a few lines a second."""

from __future__ import annotations

import logging
import sys

MOST_LINES = 5  # of the log in a second


class Seldom(logging.Filter):
    """A few lines a second: CPU is rationed, and trouble that repeats must not take it for logging."""

    def __init__(self, most: int = MOST_LINES) -> None:
        super().__init__()
        self.most, self.second, self.left, self.dropped = most, 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            if self.dropped:
                record.msg = f"({self.dropped} lines left out) {record.msg}"
            self.second, self.left, self.dropped = int(record.created), self.most, 0
        self.left -= 1
        self.dropped += self.left < 0
        return self.left >= 0


def start_log(most: int = MOST_LINES) -> Seldom:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    seldom = Seldom(most)
    logging.getLogger().handlers[0].addFilter(seldom)
    return seldom
