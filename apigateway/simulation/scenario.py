"""What a simulation is made of, as plain data.

These dataclasses are the schema of experiment files: each field name is a key there, so renaming one breaks
users' files. Times are in seconds, rates per second, and "part" is a share between 0 and 1.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from apigateway import messages
from apigateway.simulation.network import ANYWHERE, Distances

READ = messages.ServiceClass(
    name="read",
    latency_objective=2.0,
    deadline=5.0,
    idempotency=messages.Idempotency.SAFE,
    deduplication_scope=messages.DeduplicationScope.ALL,
    deduplication_window=0.0,
    priority_weight=1.0,
    late_priority_weight=0.0,
    is_streaming=False,
    latency_objective_stretch=0.0,
)
UPDATE = messages.ServiceClass(
    name="update",
    latency_objective=2.5,
    deadline=6.0,
    idempotency=messages.Idempotency.KEYED,
    deduplication_scope=messages.DeduplicationScope.CELL,
    deduplication_window=6.0,
    priority_weight=5.0,
    late_priority_weight=0.0,
    is_streaming=False,
    latency_objective_stretch=0.0,
)
NOTICE = messages.ServiceClass(
    name="notice",
    latency_objective=1.5,
    deadline=5.0,
    idempotency=messages.Idempotency.UNSAFE,
    deduplication_scope=messages.DeduplicationScope.ALL,
    deduplication_window=0.0,
    priority_weight=3.0,
    late_priority_weight=0.0,
    is_streaming=False,
    latency_objective_stretch=0.0,
)
FREE = messages.Plan(  # no quota and no ceiling
    name="free",
    rate=0.0,
    burst=0.0,
    concurrency_limit=0,
    price_weight=1.0,
    over_quota_weight=0.0,
    over_quota_cost=0.5,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    ceiling_slack=0.0,
)


@dataclass(frozen=True, slots=True)
class Workload:
    """Requests of one class: `share` of all, their work drawn from an exponential with mean `mean`."""

    cls: messages.ServiceClass = READ
    share: float = 1.0
    mean: float = 0.2  # core seconds


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The hosts.

    A host works on `slots` requests at once, each on a core or on its part of the cores; `queue` more wait,
    and what comes then is rejected.
    """

    count: int = 50
    cores: float = 4.0
    slots: int = 12
    queue: int = 48
    speed_cv: float = 0.1  # coefficient of variation of the hosts' speeds
    big: float = 0.0  # part of the hosts that have twice the cores
    weights: bool = False  # whether the endpoint list tells which hosts are big
    thrash: float = 0.1  # part of its speed that a host with all slots taken has lost
    report_period: float = 0.5
    report_delay: float = 0.1
    reports: tuple[str, ...] = ("queue", "util")  # fields of the load report
    handshake: float = 0.001  # core seconds of a new connection
    handshake_trips: float = 2.0  # round trips before the first request is sent
    idle_close: float = 30.0


@dataclass(frozen=True, slots=True)
class CustomerSettings:
    """The customers and their clients.

    Those of a plan make up its share (`shares`) of the load; `heavy` of them ask for `heavy_times` their
    quota, the others for `calm` of it, in the mean.
    """

    plans: tuple[messages.Plan, ...] = (FREE,)
    shares: tuple[float, ...] = (1.0,)
    count: int = 400  # customers of a plan without a quota
    spread: tuple[float, float] = (0.5, 1.0)  # part of all gateways that a customer uses: least, most
    calm: float = 0.35
    heavy: float = 0.0
    heavy_times: float = 3.0
    skew: float = 0.7  # of a customer's traffic over its gateways; 0: even
    shift: float = 15.0  # a customer's busiest gateways change once in this time
    gateway_skew: float = 0.5  # of traffic over gateways, whoever asks
    busiest: float = 6.0  # traffic of one gateway in fifty, as a multiple of the mean
    retries: int = 1
    wait: float = 0.3  # before a retry
    honour: float = 0.7  # part of the clients that wait as long as Retry-After tells them to
    patience: float = 0.75  # part of a class's deadline after which a client gives up
    notice: float = 2.0  # for so long a dead gateway is still sent requests


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """The quota counter."""

    on: bool = True
    parts: int = 2  # partitions of the keys
    capacity: float = 700.0  # calls a second, over all partitions
    call: float = 0.001  # time of a call
    timeout: float = 0.08


@dataclass(frozen=True, slots=True)
class EndpointListSettings:
    """How a gateway hears of changes to the endpoint list: after `late` to `late` + `spread` seconds."""

    late: float = 0.5
    spread: float = 1.5
    miss: float = 0.0  # part of the changes that a gateway never hears of, until the next one of that host


class FaultKind(StrEnum):
    """The faults that can be played; the values are those of `what` in experiment files."""

    KILL = "kill"  # part, back: gateways die, and are restarted after about `back`
    REPLACE = "replace"  # part, over: hosts drain and cold ones replace them, one by one within `over`
    HANG = "hang"  # part: hosts accept requests and answer none
    ERROR = "err"  # part: hosts answer with an error at once
    FULL = "full"  # part: hosts reject every request
    REFUSE = "refuse"  # part: hosts refuse connections
    REFUSE_SOME = "refuse_some"  # part: hosts refuse connections of half of the gateways
    FALSE_REPORT = "lie"  # part: hosts report that they are idle
    SLOW = "slow"  # part, size: hosts work at `size` of their speed
    ZONE_OUTAGE = (
        "dark"  # zone, cold: its hosts and gateways vanish silently, and return, cold or as they were
    )
    ZONE_PARTITION = "cut"  # zone: nothing passes between it and the others, either way
    LINK = (
        "link"  # zone, there, size, lose: messages from `there` to `zone` are `size` s late, a part is lost
    )
    COUNTER_SILENT = "counter"  # the quota counter answers nothing
    TRAFFIC_SHIFT = "shift"  # part: customers come through others of their gateways
    SURGE = "surge"  # size: so many times the load
    ENDPOINT_LIST_DELAY = "list"  # size: changes of the endpoint list are heard so much later
    STALE_REPORTS = "stale"  # zone, size: the load reports of its hosts are so much older


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """A fault: it begins `at` seconds from the end of the warm-up and lasts for `lasts`.

    `what` is a `FaultKind`, where the fields that each kind uses are listed.
    """

    what: str
    at: float
    lasts: float = 5.0
    part: float = 0.1
    size: float = 1.0
    lose: float = 0.0
    over: float = 0.0
    back: float = 3.0
    zone: str = ""
    there: str = ANYWHERE
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """One simulation: the fleet, its load, and the timeline of faults."""

    gateways: int = 200
    zones: tuple[str, ...] = ("a", "b", "c")
    load: float = 0.7  # of what all hosts can do
    length: float = 20.0
    warm_up: float = 5.0  # not counted
    policy: str = "module"  # or "module:FILE", or a baseline
    start_spread: float = 0.0  # gateways start within this
    works: tuple[Workload, ...] = (
        Workload(READ, 0.41, 0.2),
        Workload(UPDATE, 0.40, 0.3),
        Workload(NOTICE, 0.19, 0.2),
    )
    machines: HostSettings = field(default_factory=HostSettings)
    customers: CustomerSettings = field(default_factory=CustomerSettings)
    counting: CounterSettings = field(default_factory=CounterSettings)
    listing: EndpointListSettings = field(default_factory=EndpointListSettings)
    distances: Distances = field(default_factory=Distances)
    faults: tuple[FaultSettings, ...] = ()
    probes: bool = True
    retry_after: bool = False
    max_attempts: int = 6
    rules: messages.Rules = messages.Rules(
        answer_slack=0.01,
        drain_grace=2.0,
        initial_capacity=0.15,
        slow_start_duration=17.0,
        overload_multiple=2.0,
        overload_duration=2.0,
        max_poll_interval=0.0,
    )

    def settings(self, index: int) -> messages.Settings:
        """Return the settings that the decision module of gateway `index` is given."""
        return messages.Settings(
            gateway_index=index,
            gateway_count=self.gateways,
            zone=self.zones[index % len(self.zones)],
            classes={work.cls.name: work.cls for work in self.works},
            plans={plan.name: plan for plan in self.customers.plans},
            limits=messages.Limits(
                can_cancel=True,
                can_hedge=False,
                can_check_health=self.probes,
                can_message_peers=False,
                can_send_retry_after=self.retry_after,
                max_attempts=self.max_attempts,
                max_retry_after=2.0,
            ),
            rules=self.rules,
            prices={"cross_zone": 0.005, "probe": 0.01},
            has_counter=self.counting.on,
            counter_price=0.01,
            counter_timeout=self.counting.timeout,
            meter_period=0.0,
            charges_actual_units=False,
            max_units=1.0,
            discovery_mode=messages.DiscoveryMode.PUSH,
            load_report_fields=self.machines.reports,
            weight_meaning="nominal" if self.machines.weights else "none",
        )
