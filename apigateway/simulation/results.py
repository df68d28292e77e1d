"""How attempts and requests end in the simulation."""

from __future__ import annotations

from enum import StrEnum


class AttemptResult(StrEnum):
    """How an attempt at a host ends; values of `messages.RESULTS`."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the host rejected it: it has not been executed
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"


class ResponseOutcome(StrEnum):
    """What a gateway answers to a client's request."""

    SERVED = "served"
    REJECTED = "rejected"  # trying again is harmless
    FAILED = "failed"  # it may have been executed
    CONNECTION_LOST = "connection lost"  # the gateway died
