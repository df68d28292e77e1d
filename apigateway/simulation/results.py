"""How clients' requests end in the simulation."""

from __future__ import annotations

from enum import StrEnum


class ResponseOutcome(StrEnum):
    """What a gateway answers to a client's request."""

    SERVED = "served"
    REJECTED = "rejected"  # trying again is harmless
    FAILED = "failed"  # it may have been executed
    CONNECTION_LOST = "connection lost"  # the gateway died
