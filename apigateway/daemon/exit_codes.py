"""Exit codes of `api-gateway`'s commands."""

from __future__ import annotations

OK = 0
FAILED = 1
# The settings cannot be used.
UNUSABLE = 2
# Another successor is taking over; EX_TEMPFAIL of sysexits.h.
TRY_AGAIN = 75
