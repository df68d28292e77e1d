"""The typed contract of the decision module: settings, events in, actions out.

Times are in seconds (floats), the clock reading is passed with each event, and IDs are opaque strings.
A field of an enumeration type holds a member of it: the code that reads a wire format or a file converts the
strings.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar


class Idempotency(StrEnum):
    """What happens when a request of a class is executed more than once."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # harmless where hosts discard repeats: within a scope and for a limited time
    UNSAFE = "unsafe"  # harmful


class DeduplicationScope(StrEnum):
    """The hosts that discard a repeat of a request which one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


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


class EndpointStatus(StrEnum):
    """The status of a host in the endpoint list."""

    UP = "up"
    DRAINING = "leaving"  # it must not get new requests
    DOWN = "down"


class ListMode(StrEnum):
    """What an update of the endpoint list contains."""

    DELTA = "delta"  # the hosts that changed
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as it was last known
    FAILED = "failed"  # nothing: the call to discovery failed


class DiscoveryMode(StrEnum):
    """How the gateway receives updates of the endpoint list."""

    PUSH = "push"
    POLL = "ask"


IDEMPOTENCIES = tuple(Idempotency)
DEDUPLICATION_SCOPES = tuple(DeduplicationScope)
ATTEMPT_RESULTS = tuple(AttemptResult)
COUNTER_CALL_RESULTS = tuple(CounterCallResult)
ENDPOINT_STATUSES = tuple(EndpointStatus)
LIST_MODES = tuple(ListMode)

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


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """The objectives of a class of requests, and its priority relative to other classes."""

    name: str
    latency_objective: float  # s; a response within this time earns the full priority weight
    deadline: float  # s
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # for KEYED only
    deduplication_window: float  # s for which hosts discard repeats; for KEYED only
    priority_weight: float
    late_priority_weight: float
    is_streaming: bool
    latency_objective_stretch: float

    @property
    def is_repeatable(self) -> bool:
        """Whether executing a request twice is harmless, whichever hosts execute it."""
        is_discarded_everywhere = (
            self.idempotency == Idempotency.KEYED and self.deduplication_scope == DeduplicationScope.ALL
        )
        return self.is_safe or is_discarded_everywhere

    @property
    def is_safe(self) -> bool:
        """Whether a request may be executed any number of times on any hosts."""
        return self.idempotency == Idempotency.SAFE

    @property
    def is_unsafe(self) -> bool:
        """Whether a request that may have been executed must not be sent again."""
        return self.idempotency == Idempotency.UNSAFE

    def __post_init__(self) -> None:
        _require(self.idempotency in IDEMPOTENCIES, f"class {self.name}: unknown effect {self.idempotency!r}")
        _require(
            self.deduplication_scope in DEDUPLICATION_SCOPES,
            f"class {self.name}: unknown scope {self.deduplication_scope!r}",
        )
        _require(
            self.latency_objective > 0 and self.deadline > 0,
            f"class {self.name}: aim and deadline must be greater than 0",
        )
        _require(
            self.deduplication_window >= 0 and self.priority_weight >= 0,
            f"class {self.name}: memory and worth must not be negative",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """The quotas and the ceiling of a customer, over all gateways together."""

    name: str
    rate: float  # units per second; 0: no quota of units
    burst: float  # units
    concurrency_limit: int  # attempts in flight over all gateways; 0: no limit
    price_weight: float
    over_quota_weight: float
    over_quota_cost: float
    ceiling_rate: float  # units per second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float

    def __post_init__(self) -> None:
        minimum = min(
            self.rate,
            self.burst,
            self.concurrency_limit,
            self.price_weight,
            self.over_quota_weight,
            self.over_quota_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )
        _require(minimum >= 0, f"plan {self.name}: values must not be negative")
        _require(self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate requires a burst")
        _require(
            self.ceiling_rate == 0 or self.ceiling_burst > 0, f"plan {self.name}: a ceiling requires a burst"
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a gateway to do."""

    can_cancel: bool
    can_hedge: bool
    can_check_health: bool
    can_message_peers: bool
    can_send_retry_after: bool
    max_attempts: int
    max_retry_after: float  # s
    connect_timeout: float = 0.0  # s within which a new attempt reaches its host or fails

    def retry_after(self, wait: float) -> float:
        """Return the Retry-After in seconds to send to a client that should wait this long."""
        return min(max(wait, 0.0), self.max_retry_after if self.can_send_retry_after else 0.0)

    def __post_init__(self) -> None:
        _require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that a gateway keeps to during any failure. Times are in seconds."""

    answer_slack: float
    drain_grace: float
    initial_capacity: float  # share of its capacity that a host has when it starts
    slow_start_duration: float  # time after which a started host has its full capacity
    overload_multiple: float  # multiple of its capacity that a host withstands for `overload_duration`
    overload_duration: float
    max_poll_interval: float  # for polled discovery only

    def __post_init__(self) -> None:
        _require(0 <= self.initial_capacity <= 1, "cold_share must be between 0 and 1")
        minimum = min(
            self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_duration
        )
        _require(minimum >= 0, "rules: values must not be negative")


@dataclass(frozen=True, slots=True)
class Route:
    """The kinds of hosts to which a request is restricted."""

    name: str
    endpoint_kinds: tuple[str, ...]
    fallback: bool  # whether all kinds are allowed while no host of these kinds is up

    def allowed_kinds(self, endpoints: Iterable[Endpoint]) -> tuple[str, ...]:
        """Return the kinds that are allowed while these hosts are up; empty: all kinds."""
        if self.fallback and all(host.kind not in self.endpoint_kinds for host in endpoints):
            return ()
        return self.endpoint_kinds

    def __post_init__(self) -> None:
        _require(bool(self.endpoint_kinds), f"route {self.name}: at least one kind of host is required")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment, as seen by one gateway."""

    gateway_index: int  # of this gateway, from 0
    gateway_count: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    has_counter: bool
    counter_price: float
    counter_timeout: float
    meter_period: float
    charges_actual_units: bool
    max_units: float
    discovery_mode: DiscoveryMode
    load_report_fields: tuple[str, ...]
    weight_meaning: str  # what a host's weight stands for
    routes: dict[str, Route] = field(default_factory=dict)
    max_customers: int = 0  # customers whose quotas are kept at once; 0: no limit

    def __post_init__(self) -> None:
        _require(
            0 <= self.gateway_index < self.gateway_count,
            "index must be at least 0 and less than the number of gateways",
        )
        _require(
            self.discovery_mode in tuple(DiscoveryMode), f"unknown discovery mode {self.discovery_mode!r}"
        )
        _require(
            not self.has_counter or self.counter_timeout > 0, "the counter requires a timeout greater than 0"
        )
        _require(bool(self.classes), "at least one class is required")
        _require(self.max_customers >= 0, "max_customers must not be negative")

    def plan_of(self, request: Request) -> Plan:
        """Return the plan that limits a request: its own limit if it has one, or its customer's plan."""
        plan = self.plans[request.plan]
        return (request.limit or plan) if isinstance(request, CustomLimitCheck) else plan


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host to which requests are forwarded, as the endpoint list describes it."""

    id: str
    zone: str
    cell: int
    weight: float
    kind: str
    state: EndpointStatus
    started_at: float  # Unix time of its last start; 0: long ago

    @property
    def is_up(self) -> bool:
        """Whether it may get new requests."""
        return self.state == EndpointStatus.UP

    def shares_scope(self, other: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether this host discards a repeat of a request that the other host has executed."""
        if scope == DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope == DeduplicationScope.ALL or self.cell == other.cell

    def __post_init__(self) -> None:
        if self.state not in ENDPOINT_STATUSES:
            raise ValueError(f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An update of the endpoint list: changes, a complete or a cached list, or a failed call."""

    mode: ListMode
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def is_complete(self) -> bool:
        """Whether hosts that it does not list are gone."""
        return self.mode in (ListMode.FULL, ListMode.CACHED)

    def __post_init__(self) -> None:
        _require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a client has sent."""

    is_check: ClassVar[bool] = False  # it only spends units and is not forwarded to a host
    is_reservation: ClassVar[bool] = False  # it spends units for a request that may follow
    is_prepaid: ClassVar[bool] = False  # a reservation has spent its units

    request_id: str
    remaining: float  # s until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float
    first_gateway: int  # index of the first of the customer's gateways, which are `gateway_spread` in a row
    gateway_spread: int
    is_retry: bool = False  # by the client
    is_write: bool = False
    route: str = ""  # name of a Route; empty: any host

    def __post_init__(self) -> None:
        _require(self.units >= 0, f"request {self.request_id}: units must not be negative")
        _require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class QuotaCheck(Request):
    """A check of whether a customer may use a number of units now.

    It spends them as a request would, is not forwarded, and is answered by QuotaGranted or QuotaDenied. A
    check of 0 units spends nothing. A check of more units than the burst is always denied.
    """

    is_check: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class QuotaReservation(QuotaCheck):
    """A check whose units a PrepaidRequest may use later.

    The ceiling counts the units when they are granted and, separately, when that request is forwarded. So
    neither the granted nor the forwarded units exceed the ceiling, however much time lies between them.
    """

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class CustomLimitCheck(QuotaCheck):
    """A check against its own limit instead of its plan's.

    Its `customer` is a name derived from that limit. Its class and plan determine only its priority.
    """

    limit: Plan | None = None

    def __post_init__(self) -> None:
        _require(
            self.limit is not None and self.limit.rate > 0,
            f"check {self.request_id}: a limit with a rate is required",
        )
        _require(
            self.units >= 0 and self.gateway_spread >= 1,
            f"check {self.request_id}: units must not be negative, and spread must be at least 1",
        )


@dataclass(frozen=True, slots=True)
class PrepaidRequest(Request):
    """A request whose units a QuotaReservation has spent: it spends no quota."""

    is_prepaid: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ReturnUnits:
    """Return of unused units that were granted to a QuotaCheck of this customer.

    They were not used because another check of the same call was denied. They can be spent again until the
    window in which they were spent ends.
    """

    is_reservation: ClassVar[bool] = False

    customer: str
    units: float
    window_index: int | None  # of the QuotaGranted
    plan: str = ""  # whose limits the check used; empty: those of the customer's latest request


@dataclass(frozen=True, slots=True)
class ReturnReservation(ReturnUnits):
    """Return of the unused units of a QuotaReservation."""

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class RejectedByPlugin:
    """A request that a plug-in or an external service rejected before it spent any quota.

    The decision module has not seen this request before.
    """

    request_id: str
    retry_after: float  # s after which the client may retry


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
