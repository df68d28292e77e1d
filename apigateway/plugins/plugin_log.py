"""The log of a plug-in: lines of limited rate and length, which cannot imitate other log lines."""

from __future__ import annotations

import logging

from apigateway.plugins.plugin_state import LogRateLimiter

MAX_LINE_CHARACTERS = 200

log = logging.getLogger("apigateway.plugin")


class PluginLog:
    """Logs the lines of one plug-in, prefixed with its name."""

    def __init__(self, plugin_name: str, lines_per_second: float) -> None:
        self._plugin_name = plugin_name
        self._rate_limiter = LogRateLimiter(lines_per_second)

    @property
    def dropped(self) -> int:
        """Number of lines that exceeded the rate."""
        return self._rate_limiter.dropped

    def write(self, line: str, now: float) -> None:
        """Log a line at time `now`, in seconds, if the rate allows it."""
        if self._rate_limiter.try_acquire(now):
            log.info("%s: %s", self._plugin_name, sanitize_line(line))


def sanitize_line(line: str) -> str:
    """Return a truncated line in which `?` replaces each character that is not printable."""
    return "".join(c if c.isprintable() else "?" for c in line[:MAX_LINE_CHARACTERS])
