"""The typed contract of the decision module: settings, events in, actions out.

Times are seconds (floats), clock readings come with each event, ids are opaque text. Fields of the
enumerations' types hold members; whoever reads a wire or a file turns its words into them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar


class Idempotency(StrEnum):
    """What executing a request of a class more than once does."""

    SAFE = "safe"  # no harm
    KEYED = "keyed"  # no harm where repeats are discarded: within a scope, for some time
    UNSAFE = "unsafe"  # harm


class DeduplicationScope(StrEnum):
    """The hosts that discard a repeat of what one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the host answered that it failed: it may have executed the request
    REJECTED = "full"  # the host rejected it
    TIMEOUT = "timeout"  # there was no answer in time
    CONNECT_FAILED = "connect_failed"  # it was not sent
    RESET = "reset"  # the connection ended without an answer
    CANCELLED = "cancelled"
    ABANDONED = "moot"  # nobody waits for it any more


class CounterCallResult(StrEnum):
    """How a call of the counter ended."""

    OK = "ok"  # added, and the new total is known
    REJECTED = "full"  # rejected: nothing was added
    CONNECT_FAILED = "connect_failed"  # not written: nothing was added
    TIMEOUT = "timeout"  # written and not answered in time: it may have been added
    MALFORMED_REPLY = "spoilt"  # added, but the reply with the total could not be read


class EndpointStatus(StrEnum):
    """What the endpoint list says of a host."""

    UP = "up"
    DRAINING = "leaving"  # it drains: nothing new is to be sent there
    DOWN = "down"


class ListMode(StrEnum):
    """What an update of the endpoint list contains."""

    DELTA = "delta"  # changes
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list, as it was known before
    FAILED = "failed"  # none: the call failed


class DiscoveryMode(StrEnum):
    """How updates of the endpoint list are received."""

    PUSH = "push"
    POLL = "ask"


IDEMPOTENCIES = tuple(Idempotency)
DEDUPLICATION_SCOPES = tuple(DeduplicationScope)
ATTEMPT_RESULTS = tuple(AttemptResult)
COUNTER_CALL_RESULTS = tuple(CounterCallResult)
ENDPOINT_STATUSES = tuple(EndpointStatus)
LIST_MODES = tuple(ListMode)

# Results of attempts after which a request may have been executed, though there is no response.
_POSSIBLY_EXECUTED = frozenset(
    {AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)
# Results that say whether the endpoint works; silence is judged before it ends.
_HEALTH_SIGNALS = frozenset(
    {
        AttemptResult.CONNECT_FAILED,
        AttemptResult.REJECTED,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.OK,
    }
)


def _require(ok: bool, text: str) -> None:
    if not ok:
        raise ValueError(text)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """The objectives of one class of requests, and its priority against the others."""

    name: str
    latency_objective: float  # an answer within this earns the full priority weight
    deadline: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # keyed only
    deduplication_window: float  # keyed only: for how long they do
    priority_weight: float
    late_priority_weight: float
    is_streaming: bool
    latency_objective_stretch: float

    @property
    def is_repeatable(self) -> bool:
        """Whether it does no harm to execute a request twice, wherever that is."""
        is_discarded = (
            self.idempotency == Idempotency.KEYED and self.deduplication_scope == DeduplicationScope.ALL
        )
        return self.is_safe or is_discarded

    @property
    def is_safe(self) -> bool:
        """Whether a request may be executed any number of times, anywhere."""
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
            f"class {self.name}: aim and deadline must be above 0",
        )
        _require(
            self.deduplication_window >= 0 and self.priority_weight >= 0,
            f"class {self.name}: negative memory or worth",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of this plan may use, over all gateways together."""

    name: str
    rate: float  # units a second; 0: no such quota
    burst: float  # units
    concurrency_limit: int  # attempts out at once over all gateways; 0: no such quota
    price_weight: float
    over_quota_weight: float
    over_quota_cost: float
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float
    ceiling_slack: float

    def __post_init__(self) -> None:
        low = min(
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
        _require(low >= 0, f"plan {self.name}: negative figure")
        _require(self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate needs a burst")
        _require(
            self.ceiling_rate == 0 or self.ceiling_burst > 0, f"plan {self.name}: a ceiling needs a burst"
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What this deployment allows a gateway to do."""

    can_cancel: bool
    can_hedge: bool
    can_check_health: bool
    can_message_peers: bool
    can_send_retry_after: bool
    max_attempts: int
    max_retry_after: float
    connect_timeout: float = 0.0  # s after which an attempt that was sent reaches its host at the latest

    def retry_after(self, wait: float) -> float:
        """Return the Retry-After, in seconds, that a client may be given where it should wait so long."""
        return min(max(wait, 0.0), self.max_retry_after if self.can_send_retry_after else 0.0)

    def __post_init__(self) -> None:
        _require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules that hold in every failure. Times in seconds."""

    answer_slack: float
    drain_grace: float
    initial_capacity: float  # share of its capacity that a fresh host has at least
    slow_start_duration: float  # it is warm within this
    overload_multiple: float
    overload_duration: float
    max_poll_interval: float  # discovery on request only

    def __post_init__(self) -> None:
        _require(0 <= self.initial_capacity <= 1, "cold_share must lie in 0..1")
        low = min(self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_duration)
        _require(low >= 0, "negative rule figure")


@dataclass(frozen=True, slots=True)
class Route:
    """The kinds of hosts that a request is restricted to."""

    name: str
    endpoint_kinds: tuple[str, ...]
    fallback: bool  # while none of them is up it goes to any

    def allowed_kinds(self, endpoints: Iterable[Endpoint]) -> tuple[str, ...]:
        """Return the kinds that a request may go to while these hosts are up; none: any."""
        if self.fallback and all(host.kind not in self.endpoint_kinds for host in endpoints):
            return ()
        return self.endpoint_kinds

    def __post_init__(self) -> None:
        _require(bool(self.endpoint_kinds), f"route {self.name}: no kind of host")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment, as one gateway has them."""

    gateway_index: int  # number of this gateway
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
    weight_meaning: str  # meaning of a host's weight
    routes: dict[str, Route] = field(default_factory=dict)
    max_customers: int = 0  # customers known at once; 0: as many as come

    def __post_init__(self) -> None:
        _require(0 <= self.gateway_index < self.gateway_count, "index must lie in 0..gateways-1")
        _require(
            self.discovery_mode in tuple(DiscoveryMode), f"unknown discovery mode {self.discovery_mode!r}"
        )
        _require(not self.has_counter or self.counter_timeout > 0, "a counter needs a time-out")
        _require(bool(self.classes), "no request classes")
        _require(self.max_customers >= 0, "most_accounts must not be negative")

    def plan_of(self, request: Request) -> Plan:
        """Return the plan that a request is judged by: its own limit, or that of its customer."""
        plan = self.plans[request.plan]
        return (request.limit or plan) if isinstance(request, CustomLimitCheck) else plan


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host that requests are forwarded to, as the endpoint list has it."""

    id: str
    zone: str
    cell: int
    weight: float
    kind: str
    state: EndpointStatus
    started_at: float  # clock time of its last start; 0: long ago

    @property
    def is_up(self) -> bool:
        """Whether it may get requests."""
        return self.state == EndpointStatus.UP

    def shares_scope(self, other: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether a repeat of what another host has executed is discarded by this one."""
        if scope == DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope == DeduplicationScope.ALL or self.cell == other.cell

    def __post_init__(self) -> None:
        if self.state not in ENDPOINT_STATUSES:
            raise ValueError(f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An update of the endpoint list: changes, a complete list, the list as cached, or a call that failed."""

    mode: ListMode
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def is_complete(self) -> bool:
        """Whether hosts that it does not name are gone."""
        return self.mode in (ListMode.FULL, ListMode.CACHED)

    def __post_init__(self) -> None:
        _require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, as it was read."""

    is_check: ClassVar[bool] = False  # it is forwarded to no host: its units are all that is asked for
    is_reservation: ClassVar[bool] = False  # it spends units for a request that may come later
    is_prepaid: ClassVar[bool] = False  # a check has spent its units

    request_id: str
    remaining: float  # until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float
    first_gateway: int  # the customer's gateways: `spread` in a row from this one
    gateway_spread: int
    is_retry: bool = False
    is_write: bool = False
    route: str = ""  # of settings; empty: any host

    def __post_init__(self) -> None:
        _require(self.units >= 0, f"request {self.request_id}: negative units")
        _require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class QuotaCheck(Request):
    """Asks whether a customer may use so many units now. It spends them as a request would, goes to no host,
    and is answered by QuotaGranted or QuotaDenied. 0 units spend nothing, more than a burst never fits."""

    is_check: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class QuotaReservation(QuotaCheck):
    """A check whose units a PrepaidRequest may use later. The ceiling counts it when it is granted, and that
    request once more when it is forwarded, each by itself: neither what is granted nor what is forwarded
    passes it, however far apart the two are."""

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class CustomLimitCheck(QuotaCheck):
    """A check against a limit of its own, in place of its plan's: of `customer`, which is then a name made
    for that limit. Its class and plan give its priority."""

    limit: Plan | None = None

    def __post_init__(self) -> None:
        _require(self.limit is not None and self.limit.rate > 0, f"check {self.request_id}: no limit")
        _require(
            self.units >= 0 and self.gateway_spread >= 1,
            f"check {self.request_id}: negative units or no spread",
        )


@dataclass(frozen=True, slots=True)
class PrepaidRequest(Request):
    """A request whose units a QuotaReservation has spent: it takes none of the quota."""

    is_prepaid: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ReturnUnits:
    """Units that a QuotaCheck of this customer was granted, and that were not used: another check of the same
    call was denied. They count as unspent again while the window is the one that they were spent in."""

    is_reservation: ClassVar[bool] = False

    customer: str
    units: float
    window_index: int  # of the QuotaGranted


@dataclass(frozen=True, slots=True)
class ReturnReservation(ReturnUnits):
    """Units of a QuotaReservation that were not used."""

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class RejectedByPlugin:
    """A request that a plug-in or an external service rejected before it took anything of the quota. The
    decision module was not given it before."""

    request_id: str
    retry_after: float  # s until its client may retry


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt has ended."""

    request_id: str
    attempt: int
    endpoint_id: str
    result: AttemptResult
    elapsed: float
    is_final: bool
    metered_use: int = 0  # 1 + percent of the customer's rate used in the last metered period; 0: none
    actual_units: float = 0  # units that the request really counted; 0: none
    load_report: dict[str, float] = field(default_factory=dict)

    @property
    def may_have_executed(self) -> bool:
        """Whether the request may have been executed, though there is no response."""
        return self.result in _POSSIBLY_EXECUTED

    @property
    def is_health_signal(self) -> bool:
        """Whether the result says that the endpoint works or that it does not."""
        return self.result in _HEALTH_SIGNALS

    def __post_init__(self) -> None:
        if self.result not in ATTEMPT_RESULTS:
            raise ValueError(f"unknown result {str(self.result)!r}")


@dataclass(frozen=True, slots=True)
class CounterResult:
    """A call of the quota counter has ended."""

    counter_key: int
    result: CounterCallResult
    total: float
    elapsed: float

    @property
    def was_added(self) -> bool:
        """Whether the amount has surely been added."""
        return self.result in (CounterCallResult.OK, CounterCallResult.MALFORMED_REPLY)

    def __post_init__(self) -> None:
        if self.result not in COUNTER_CALL_RESULTS:
            raise ValueError(f"unknown counter result {str(self.result)!r}")


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A health check has ended."""

    endpoint_id: str
    result: AttemptResult
    elapsed: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that was set has expired."""

    label: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed response has come."""

    request_id: str
    attempt: int
    endpoint_id: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has gone: nothing more is to be forwarded for it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway has sent this."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DrainGateway:
    """On: another process takes this gateway's new connections from now on, under its name. What is fresh
    from now on (the fill of the ceilings' stores) is that one's. Off: it failed, and all is as before."""

    is_draining: bool


@dataclass(frozen=True, slots=True)
class EvacuateZones:
    """An operator's word, in place of what was said before: nothing new goes to hosts of these zones, as long
    as there is any other. What is out there goes on."""

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
    """Forward a request to an endpoint: one attempt."""

    request_id: str
    endpoint_id: str
    timeout: float = 0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class QuotaGranted:
    """A check's units are spent."""

    request_id: str
    # units of the customer's quota left in this window, as far as is known here; inf: no quota
    remaining: float
    reset_after: float  # s until the window turns; 0: no quota
    window_index: int  # for ReturnUnits


@dataclass(frozen=True, slots=True)
class QuotaDenied:
    """A check's units are not granted."""

    request_id: str
    is_over_quota: bool  # beyond the customer's quota or ceiling; False: shed, or out of time
    retry_after: float  # s; 0: not known
    remaining: float
    reset_after: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that a request was not taken; trying again is harmless."""

    request_id: str
    retry_after: float = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request failed; it may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Call an attempt off."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a key of the quota counter and read its total."""

    counter_key: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Expire once after a delay."""

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
    """Ask discovery for the complete list, once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Begin or end watching the endpoint list."""

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
