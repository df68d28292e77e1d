"""Define the tables of the settings file; `deploy/gateway.toml` lists every key with its default.

Durations are in seconds unless the key has another unit. The type and range of each single value are checked
here; settings_validation.py checks keys against each other.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigSection
from apigateway.external_ratelimit.settings import ExternalRateLimitSection
from apigateway.frontends.grpc.settings import RateLimitSection
from apigateway.plugins.settings import HooksSection, PluginSection, RecordsSection

# Memory that the decision module uses per customer (benchmarks/module_cost.py).
BYTES_PER_CUSTOMER = 700
# Memory of the program before it serves any customer.
PROGRAM_MEMORY_MIB = 40

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
SecondsOrZero = Annotated[float, msgspec.Meta(ge=0, le=3600)]  # 0 means none
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
EndpointState = Literal["up", "draining", "gone"]


class GatewaySection(ConfigSection, frozen=True, kw_only=True):
    """This gateway's identity within the installation."""

    name: Name = "gateway-0"
    index: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    gateways: PositiveCount = 1
    zone: str = "a"
    seed: Annotated[int, msgspec.Meta(ge=0)] = 0  # 0: chosen at random at each start


class ListenerSection(ConfigSection, frozen=True, kw_only=True):
    """An address at which clients connect."""

    protocol: Literal["resp", "grpc"] = "resp"
    address: str = "127.0.0.1:6379"


class LimitsSection(ConfigSection, frozen=True, kw_only=True):
    """Limits on memory, sockets and attempts."""

    memory_mb: Annotated[int, msgspec.Meta(ge=48, le=1_000_000)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=128, le=1_000_000)] = 1024
    max_open: PositiveCount = 20_000
    max_customers: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0  # 0: as many as fit in memory_mb
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    max_units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    cancel: bool = True
    second_copies: bool = False
    retry_after: bool = True
    max_retry_after: SecondsOrZero = 2.0
    connect_timeout: Seconds = 0.25


class RulesSection(ConfigSection, frozen=True, kw_only=True):
    """Draining, slow start and overload of endpoints."""

    drain_grace: SecondsOrZero = 2.0
    cold_share: Fraction = 0.15
    cold_time: SecondsOrZero = 17.0
    fall_multiple: NonNegativeNumber = 2.0
    fall_time: Seconds = 2.0


class HostsSection(ConfigSection, frozen=True, kw_only=True):
    """Where the endpoint list comes from."""

    source: Literal["file", "discovery", "eureka"] = "file"
    file: str = "hosts.toml"
    discovery: str = ""
    idle_close: Seconds = 30.0
    reports: list[Literal["inflight", "queue", "util", "latency"]] = []
    cross_zone: Fraction = 0.0


class SitesSection(ConfigSection, frozen=True, kw_only=True):
    """Zones that get no new requests."""

    leave: list[Name] = []


class StatesSection(ConfigSection, frozen=True, kw_only=True):
    """The endpoint state that each of the registry's states maps to."""

    UP: EndpointState = "up"
    STARTING: EndpointState = "draining"
    DOWN: EndpointState = "draining"
    OUT_OF_SERVICE: EndpointState = "draining"
    UNKNOWN: EndpointState = "draining"


class EurekaSection(ConfigSection, frozen=True, kw_only=True):
    """Access to the Eureka registry, and the mapping of its instances to endpoints."""

    urls: list[Annotated[str, msgspec.Meta(pattern=r"^https?://[^@\s]+$")]] = []
    by: Literal["apps", "app", "vip", "svip"] = "apps"
    name: str = ""
    form: Literal["json", "xml"] = "json"
    delta: bool = True
    poll: Seconds = 5.0
    timeout: Seconds = 2.0
    max_answer_mb: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 32
    user: str = ""
    password: str = ""
    address: Literal["ip", "name"] = "ip"
    secure: bool = False
    zone_key: str = "zone"
    cell_key: str = "cell"
    kind_key: str = "kind"
    weight_key: str = "weight"
    default_zone: str = "a"
    states: StatesSection = StatesSection()


class TrustSection(ConfigSection, frozen=True, kw_only=True):
    """Limits on how much of a changed endpoint list is accepted immediately."""

    doubt_share: Fraction = 0.34
    doubt_time: SecondsOrZero = 30.0
    looks: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    flaps: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    flap_time: SecondsOrZero = 60.0
    calm_time: SecondsOrZero = 10.0


class RegisterSection(ConfigSection, frozen=True, kw_only=True):
    """How this gateway registers itself with Eureka."""

    on: bool = False
    app: Name = "GATEWAY"
    id: str = ""
    host_name: str = ""
    ip: str = ""
    vip: str = ""
    renew: Seconds = 10.0
    duration: Seconds = 30.0
    metadata: dict[str, str] = {}


class CounterSection(ConfigSection, frozen=True, kw_only=True):
    """The shared quota counter."""

    address: str = ""
    timeout: Seconds = 0.08
    price: Fraction = 0.01


class ClassSection(ConfigSection, frozen=True, kw_only=True):
    """A service class: how its requests may be retried, and by when they are answered."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Seconds
    deadline: Seconds
    worth: NonNegativeNumber = 1.0
    scope: Literal["all", "zone", "cell"] = "all"
    memory: SecondsOrZero = 0.0


class PlanSection(ConfigSection, frozen=True, kw_only=True):
    """A plan: quota and ceiling of its customers."""

    rate: NonNegativeNumber = 0.0
    burst: NonNegativeNumber = 0.0
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    price: NonNegativeNumber = 1.0
    over_worth: NonNegativeNumber = 0.0
    over_cost: NonNegativeNumber = 0.5
    ceiling_rate: NonNegativeNumber = 0.0
    ceiling_burst: NonNegativeNumber = 0.0
    ceiling_slack: NonNegativeNumber = 0.0


class WorkersSection(ConfigSection, frozen=True, kw_only=True):
    """Worker processes and their restarts."""

    count: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    address: Literal["shared", "own"] = "shared"
    watchdog: Seconds = 10.0
    patience: Seconds = 60.0
    rest: Seconds = 0.2
    most_rest: Seconds = 10.0
    steady: Seconds = 10.0
    crashes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5


class RouteSection(ConfigSection, frozen=True, kw_only=True):
    """A route: the kinds of endpoints that serve its requests."""

    kinds: Annotated[list[str], msgspec.Meta(min_length=1, max_length=64)]
    fallback: bool = True


class OverloadSection(ConfigSection, frozen=True, kw_only=True):
    """Load shedding when the event loop lags."""

    on: bool = True
    lag: Annotated[float, msgspec.Meta(ge=0.005, le=10)] = 0.015
    turn: Annotated[float, msgspec.Meta(ge=0.01, le=10)] = 0.2


class DaemonSection(ConfigSection, frozen=True, kw_only=True):
    """Process settings: state folder, shutdown, hand-over and log."""

    state: str = ""
    linger: SecondsOrZero = 0.5
    finish: Seconds = 10.0
    handover_wait: Seconds = 15.0
    log_lines: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 5


class Settings(ConfigSection, frozen=True, kw_only=True):
    """All tables of the file."""

    gateway: GatewaySection = GatewaySection()
    listeners: list[ListenerSection] = msgspec.field(default_factory=lambda: [ListenerSection()])
    limits: LimitsSection = LimitsSection()
    rules: RulesSection = RulesSection()
    hosts: HostsSection = HostsSection()
    sites: SitesSection = SitesSection()
    eureka: EurekaSection = EurekaSection()
    trust: TrustSection = TrustSection()
    register: RegisterSection = RegisterSection()
    counter: CounterSection = CounterSection()
    classes: dict[str, ClassSection] = {}
    plans: dict[str, PlanSection] = {}
    daemon: DaemonSection = DaemonSection()
    workers: WorkersSection = WorkersSection()
    overload: OverloadSection = OverloadSection()
    routes: dict[str, RouteSection] = {}
    plugins: list[PluginSection] = []
    hooks: HooksSection = HooksSection()
    records: RecordsSection = RecordsSection()
    ratelimit: RateLimitSection = RateLimitSection()
    ask: ExternalRateLimitSection = ExternalRateLimitSection()


def customer_capacity(limits: LimitsSection) -> int:
    """Return how many customers fit into memory.

    Customers may use half of the memory that the program leaves; the other half is for request bodies.
    """
    free_bytes = (limits.memory_mb - PROGRAM_MEMORY_MIB) * 1024 * 1024
    return free_bytes // 2 // BYTES_PER_CUSTOMER
