"""Outcomes of client requests in the simulation."""

from __future__ import annotations

from enum import StrEnum


class ResponseOutcome(StrEnum):
    """The answer of a gateway to a request of a client."""

    SERVED = "served"
    REJECTED = "rejected"  # safe to retry
    FAILED = "failed"  # may have been executed
    CONNECTION_LOST = "connection lost"  # the gateway crashed
