"""Types between a gateway and the decision module: settings, events in, actions out.

Times are seconds (floats), clock readings come with each event, ids are opaque text.
Effects: "safe" (repeat freely), "keyed" (repeats discarded within a scope), "unsafe".
"""

from __future__ import annotations

from dataclasses import dataclass, field

EFFECTS = ("safe", "keyed", "unsafe")
SCOPES = ("all", "zone", "cell")
RESULTS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")
COUNT_RESULTS = ("ok", "full", "connect_failed", "timeout", "spoilt")  # spoilt: added, total not known
MODES = ("delta", "full", "cached", "failed")


def _need(ok: bool, text: str) -> None:
    if not ok:
        raise ValueError(text)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    name: str
    aim: float  # an answer within this earns full worth
    deadline: float
    effect: str
    scope: str  # keyed only: the hosts that discard a repeat
    memory: float  # keyed only: for how long they do
    worth: float
    late_worth: float
    stream: bool
    aim_stretch: float

    def __post_init__(self) -> None:
        _need(self.effect in EFFECTS, f"class {self.name}: unknown effect {self.effect!r}")
        _need(self.scope in SCOPES, f"class {self.name}: unknown scope {self.scope!r}")
        _need(0 < self.aim and 0 < self.deadline, f"class {self.name}: aim and deadline must be above 0")
        _need(self.memory >= 0 and self.worth >= 0, f"class {self.name}: negative memory or worth")


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float  # units a second; 0: no such quota
    burst: float  # units
    open_limit: int  # attempts out at once over all gateways; 0: no such quota
    price: float
    over_worth: float
    over_cost: float
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float
    ceiling_slack: float

    def __post_init__(self) -> None:
        low = min(
            self.rate,
            self.burst,
            self.open_limit,
            self.price,
            self.over_worth,
            self.over_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )
        _need(low >= 0, f"plan {self.name}: negative figure")
        _need(self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate needs a burst")
        _need(self.ceiling_rate == 0 or self.ceiling_burst > 0, f"plan {self.name}: a ceiling needs a burst")


@dataclass(frozen=True, slots=True)
class Limits:
    cancel: bool
    second_copies: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_attempts: int
    max_retry_after: float
    connect_timeout: float = 0.0  # s after which an attempt that was sent reaches its host at the latest

    def __post_init__(self) -> None:
        _need(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack: float
    drain_grace: float
    cold_share: float  # share of its capacity that a fresh host has at least
    cold_time: float  # it is warm within this
    fall_multiple: float
    fall_time: float
    ask_within: float  # discovery on request only

    def __post_init__(self) -> None:
        _need(0 <= self.cold_share <= 1, "cold_share must lie in 0..1")
        low = min(self.drain_grace, self.cold_time, self.fall_multiple, self.fall_time)
        _need(low >= 0, "negative rule figure")


@dataclass(frozen=True, slots=True)
class Route:
    """Hosts that a request may be kept to: those of some kinds."""

    name: str
    kinds: tuple[str, ...]
    fallback: bool  # while none of them is up it goes to any

    def __post_init__(self) -> None:
        _need(bool(self.kinds), f"route {self.name}: no kind of host")


@dataclass(frozen=True, slots=True)
class Settings:
    index: int  # number of this gateway
    gateways: int
    zone: str
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    counter: bool
    counter_price: float
    counter_timeout: float
    meter_period: float
    settles: bool
    most_units: float
    discovery: str  # "push" or "ask"
    reports: tuple[str, ...]
    weights: str  # meaning of a host's weight
    routes: dict[str, Route] = field(default_factory=dict)
    most_accounts: int = 0  # customers known at once; 0: as many as come

    def __post_init__(self) -> None:
        _need(0 <= self.index < self.gateways, "index must lie in 0..gateways-1")
        _need(self.discovery in ("push", "ask"), f"unknown discovery mode {self.discovery!r}")
        _need(not self.counter or self.counter_timeout > 0, "a counter needs a time-out")
        _need(bool(self.classes), "no request classes")
        _need(self.most_accounts >= 0, "most_accounts must not be negative")


@dataclass(frozen=True, slots=True)
class Host:
    id: str
    zone: str
    cell: int
    weight: float
    kind: str
    state: str  # "up", "leaving" or "down"
    started: float  # clock time of its last start; 0: long ago

    def __post_init__(self) -> None:
        _need(self.state in ("up", "leaving", "down"), f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class HostList:
    mode: str  # one of MODES
    version: int
    hosts: tuple[Host, ...]

    def __post_init__(self) -> None:
        _need(self.mode in MODES, f"unknown list mode {self.mode!r}")


@dataclass(frozen=True, slots=True)
class Request:
    id: str
    left: float  # until the client gives up
    customer: str
    plan: str
    cls: str
    units: float
    first: int  # the customer's gateways: `spread` in a row from this one
    spread: int
    repeat: bool = False
    write: bool = False
    route: str = ""  # of settings; empty: any host

    def __post_init__(self) -> None:
        _need(self.units >= 0, f"request {self.id}: negative units")
        _need(self.spread >= 1, f"request {self.id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class Check(Request):
    """May this customer use so many units now? It spends them as a request would, goes to no host, and is
    answered by Granted or Denied. Any number of units: 0 spends nothing, more than a burst never fits."""


@dataclass(frozen=True, slots=True)
class Reserve(Check):
    """A check whose units a Paid request may come for. The ceiling counts it when it is granted, and counts
    that request once more when it is sent, each by itself: neither what is granted nor what is sent on passes
    it, however far apart the two are."""


@dataclass(frozen=True, slots=True)
class Limited(Check):
    """A check against a limit of its own, in place of its plan's: of `customer`, which is then a name made
    for that limit. Its class and plan tell what it is worth."""

    limit: Plan | None = None

    def __post_init__(self) -> None:
        _need(self.limit is not None and self.limit.rate > 0, f"check {self.id}: no limit")
        _need(self.units >= 0 and self.spread >= 1, f"check {self.id}: negative units or no spread")


@dataclass(frozen=True, slots=True)
class Paid(Request):
    """A request whose units a Reserve has spent: it takes none of the quota."""


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Units that a Check of this customer was granted, and that were not used: another one of the same
    question was denied. They count as unspent again while the window is the one that they were spent in."""

    customer: str
    units: float
    window: int  # as Granted told it


@dataclass(frozen=True, slots=True)
class Unreserve(GiveBack):
    """Likewise, of a Reserve."""


@dataclass(frozen=True, slots=True)
class Barred:
    """A request that a plug-in or an outer service would have refused, before anything was taken for it. It
    was not told of before."""

    id: str
    wait: float  # s until its client may come again


@dataclass(frozen=True, slots=True)
class Outcome:
    id: str
    attempt: int
    host: str
    result: str
    elapsed: float
    final: bool
    used: int = 0  # 1 + percent of the customer's rate used in the last metered period; 0: none
    actual: float = 0  # units that the request really counted; 0: none
    report: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _need(self.result in RESULTS, f"unknown result {self.result!r}")


@dataclass(frozen=True, slots=True)
class Counted:
    name: int
    result: str
    total: float
    elapsed: float

    def __post_init__(self) -> None:
        _need(self.result in COUNT_RESULTS, f"unknown counter result {self.result!r}")


@dataclass(frozen=True, slots=True)
class Probed:
    host: str
    result: str
    elapsed: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Timer:
    label: int


@dataclass(frozen=True, slots=True)
class Began:
    id: str
    attempt: int
    host: str
    elapsed: float


@dataclass(frozen=True, slots=True)
class Gone:
    id: str


@dataclass(frozen=True, slots=True)
class Message:
    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Retire:
    """On: another process takes this gateway's new connections from now on, under its name. What is fresh
    from now on (the fill of the ceilings' stores) is that one's. Off: it failed, and all is as before."""

    on: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """An operator's word, in place of what was said before: nothing new goes to hosts of these zones, as long
    as there is any other. What is out there goes on."""

    zones: tuple[str, ...]


Event = (
    HostList
    | Request
    | Check
    | Reserve
    | Limited
    | Paid
    | GiveBack
    | Unreserve
    | Outcome
    | Counted
    | Probed
    | Timer
    | Began
    | Gone
    | Message
    | Retire
    | Barred
    | Leave
)


@dataclass(frozen=True, slots=True)
class Send:
    id: str
    host: str
    timeout: float = 0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Granted:
    """A check's units are spent."""

    id: str
    # units of the customer's quota left in this window, as far as is known here; inf: no quota
    remaining: float
    reset: float  # s until the window turns; 0: no quota
    window: int  # for GiveBack


@dataclass(frozen=True, slots=True)
class Denied:
    id: str
    over: bool  # beyond the customer's quota or ceiling; False: shed, or out of time
    retry_after: float  # s; 0: not known
    remaining: float
    reset: float


@dataclass(frozen=True, slots=True)
class Refuse:
    id: str
    retry_after: float = 0


@dataclass(frozen=True, slots=True)
class Fail:
    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Count:
    name: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    label: int


@dataclass(frozen=True, slots=True)
class Probe:
    host: str


@dataclass(frozen=True, slots=True)
class Close:
    host: str


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask discovery for the whole list, once."""


@dataclass(frozen=True, slots=True)
class Watch:
    on: bool


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send | Refuse | Fail | Granted | Denied | Cancel | Count | SetTimer | Probe | Close | Fetch | Watch | Log
)
