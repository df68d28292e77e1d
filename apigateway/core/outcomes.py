"""Outcomes of requests and of registrations in the in-flight registry."""

from __future__ import annotations

import enum


class RequestOutcome(enum.StrEnum):
    """How a request ended. The values are part of the plug-in ABI and of the records and must not change."""

    COMPLETED = "served"  # an endpoint returned a value
    REJECTED = "refused"  # it has not run and may be retried safely
    FAILED = "failed"  # it may have run
    GRANTED = "granted"  # quota checks only
    DENIED = "denied"  # quota checks only
    DISCONNECTED = "gone"  # the client disconnected, so no response was sent


class AcquireFailure(enum.IntEnum):
    """Why `InFlightRegistry.acquire` returned no slot. Values are negative, because slots are 0 or more."""

    ALREADY_HELD = -1  # another worker holds the request, or held it when it died
    NO_FREE_SLOT = -2  # the registry is full
