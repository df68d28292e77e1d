"""What a play is made of, as plain data: times in seconds, rates a second."""

from __future__ import annotations

from dataclasses import dataclass, field

from apigateway import messages
from apigateway.simulation.network import Distances

READ = messages.ServiceClass("read", 2.0, 5.0, "safe", "all", 0.0, 1.0, 0.0, False, 0.0)
UPDATE = messages.ServiceClass("update", 2.5, 6.0, "keyed", "cell", 6.0, 5.0, 0.0, False, 0.0)
NOTICE = messages.ServiceClass("notice", 1.5, 5.0, "unsafe", "all", 0.0, 3.0, 0.0, False, 0.0)
FREE = messages.Plan("free", 0.0, 0.0, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)  # no quota


@dataclass(frozen=True, slots=True)
class Work:
    """Requests of a class: `share` of all, work drawn from an exponential around `mean` core seconds."""

    cls: messages.ServiceClass = READ
    share: float = 1.0
    mean: float = 0.2


@dataclass(frozen=True, slots=True)
class Machines:
    """The hosts. A host works on `slots` requests at once, each on a core or on its part of the cores;
    `queue` more wait; what comes then is turned away."""

    count: int = 50
    cores: float = 4.0
    slots: int = 12
    queue: int = 48
    speed_cv: float = 0.1  # hosts are unlike each other by so much
    big: float = 0.0  # part of the hosts that have twice the cores, which their weight tells where `weights`
    weights: bool = False
    thrash: float = 0.1  # part of its speed that a host with all slots taken has lost
    report_period: float = 0.5
    report_delay: float = 0.1
    reports: tuple[str, ...] = ("queue", "util")
    handshake: float = 0.001  # core seconds of a new connection
    handshake_trips: float = 2.0  # ways there and back before the first request goes
    idle_close: float = 30.0


@dataclass(frozen=True, slots=True)
class Customers:
    """Who asks. Those of a plan make up its `share` of the load; `heavy` of them ask for `heavy_times` their
    quota, the others for `calm` of it, in the mean."""

    plans: tuple[messages.Plan, ...] = (FREE,)
    shares: tuple[float, ...] = (1.0,)
    count: int = 400  # of a plan without a quota
    spread: tuple[float, float] = (0.5, 1.0)  # gateways that one comes through, of all
    calm: float = 0.35
    heavy: float = 0.0
    heavy_times: float = 3.0
    skew: float = 0.7  # of a customer's traffic over its gateways; 0: even
    shift: float = 15.0  # its busiest ones change every so often
    gateway_skew: float = 0.5  # of traffic over gateways, whoever asks
    busiest: float = 6.0  # times the mean of one gateway in fifty
    retries: int = 1
    wait: float = 0.3  # before a retry
    honour: float = 0.7  # part that waits as long as a refusal tells
    patience: float = 0.75  # of a class's deadline
    notice: float = 2.0  # a dead gateway goes on being asked for


@dataclass(frozen=True, slots=True)
class CounterSettings:
    on: bool = True
    parts: int = 2
    capacity: float = 700.0  # calls a second, over all parts
    call: float = 0.001
    timeout: float = 0.08


@dataclass(frozen=True, slots=True)
class Listing:
    """How each gateway hears of hosts: so late at least, and up to so much later."""

    late: float = 0.5
    spread: float = 1.5
    miss: float = 0.0  # part of the changes that a gateway never hears, until the next


@dataclass(frozen=True, slots=True)
class Fault:
    """At `at` seconds from the end of the warm-up, for `lasts`. `what`, with the fields that it uses:

    kill (part, back): gateways die, and come back after about `back`.
    replace (part, over): hosts drain and cold ones take their places, one after another within `over`.
    hang, err, full, refuse (part): hosts take and answer nothing, err at once, turn away, refuse connections.
    refuse_some (part): hosts refuse half of the gateways.
    lie, slow (part, size): hosts report that they are empty; work at `size` of their speed.
    dark (zone, cold): its hosts and gateways are gone, say nothing, and come back, cold or as they were.
    cut (zone): it is cut off from all others, both ways.
    link (zone, there, size, lose): messages from `there` to `zone` take `size` s more, a part is lost.
    counter: it says nothing. list (size): changes are heard so much later. stale (zone, size): what its
    hosts report is so much older.
    shift (part): customers come by others of their gateways. surge (size): so many times the load.
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
    there: str = "*"
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    gateways: int = 200
    zones: tuple[str, ...] = ("a", "b", "c")
    load: float = 0.7  # of what all hosts can do
    length: float = 20.0
    warm_up: float = 5.0  # not counted
    policy: str = "module"
    start_spread: float = 0.0  # gateways start within this
    works: tuple[Work, ...] = (Work(READ, 0.41, 0.2), Work(UPDATE, 0.40, 0.3), Work(NOTICE, 0.19, 0.2))
    machines: Machines = field(default_factory=Machines)
    customers: Customers = field(default_factory=Customers)
    counting: CounterSettings = field(default_factory=CounterSettings)
    listing: Listing = field(default_factory=Listing)
    distances: Distances = field(default_factory=Distances)
    faults: tuple[Fault, ...] = ()
    probes: bool = True
    retry_after: bool = False
    max_attempts: int = 6
    rules: messages.Rules = messages.Rules(0.01, 2.0, 0.15, 17.0, 2.0, 2.0, 0.0)

    def settings(self, index: int) -> messages.Settings:
        """What gateway `index` is told."""
        m = self.machines
        return messages.Settings(
            gateway_index=index,
            gateway_count=self.gateways,
            zone=self.zones[index % len(self.zones)],
            classes={w.cls.name: w.cls for w in self.works},
            plans={p.name: p for p in self.customers.plans},
            limits=messages.Limits(True, False, self.probes, False, self.retry_after, self.max_attempts, 2.0),
            rules=self.rules,
            prices={"cross_zone": 0.005, "probe": 0.01},
            has_counter=self.counting.on,
            counter_price=0.01,
            counter_timeout=self.counting.timeout,
            meter_period=0.0,
            settles_units=False,
            max_units=1.0,
            discovery_mode="push",
            load_report_fields=m.reports,
            weight_meaning="nominal" if m.weights else "none",
        )
