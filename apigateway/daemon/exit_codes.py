"""Exit codes of `api-gateway serve`; service managers and scripts rely on them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How `serve` ended."""

    OK = 0
    FAILED = 1
    UNUSABLE = 2  # settings that cannot be used
    TRY_AGAIN = 75  # another successor is taking over; EX_TEMPFAIL of sysexits.h
