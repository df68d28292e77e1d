"""The events that the decision module handles."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from apigateway.contract.endpoints import EndpointList
from apigateway.contract.requests import (
    CustomLimitCheck,
    PrepaidRequest,
    QuotaCheck,
    QuotaReservation,
    RejectedByPlugin,
    Request,
    ReturnReservation,
    ReturnUnits,
)


class AttemptResult(StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the host answered with an error: it may have executed the request
    REJECTED = "full"  # the host rejected the request without executing it
    TIMEOUT = "timeout"  # no answer arrived in time
    CONNECT_FAILED = "connect_failed"  # the request was not sent
    RESET = "reset"  # the connection closed before an answer arrived
    CANCELLED = "cancelled"
    ABANDONED = "moot"  # no client waits for the answer any more


class CounterCallResult(StrEnum):
    """How a call to the quota counter ended."""

    OK = "ok"  # the amount was added, and the new total is known
    REJECTED = "full"  # nothing was added
    CONNECT_FAILED = "connect_failed"  # the call was not sent: nothing was added
    TIMEOUT = "timeout"  # no answer arrived in time: the amount may have been added
    MALFORMED_REPLY = "spoilt"  # the amount was added, but the reply with the total could not be parsed


ATTEMPT_RESULTS = tuple(AttemptResult)
COUNTER_CALL_RESULTS = tuple(CounterCallResult)

# Results after which the host may have executed the request although no response arrived.
_POSSIBLY_EXECUTED = frozenset(
    {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)
# Results that show whether the endpoint works. A timeout is not one of them: the endpoint's silence has
# already been recorded as a failure by then.
_HEALTH_SIGNALS = frozenset(
    {
        AttemptResult.CONNECT_FAILED,
        AttemptResult.REJECTED,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.OK,
    }
)


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of an attempt that has ended."""

    request_id: str
    attempt: int
    endpoint_id: str
    result: AttemptResult
    elapsed: float  # s
    is_final: bool  # whether the request is finished
    metered_use: int = 0  # 1 + percent of the customer's rate used in the last metered period; 0: not known
    actual_units: float = 0  # units that the request actually used; 0: not known
    load_report: dict[str, float] = field(default_factory=dict)

    @property
    def may_have_executed(self) -> bool:
        """Whether the host may have executed the request although no response arrived."""
        return self.result in _POSSIBLY_EXECUTED

    @property
    def is_health_signal(self) -> bool:
        """Whether the result shows that the endpoint works or does not work."""
        return self.result in _HEALTH_SIGNALS

    def __post_init__(self) -> None:
        if self.result not in ATTEMPT_RESULTS:
            raise ValueError(f"unknown result {str(self.result)!r}")


@dataclass(frozen=True, slots=True)
class CounterResult:
    """The result of a call to the quota counter."""

    counter_key: int
    result: CounterCallResult
    total: float  # of all gateways, after the addition
    elapsed: float  # s

    @property
    def was_added(self) -> bool:
        """Whether the amount has certainly been added."""
        return self.result in (CounterCallResult.OK, CounterCallResult.MALFORMED_REPLY)

    def __post_init__(self) -> None:
        if self.result not in COUNTER_CALL_RESULTS:
            raise ValueError(f"unknown counter result {str(self.result)!r}")


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check."""

    endpoint_id: str
    result: AttemptResult
    elapsed: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer has expired."""

    label: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed response has arrived."""

    request_id: str
    attempt: int
    endpoint_id: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected: no further attempt is made for it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DrainGateway:
    """Start or stop draining this gateway.

    While it drains, another process takes the new connections under the same gateway index, and all tokens
    that the ceilings gain belong to that process. Draining stops if that process fails.
    """

    is_draining: bool


@dataclass(frozen=True, slots=True)
class EvacuateZones:
    """An operator's list of zones to evacuate, which replaces the previous list.

    Hosts of these zones get no new attempts while any other host is up. Attempts in flight continue.
    """

    zones: tuple[str, ...]


Event = (
    EndpointList
    | Request
    | QuotaCheck
    | QuotaReservation
    | CustomLimitCheck
    | PrepaidRequest
    | ReturnUnits
    | ReturnReservation
    | AttemptOutcome
    | CounterResult
    | HealthCheckResult
    | TimerExpired
    | StreamStarted
    | ClientDisconnected
    | PeerMessage
    | DrainGateway
    | RejectedByPlugin
    | EvacuateZones
)
