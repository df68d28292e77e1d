"""The actions that the decision module asks for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Forward a request to an endpoint, as one attempt."""

    request_id: str
    endpoint_id: str
    timeout: float = 0  # s; 0: until the client gives up


@dataclass(frozen=True, slots=True)
class QuotaGranted:
    """Answer that a check's units are granted and spent."""

    request_id: str
    # Units of the customer's quota that are left in this window, as this gateway knows it; inf: no quota.
    remaining: float
    reset_after: float  # s until the next window; 0: no quota
    # For ReturnUnits. None: no units of the quota were spent, because the plan has no rate or the check was
    # granted beyond it, or on odds while the counter could not be asked.
    window_index: int | None


@dataclass(frozen=True, slots=True)
class QuotaDenied:
    """Answer that a check's units are not granted."""

    request_id: str
    is_over_quota: bool  # the quota or the ceiling is exhausted; False: the check was shed or out of time
    retry_after: float  # s; 0: not known
    remaining: float
    reset_after: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that a request was rejected. A retry is harmless."""

    request_id: str
    retry_after: float = 0  # s; 0: none is sent


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request failed. It may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add an amount to a key of the quota counter and read its total."""

    counter_key: int
    amount: float
    lifetime: float  # s for which the counter keeps the key


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer that expires once after a delay."""

    delay: float
    label: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of an endpoint."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list from discovery once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    is_on: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    ForwardRequest
    | Reject
    | Fail
    | QuotaGranted
    | QuotaDenied
    | CancelAttempt
    | AddToCounter
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | FetchEndpoints
    | WatchEndpoints
    | LogMessage
)
