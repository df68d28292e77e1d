"""The settings of a simulation.

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
    """Requests of one class: a `share` of all, with exponentially distributed work of mean `mean`."""

    cls: messages.ServiceClass = READ
    share: float = 1.0
    mean: float = 0.2  # core seconds


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of the hosts.

    A host processes up to `slots` requests concurrently, each on a core or on an equal share of the cores. Up
    to `queue` more requests wait, and further ones are rejected.
    """

    count: int = 50
    cores: float = 4.0
    slots: int = 12
    queue: int = 48
    speed_cv: float = 0.1  # coefficient of variation of the hosts' speeds
    big: float = 0.0  # part of the hosts, which have twice the cores
    weights: bool = False  # whether the endpoint list contains the weights of big hosts
    thrash: float = 0.1  # part of its speed that a host with all slots taken loses
    report_period: float = 0.5
    report_delay: float = 0.1
    reports: tuple[str, ...] = ("queue", "util")  # fields of load reports
    handshake: float = 0.001  # core seconds per new connection
    handshake_trips: float = 2.0  # round trips before the first request is sent
    idle_close: float = 30.0


@dataclass(frozen=True, slots=True)
class CustomerSettings:
    """Settings of the customers and their clients.

    The customers of a plan produce its share (`shares`) of the load. A part `heavy` of them requests
    `heavy_times` their quota, and the others request a mean part `calm` of it.
    """

    plans: tuple[messages.Plan, ...] = (FREE,)
    shares: tuple[float, ...] = (1.0,)
    count: int = 400  # number of customers of a plan without a quota
    spread: tuple[float, float] = (0.5, 1.0)  # part of all gateways that a customer uses: minimum, maximum
    calm: float = 0.35
    heavy: float = 0.0
    heavy_times: float = 3.0
    skew: float = 0.7  # of a customer's traffic over its gateways; 0: uniform
    shift: float = 15.0  # a customer's preferred gateways change about once in this time
    gateway_skew: float = 0.5  # of the traffic of all customers over gateways
    busiest: float = 6.0  # traffic of one gateway in fifty, as a multiple of the mean
    retries: int = 1
    wait: float = 0.3  # before a retry
    honour: float = 0.7  # part of the retries that wait as long as Retry-After says
    patience: float = 0.75  # part of a class's deadline after which a client gives up
    notice: float = 2.0  # time for which a dead gateway still receives requests


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """Settings of the quota counter."""

    on: bool = True
    parts: int = 2  # partitions of the keys
    capacity: float = 700.0  # calls per second, over all partitions
    call: float = 0.001  # duration of a call
    timeout: float = 0.08


@dataclass(frozen=True, slots=True)
class EndpointListSettings:
    """Delivery of endpoint list changes to a gateway: after `late` to `late` + `spread` seconds."""

    late: float = 0.5
    spread: float = 1.5
    miss: float = 0.0  # part of the changes that a gateway misses, until the next change of that host


class FaultKind(StrEnum):
    """The kinds of faults; the values are those of `what` in experiment files."""

    KILL = "kill"  # part, back: gateways crash, and restart after about `back`
    REPLACE = "replace"  # part, over: hosts drain and are replaced by cold ones, one by one within `over`
    HANG = "hang"  # part: hosts accept requests and answer none
    ERROR = "err"  # part: hosts answer immediately with an error
    FULL = "full"  # part: hosts reject every request
    REFUSE = "refuse"  # part: hosts refuse connections
    REFUSE_SOME = "refuse_some"  # part: hosts refuse connections from half of the gateways
    FALSE_REPORT = "lie"  # part: load reports of hosts falsely state that they are idle
    SLOW = "slow"  # part, size: hosts work at `size` of their speed
    ZONE_OUTAGE = "dark"  # zone, cold: its hosts and gateways stop silently, and restart, cold or warm
    ZONE_PARTITION = "cut"  # zone: all messages between it and other zones are lost
    LINK = "link"  # zone, there, size, lose: `there` to `zone` is delayed by `size` s and loses a part `lose`
    COUNTER_SILENT = "counter"  # the quota counter does not answer
    TRAFFIC_SHIFT = "shift"  # part: customers prefer other gateways than before
    SURGE = "surge"  # size: multiplies the load
    ENDPOINT_LIST_DELAY = "list"  # size: additional delay of endpoint list changes
    STALE_REPORTS = "stale"  # zone, size: additional delay of the load reports of its hosts


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """A fault, which begins `at` seconds after the warm-up and lasts for `lasts` seconds.

    `what` is a value of `FaultKind`, which lists the fields that each kind uses.
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
    """One simulation: the fleet, its load and its faults."""

    gateways: int = 200
    zones: tuple[str, ...] = ("a", "b", "c")
    load: float = 0.7  # as a part of the capacity of all hosts
    length: float = 20.0
    warm_up: float = 5.0  # before the measurement
    policy: str = "module"  # or "module:FILE", or a baseline
    start_spread: float = 0.0  # gateways start within this time
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
        """Return the settings of the decision module of gateway `index`."""
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
