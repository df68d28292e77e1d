"""How requests, attempts and entries in the registry come out, as values of their own."""

from __future__ import annotations

import enum


class RequestOutcome(enum.StrEnum):
    """How a request ended. The values are part of the plug-ins' ABI and of records: they do not change."""

    COMPLETED = "served"  # with an endpoint's value
    REJECTED = "refused"  # it has not run, and trying again is harmless
    FAILED = "failed"  # it may have run
    GRANTED = "granted"  # a quota check
    DENIED = "denied"  # a quota check
    DISCONNECTED = "gone"  # the client went away: nobody was answered


class AcquireFailure(enum.IntEnum):
    """Why `InFlightRegistry.acquire` gave no place. Places are 0 or more, so that none is one of these."""

    ALREADY_HELD = -1  # another worker holds the request, or one that died while it did
    NO_FREE_SLOT = -2  # there is no capacity for one more
