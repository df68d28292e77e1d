"""Our own settings file, in people's terms: seconds, addresses, classes, plans, hosts. `deploy/gateway.toml`
has every key at its default.

`read_settings(path)` gives checked Settings or raises InvalidConfigFileError with all that is wrong;
`build_config` makes of them what the gateway is built from.
"""

from __future__ import annotations

import os
import random
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec

from apigateway import messages
from apigateway.config_validation import (
    ConfigReader,
    ConfigSection,
    InvalidConfigFileError,
    KeyPath,
    read_toml,
)
from apigateway.daemon.config import Config
from apigateway.external_ratelimit.settings import AskPart
from apigateway.frontends.grpc.mapping import TAKEN, BadRule, Mapping, Rule
from apigateway.frontends.grpc.settings import RateLimitPart, RulePart
from apigateway.membership.belief import Trust
from apigateway.membership.file import read_hosts
from apigateway.membership.listing import Listing
from apigateway.plugins.settings import HooksPart, PluginPart, RecordsPart
from apigateway.upstream.address import Address, read_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.source import Registry

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Span = Annotated[float, msgspec.Meta(ge=0, le=3600)]  # s; 0 where it is allowed to be none
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Many = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
ACCOUNT = 700  # bytes that the module keeps of a customer (benchmarks/module_cost.py)
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
ASK_FIELDS = ("customer", "plan", "class", "units", "gateway")  # of a request, for ask.entries


class GatewayPart(ConfigSection, frozen=True, kw_only=True):
    name: Name = "gateway-0"
    index: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    gateways: Many = 1
    zone: str = "a"
    seed: Annotated[int, msgspec.Meta(ge=0)] = 0  # 0: drawn at each start


class ListenerPart(ConfigSection, frozen=True, kw_only=True):
    protocol: Literal["resp", "grpc"] = "resp"
    address: str = "127.0.0.1:6379"


class LimitsPart(ConfigSection, frozen=True, kw_only=True):
    memory_mb: Annotated[int, msgspec.Meta(ge=48, le=1_000_000)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=128, le=1_000_000)] = 1024
    max_open: Many = 20_000
    max_customers: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0  # 0: as memory_mb has room for
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 3
    max_units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    cancel: bool = True
    second_copies: bool = False
    retry_after: bool = True
    max_retry_after: Span = 2.0
    connect_timeout: Seconds = 0.25


class RulesPart(ConfigSection, frozen=True, kw_only=True):
    drain_grace: Span = 2.0
    cold_share: Share = 0.15
    cold_time: Span = 17.0
    fall_multiple: Amount = 2.0
    fall_time: Seconds = 2.0


class HostsPart(ConfigSection, frozen=True, kw_only=True):
    source: Literal["file", "discovery", "eureka"] = "file"
    file: str = "hosts.toml"
    discovery: str = ""
    idle_close: Seconds = 30.0
    reports: list[Literal["inflight", "queue", "util", "latency"]] = []
    cross_zone: Share = 0.0


class SitesPart(ConfigSection, frozen=True, kw_only=True):
    leave: list[Name] = []


State = Literal["up", "draining", "gone"]


class StatesPart(ConfigSection, frozen=True, kw_only=True):
    UP: State = "up"
    STARTING: State = "draining"
    DOWN: State = "draining"
    OUT_OF_SERVICE: State = "draining"
    UNKNOWN: State = "draining"


class EurekaPart(ConfigSection, frozen=True, kw_only=True):
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
    states: StatesPart = StatesPart()


class TrustPart(ConfigSection, frozen=True, kw_only=True):
    doubt_share: Share = 0.34
    doubt_time: Span = 30.0
    looks: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    flaps: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    flap_time: Span = 60.0
    calm_time: Span = 10.0


class RegisterPart(ConfigSection, frozen=True, kw_only=True):
    on: bool = False
    app: Name = "GATEWAY"
    id: str = ""
    host_name: str = ""
    ip: str = ""
    vip: str = ""
    renew: Seconds = 10.0
    duration: Seconds = 30.0
    metadata: dict[str, str] = {}


class CounterPart(ConfigSection, frozen=True, kw_only=True):
    address: str = ""
    timeout: Seconds = 0.08
    price: Share = 0.01


class ClassPart(ConfigSection, frozen=True, kw_only=True):
    effect: Literal["safe", "keyed", "unsafe"]
    aim: Seconds
    deadline: Seconds
    worth: Amount = 1.0
    scope: Literal["all", "zone", "cell"] = "all"
    memory: Span = 0.0


class PlanPart(ConfigSection, frozen=True, kw_only=True):
    rate: Amount = 0.0
    burst: Amount = 0.0
    open_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    price: Amount = 1.0
    over_worth: Amount = 0.0
    over_cost: Amount = 0.5
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0


class WorkersPart(ConfigSection, frozen=True, kw_only=True):
    count: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    address: Literal["shared", "own"] = "shared"
    watchdog: Seconds = 10.0
    patience: Seconds = 60.0
    rest: Seconds = 0.2
    most_rest: Seconds = 10.0
    steady: Seconds = 10.0
    crashes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5


class RoutePart(ConfigSection, frozen=True, kw_only=True):
    kinds: Annotated[list[str], msgspec.Meta(min_length=1, max_length=64)]
    fallback: bool = True


class OverloadPart(ConfigSection, frozen=True, kw_only=True):
    on: bool = True
    lag: Annotated[float, msgspec.Meta(ge=0.005, le=10)] = 0.015
    turn: Annotated[float, msgspec.Meta(ge=0.01, le=10)] = 0.2


class DaemonPart(ConfigSection, frozen=True, kw_only=True):
    state: str = ""
    linger: Span = 0.5
    finish: Seconds = 10.0
    handover_wait: Seconds = 15.0
    log_lines: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 5


class Settings(ConfigSection, frozen=True, kw_only=True):
    gateway: GatewayPart = GatewayPart()
    listeners: list[ListenerPart] = msgspec.field(default_factory=lambda: [ListenerPart()])
    limits: LimitsPart = LimitsPart()
    rules: RulesPart = RulesPart()
    hosts: HostsPart = HostsPart()
    sites: SitesPart = SitesPart()
    eureka: EurekaPart = EurekaPart()
    trust: TrustPart = TrustPart()
    register: RegisterPart = RegisterPart()
    counter: CounterPart = CounterPart()
    classes: dict[str, ClassPart] = {}
    plans: dict[str, PlanPart] = {}
    daemon: DaemonPart = DaemonPart()
    workers: WorkersPart = WorkersPart()
    overload: OverloadPart = OverloadPart()
    routes: dict[str, RoutePart] = {}
    plugins: list[PluginPart] = []
    hooks: HooksPart = HooksPart()
    records: RecordsPart = RecordsPart()
    ratelimit: RateLimitPart = RateLimitPart()
    ask: AskPart = AskPart()


# What a reload takes up. All else holds from the next start on, or the next hand-over.
LIVE = (
    "listeners",
    "sites",
    "hosts.source",
    "hosts.file",
    "hosts.discovery",
    "eureka",
    "trust",
    "counter.address",
    "limits.max_open",
    "overload",
    "plugins",
    "hooks",
    "records",
    "ratelimit",
    "ask",
    "daemon.linger",
    "daemon.finish",
    "daemon.handover_wait",
    "daemon.log_lines",
)
# what may be told beside the platform's RELAY_CONFIG
BESIDE = ("listeners", "daemon", "plugins", "hooks", "records")


def read_settings(path: str, beside: bool = False) -> Settings:
    """`beside`: the platform's configuration tells the rest. Raises InvalidConfigFileError."""
    tree = read_toml(path)
    reader = ConfigReader(path)
    if beside:
        for name in [name for name in tree if name in Settings.__struct_fields__ and name not in BESIDE]:
            reader.add_problem(
                (name,), None, "is told by RELAY_CONFIG", f"beside it only {', '.join(BESIDE)} go here"
            )
        tree.setdefault("listeners", [])
    settings = reader.read(tree, Settings)
    if settings is not None:
        check(reader, settings, beside)
    if reader.problems or settings is None:
        raise InvalidConfigFileError(reader.problems)
    return settings


def check(reader: ConfigReader, told: Settings, beside: bool) -> None:
    """What no single key shows."""
    addresses: dict[Address, str] = {}
    for number, listener in enumerate(told.listeners):
        path = ("listeners", number, "address")
        address = check_address(reader, path, listener.address)
        if address is not None and address[1] and address in addresses:
            reader.add_contradiction(
                path, listener.address, f"is also that of {addresses[address]}", "give each its own port"
            )
        elif address is not None:
            addresses[address] = f"listeners[{number}]"
        if beside and listener.protocol != "resp":
            reader.add_problem(
                ("listeners", number, "protocol"),
                listener.protocol,
                "beside RELAY_CONFIG there is nothing to say whose a check is",
                'let it be "resp"',
            )
    if beside:
        return
    for name, what in (
        ("listeners", "one [[listeners]]"),
        ("plans", "[plans.NAME] with rate and burst"),
        ("classes", "[classes.NAME] with effect, aim and deadline"),
    ):
        if not getattr(told, name):
            reader.add_contradiction((name,), None, "none", f"add {what}")
    if told.gateway.index >= told.gateway.gateways:
        reader.add_contradiction(
            ("gateway", "index"),
            told.gateway.index,
            f"of {told.gateway.gateways} gateways",
            "they are numbered from 0",
        )
    if told.gateway.gateways > 1 and not told.counter.address:
        reader.add_contradiction(
            ("counter", "address"),
            told.counter.address,
            "several gateways cannot hold a quota without a counter",
            "name the counter that they share",
        )
    if told.workers.count > 1 and not told.counter.address:
        reader.add_contradiction(
            ("workers", "count"),
            told.workers.count,
            "several workers cannot hold a quota without a counter",
            "name the counter",
        )
    if told.counter.address:
        check_address(reader, ("counter", "address"), told.counter.address)
    if told.hosts.source == "discovery":
        check_address(reader, ("hosts", "discovery"), told.hosts.discovery)
    check_eureka(reader, told)
    if told.limits.max_customers > room_for_customers(told.limits):
        reader.add_contradiction(
            ("limits", "max_customers"),
            told.limits.max_customers,
            f"in limits.memory_mb is room for {room_for_customers(told.limits)}",
            "let it be fewer, or memory_mb more",
        )
    if told.overload.turn < told.overload.lag:
        reader.add_contradiction(
            ("overload", "turn"),
            told.overload.turn,
            f"is shorter than the lag aimed at, {told.overload.lag}",
            "let it be longer",
        )
    for name, cls in told.classes.items():
        check_class(reader, ("classes", name), cls, told.daemon.finish)
    for name, plan in told.plans.items():
        check_plan(reader, ("plans", name), plan, told.limits.max_units)
    check_ratelimit(reader, told)
    check_ask(reader, told)


def check_ratelimit(reader: ConfigReader, told: Settings) -> None:
    part, bad = told.ratelimit, reader.add_contradiction
    serves = [n for n, listener in enumerate(told.listeners) if listener.protocol == "grpc"]
    if serves and not part.rules:
        bad(
            ("listeners", serves[0], "protocol"),
            "grpc",
            "no rule says whose a check is",
            "add [[ratelimit.rules]] with domain, entries, customer, plan and class",
        )
    try:
        compile_ratelimit_rules(part, told.plans, told.classes, told.gateway.gateways)
    except BadRule as err:
        number = err.args[1]
        rule = msgspec.to_builtins(part.rules[number])
        bad(
            ("ratelimit", "rules", number, err.key),
            rule[err.key],
            str(err.args[0]),
            "mend the rule: docs/operate/ratelimit.md",
        )
    for number, rule in enumerate(part.rules):
        if rule.token and not part.token_keys:
            bad(
                ("ratelimit", "rules", number, "token"),
                True,
                "there is no key to sign tokens with",
                "name files with keys in ratelimit.token_keys",
            )
    if bool(part.tls.cert) != bool(part.tls.key):
        what = "key" if part.tls.cert else "cert"
        bad(("ratelimit", "tls", what), "", "a certificate and its key go together", "name both files")
    elif part.tls.client_ca and not part.tls.cert:
        bad(
            ("ratelimit", "tls", "client_ca"),
            part.tls.client_ca,
            "without TLS no client shows a certificate",
            "name cert and key",
        )


def check_ask(reader: ConfigReader, told: Settings) -> None:
    part, bad = told.ask, reader.add_contradiction
    if part.address:
        check_address(reader, ("ask", "address"), part.address)
        if not (part.plans or part.classes):
            bad(("ask", "plans"), None, "nothing is asked about", "name plans or classes")
    for what, known in (("plans", told.plans), ("classes", told.classes)):
        for name in getattr(part, what):
            if name not in known:
                bad(
                    ("ask", what),
                    name,
                    f"there is no such one of [{what}]",
                    f"known: {', '.join(known) or 'none'}",
                )
    for entry in part.entries:
        odd = [name for name in TAKEN.findall(entry.partition("=")[2]) if name not in ASK_FIELDS]
        if odd:
            bad(
                ("ask", "entries"),
                entry,
                f"{{{odd[0]}}} is nothing of a request",
                f"known: {', '.join(ASK_FIELDS)}",
            )
    if part.most_rest < part.rest:
        bad(("ask", "most_rest"), part.most_rest, f"is shorter than rest = {part.rest}", "let it be longer")
    if not part.tls.on and (part.tls.ca or part.tls.cert or part.tls.key or part.tls.name):
        bad(("ask", "tls", "on"), False, "the other keys of ask.tls are for nothing", "set on = true")
    elif bool(part.tls.cert) != bool(part.tls.key):
        what = "key" if part.tls.cert else "cert"
        bad(("ask", "tls", what), "", "a certificate and its key go together", "name both files")


def compile_ratelimit_rules(
    part: RateLimitPart, plans: Iterable[str], classes: Iterable[str], gateways: int, span: int = 1
) -> Mapping:
    """The rules, compiled. `span`: gateways that clients, and so the rules, know as one. Raises BadRule."""

    def rule(told: RulePart) -> Rule:
        return Rule(
            told.domain,
            tuple(told.entries),
            told.customer,
            told.plan,
            told.cls,
            told.units,
            told.first * span,
            told.spread * span or gateways,
            told.named,
            told.token,
        )

    return Mapping([rule(told) for told in part.rules], plans, classes, gateways)


def room_for_customers(limits: LimitsPart) -> int:
    """Half of what is left of the memory when the program has had its own; bodies have the other half."""
    return (limits.memory_mb - 40) * 1024 * 1024 // 2 // ACCOUNT


def check_address(reader: ConfigReader, path: KeyPath, text: str) -> Address | None:
    try:
        return read_address(text)
    except ValueError:
        reader.add_contradiction(
            path, text, "is no address", "write it as HOST:PORT, an IPv6 host in brackets"
        )
        return None


def check_eureka(reader: ConfigReader, told: Settings) -> None:
    if (told.hosts.source == "eureka" or told.register.on) and not told.eureka.urls:
        reader.add_contradiction(
            ("eureka", "urls"), None, "no registry to ask", 'add urls = ["http://HOST:PORT/eureka"]'
        )
    if told.eureka.by != "apps" and not told.eureka.name:
        reader.add_contradiction(
            ("eureka", "name"),
            told.eureka.name,
            f"no name of the {told.eureka.by}",
            "name it, or ask by apps",
        )
    if told.register.on and not told.register.ip:
        reader.add_contradiction(
            ("register", "ip"), told.register.ip, "no address at which others reach this gateway", "name it"
        )
    if told.register.renew * 2 > told.register.duration:
        reader.add_contradiction(
            ("register", "duration"),
            told.register.duration,
            f"one lost renewal (every {told.register.renew} s) may end it",
            "let it be twice as long as renew, or more",
        )


def check_class(reader: ConfigReader, at: KeyPath, cls: ClassPart, finish: float) -> None:
    bad = reader.add_contradiction
    if cls.aim > cls.deadline:
        bad((*at, "aim"), cls.aim, f"is after the deadline of {cls.deadline}", "aim at or before it")
    elif cls.deadline > finish:
        bad(
            (*at, "deadline"),
            cls.deadline,
            f"is longer than daemon.finish = {finish}: a stop would fail what it has taken",
            "let daemon.finish be as long as the longest deadline",
        )
    elif cls.effect == "keyed" and not cls.memory:
        bad(
            (*at, "memory"),
            cls.memory,
            "a keyed class whose repeats nobody drops",
            "say for how long hosts drop a repeat, or make it unsafe",
        )
    elif cls.effect != "keyed" and cls.memory:
        bad(
            (*at, "memory"),
            cls.memory,
            f"a class that is {cls.effect} has no repeats to drop",
            "leave it out, or make it keyed",
        )
    elif cls.effect != "keyed" and cls.scope != "all":
        bad((*at, "scope"), cls.scope, f"a class that is {cls.effect} has no scope", "leave it out")


def check_plan(reader: ConfigReader, at: KeyPath, plan: PlanPart, most_units: float) -> None:
    bad = reader.add_contradiction
    if plan.rate and plan.burst < most_units:
        bad(
            (*at, "burst"),
            plan.burst,
            f"the largest request ({most_units} units) never fits",
            "a rate needs a burst of at least limits.max_units",
        )
    elif plan.ceiling_rate and plan.ceiling_rate < plan.rate:
        bad(
            (*at, "ceiling_rate"),
            plan.ceiling_rate,
            f"lies under the quota's rate of {plan.rate}",
            "a ceiling lies at or over the quota",
        )
    elif plan.ceiling_rate and plan.ceiling_burst < plan.burst:
        bad(
            (*at, "ceiling_burst"),
            plan.ceiling_burst,
            f"lies under the quota's burst of {plan.burst}",
            "a ceiling lies at or over the quota",
        )
    elif plan.ceiling_burst and not plan.ceiling_rate:
        bad((*at, "ceiling_rate"), plan.ceiling_rate, "a ceiling's burst without its rate", "add the rate")
    elif not (plan.rate or plan.open_limit):
        bad((*at, "rate"), plan.rate, "neither a rate nor a limit of open attempts", "add rate and burst")


# To what the gateway is built from


def build_config(path: str, told: Settings, span: int = 1) -> Config:
    """Reads the file of hosts too, if they come from one. `span`: gateways that clients know as one. Raises
    InvalidConfigFileError."""
    known, file = Listing(messages.EndpointList("cached", 0, ()), {}), None
    if told.hosts.source == "file":
        file = os.path.join(os.path.dirname(os.path.abspath(path)), told.hosts.file)
        known = read_hosts(file, "cached")
    listeners = [read_address(listener.address) for listener in told.listeners]
    registry, own = to_registry(told), None
    if told.register.on:
        from apigateway.membership.eureka.registration import Own

        part, port = told.register, listeners[0][1]
        own = Own(
            part.app,
            part.id or f"{told.gateway.name}:{port}",
            part.host_name or part.ip,
            part.ip,
            port,
            part.vip,
            part.renew,
            part.duration,
            part.metadata,
        )
    return Config(
        grpc=frozenset(read_address(one.address) for one in told.listeners if one.protocol == "grpc"),
        registry=registry,
        own=own,
        trust=Trust(**msgspec.to_builtins(told.trust)),
        name=told.gateway.name,
        listen=listeners[0],
        more=tuple(listeners[1:]),
        discovery=read_address(told.hosts.discovery) if told.hosts.source == "discovery" else None,
        hosts_file=file,
        counter=read_address(told.counter.address) if told.counter.address else None,
        seed=told.gateway.seed or random.SystemRandom().getrandbits(63),
        memory=told.limits.memory_mb * 1024 * 1024,
        sockets=told.limits.sockets,
        known=known,
        settings=build_module_settings(told),
        connect_timeout=told.limits.connect_timeout,
        idle_close=told.hosts.idle_close,
        max_open=told.limits.max_open,
        linger=told.daemon.linger,
        finish=told.daemon.finish,
        span=span,
        leave=tuple(told.sites.leave),
        overload=(told.overload.lag, told.overload.turn) if told.overload.on else None,
    )


def to_registry(told: Settings) -> Registry | None:
    if told.hosts.source != "eureka" and not told.register.on:
        return None
    from apigateway.membership.eureka.mapping import Terms
    from apigateway.membership.eureka.source import Registry

    part = told.eureka
    terms = Terms(
        part.zone_key,
        part.cell_key,
        part.kind_key,
        part.weight_key,
        part.default_zone,
        part.address,
        part.secure,
        msgspec.to_builtins(part.states),
    )
    return Registry(
        tuple(part.urls),
        part.by,
        part.name,
        part.form,
        part.poll,
        part.timeout,
        part.max_answer_mb * 1024 * 1024,
        part.user,
        part.password,
        part.delta,
        terms,
        Trust(**msgspec.to_builtins(told.trust)),
    )


def build_module_settings(told: Settings) -> messages.Settings:
    """What the decision module is told."""
    limits, rules = told.limits, told.rules
    return messages.Settings(
        gateway_index=told.gateway.index,
        gateway_count=told.gateway.gateways,
        zone=told.gateway.zone,
        classes={
            name: messages.ServiceClass(
                name, c.aim, c.deadline, c.effect, c.scope, c.memory, c.worth, 0.0, False, 0.0
            )
            for name, c in told.classes.items()
        },
        plans={
            name: messages.Plan(
                name,
                p.rate,
                p.burst,
                p.open_limit,
                p.price,
                p.over_worth,
                p.over_cost,
                p.ceiling_rate,
                p.ceiling_burst,
                p.ceiling_slack,
            )
            for name, p in told.plans.items()
        },
        limits=messages.Limits(
            limits.cancel,
            limits.second_copies,
            False,
            False,
            limits.retry_after,
            limits.max_attempts,
            limits.max_retry_after,
            limits.connect_timeout,
        ),
        rules=messages.Rules(
            0.0,
            rules.drain_grace,
            rules.cold_share,
            rules.cold_time,
            rules.fall_multiple,
            rules.fall_time,
            0.0,
        ),
        prices={"cross_zone": told.hosts.cross_zone},
        has_counter=bool(told.counter.address),
        counter_price=told.counter.price,
        counter_timeout=told.counter.timeout,
        meter_period=0.0,
        settles_units=False,
        max_units=limits.max_units,
        discovery_mode="push",
        load_report_fields=tuple(told.hosts.reports),
        weight_meaning="none",
        max_customers=limits.max_customers or room_for_customers(limits),
        routes={name: messages.Route(name, tuple(r.kinds), r.fallback) for name, r in told.routes.items()},
    )


# A reload


def compare_settings(old: Settings, new: Settings) -> tuple[list[str], list[str]]:
    """The keys whose values differ: those that a reload takes up, and those that need a restart."""
    keys = sorted(key for key, _ in differences(msgspec.to_builtins(old), msgspec.to_builtins(new), ""))
    names = reloadable_keys(old, new)
    live = [key for key in keys if any(key == name or key.startswith(name + ".") for name in names)]
    return live, [key for key in keys if key not in live]


def reloadable_keys(old: Settings, new: Settings) -> list[str]:
    """LIVE, but that a counter comes or goes by a restart only: the decision module is built with or
    without."""
    moved = bool(old.counter.address) == bool(new.counter.address)
    return [key for key in LIVE if moved or key != "counter.address"]


def differences(old: Any, new: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in old.keys() | new.keys():
            yield from differences(old.get(name), new.get(name), f"{path}.{name}" if path else name)
    elif old != new:
        yield path, new
