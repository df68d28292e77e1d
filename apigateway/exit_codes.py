"""Exit codes of the commands; service managers and scripts rely on them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of `api-gateway`."""

    OK = 0
    FAILED = 1  # for a demo: a rule was broken; for a load run: the result is not valid
    INVALID_INPUT = 2  # invalid settings or arguments
    OVER_LIMIT = 3  # for `ratelimit ask`: the request is over its limit
    TEMPORARY_FAILURE = 75  # for `serve`: another process is already taking over; EX_TEMPFAIL of sysexits.h
