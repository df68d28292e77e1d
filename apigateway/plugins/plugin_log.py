"""The log of a plug-in: a bounded rate of bounded lines, which cannot be taken for others."""

from __future__ import annotations

import logging

from apigateway.plugins.plugin_state import LogRateLimiter

MAX_LINE_LENGTH = 200  # characters

log = logging.getLogger("apigateway.plugin")


class PluginLog:
    """Lines of one plug-in, each under its name."""

    def __init__(self, plugin_name: str, lines_per_second: float) -> None:
        self._plugin_name = plugin_name
        self._rate_limiter = LogRateLimiter(lines_per_second)

    @property
    def dropped(self) -> int:
        """How many lines came too fast."""
        return self._rate_limiter.dropped

    def write(self, line: str, now: float) -> None:
        """Log a line at `now`, in seconds, if the rate allows it."""
        if self._rate_limiter.try_acquire(now):
            log.info("%s: %s", self._plugin_name, sanitize_line(line))


def sanitize_line(line: str) -> str:
    """Return one line of a log, whatever a plug-in made of it."""
    return "".join(c if c.isprintable() else "?" for c in line[:MAX_LINE_LENGTH])
