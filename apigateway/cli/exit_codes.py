"""Exit codes of the commands; they are part of what scripts rely on."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How a command ended. `serve` adds 75, try again, of sysexits.h."""

    OK = 0
    FAILED = 1
    UNUSABLE = 2  # settings or arguments that cannot be used
    OVER_LIMIT = 3  # of `ratelimit ask`: the service answered that the request is over its limit
