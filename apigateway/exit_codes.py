"""Exit codes of the programs; service managers and scripts rely on them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How a program ended."""

    OK = 0
    FAILED = 1  # for a demo: a rule was broken; for a load run: it says nothing of its targets
    INVALID_INPUT = 2  # settings or arguments that cannot be used
    OVER_LIMIT = 3  # of `ratelimit ask`: the service answered that the request is over its limit
    TEMPORARY_FAILURE = 75  # of `serve`: another successor is taking over; EX_TEMPFAIL of sysexits.h
