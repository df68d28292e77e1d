"""Define the tables of the settings file, `deploy/gateway.toml`, which has every key at its default.

Durations are in seconds unless the key says otherwise. Only what one value shows is checked here, by its type
and range; settings_validation.py compares keys.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigSection
from apigateway.external_ratelimit.settings import ExternalRateLimitSection
from apigateway.frontends.grpc.settings import RateLimitSection
from apigateway.plugins.settings import HooksSection, PluginSection, RecordsSection

# Bytes that the decision module keeps of a customer (benchmarks/module_cost.py).
BYTES_PER_CUSTOMER = 700
# MiB that the program takes before it serves anyone.
PROGRAM_MEMORY_MB = 40

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
SecondsOrNone = Annotated[float, msgspec.Meta(ge=0, le=3600)]  # 0: there is none
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
EndpointState = Literal["up", "draining", "gone"]


class GatewaySection(ConfigSection, frozen=True, kw_only=True):
    """This gateway among all of the installation."""

    name: Name = "gateway-0"
    index: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    gateways: PositiveCount = 1
    zone: str = "a"
    seed: Annotated[int, msgspec.Meta(ge=0)] = 0  # 0: drawn at each start


class ListenerSection(ConfigSection, frozen=True, kw_only=True):
    """An address at which clients connect."""

    protocol: Literal["resp", "grpc"] = "resp"
    address: str = "127.0.0.1:6379"


class LimitsSection(ConfigSection, frozen=True, kw_only=True):
    """Bounds of memory, sockets and attempts."""

    memory_mb: Annotated[int, msgspec.Meta(ge=48, le=1_000_000)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=128, le=1_000_000)] = 1024
    max_open: PositiveCount = 20_000
    max_customers: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0  # 0: as memory_mb has room for
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    max_units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    cancel: bool = True
    second_copies: bool = False
    retry_after: bool = True
    max_retry_after: SecondsOrNone = 2.0
    connect_timeout: Seconds = 0.25


class RulesSection(ConfigSection, frozen=True, kw_only=True):
    """How endpoints are drained and warmed up, and how load shedding falls off."""

    drain_grace: SecondsOrNone = 2.0
    cold_share: Fraction = 0.15
    cold_time: SecondsOrNone = 17.0
    fall_multiple: Amount = 2.0
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
    """What the registry's states mean here."""

    UP: EndpointState = "up"
    STARTING: EndpointState = "draining"
    DOWN: EndpointState = "draining"
    OUT_OF_SERVICE: EndpointState = "draining"
    UNKNOWN: EndpointState = "draining"


class EurekaSection(ConfigSection, frozen=True, kw_only=True):
    """The Eureka registry to ask."""

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
    """How much of a changed endpoint list is accepted at once."""

    doubt_share: Fraction = 0.34
    doubt_time: SecondsOrNone = 30.0
    looks: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    flaps: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    flap_time: SecondsOrNone = 60.0
    calm_time: SecondsOrNone = 10.0


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
    """A service class: the kinds of requests that are handled alike."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Seconds
    deadline: Seconds
    worth: Amount = 1.0
    scope: Literal["all", "zone", "cell"] = "all"
    memory: SecondsOrNone = 0.0


class PlanSection(ConfigSection, frozen=True, kw_only=True):
    """A customers' plan: its quota and ceiling."""

    rate: Amount = 0.0
    burst: Amount = 0.0
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    price: Amount = 1.0
    over_worth: Amount = 0.0
    over_cost: Amount = 0.5
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0


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
    """A route: which kinds of endpoints serve it."""

    kinds: Annotated[list[str], msgspec.Meta(min_length=1, max_length=64)]
    fallback: bool = True


class OverloadSection(ConfigSection, frozen=True, kw_only=True):
    """Load shedding by the lag of the event loop."""

    on: bool = True
    lag: Annotated[float, msgspec.Meta(ge=0.005, le=10)] = 0.015
    turn: Annotated[float, msgspec.Meta(ge=0.01, le=10)] = 0.2


class DaemonSection(ConfigSection, frozen=True, kw_only=True):
    """The process: state folder, shutdown, hand-over, log."""

    state: str = ""
    linger: SecondsOrNone = 0.5
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

    They may use half of what the program leaves free; request bodies have the other half.
    """
    free_bytes = (limits.memory_mb - PROGRAM_MEMORY_MB) * 1024 * 1024
    return free_bytes // 2 // BYTES_PER_CUSTOMER
