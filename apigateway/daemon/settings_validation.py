"""Check what no single key of the settings file shows: contradictions between keys, and addresses.

The tables of rate limit services are checked in settings_validation_grpc.py.
"""

from __future__ import annotations

from apigateway.config_validation import ConfigReader, KeyPath
from apigateway.daemon.settings_schema import (
    ClassSection,
    PlanSection,
    Settings,
    customer_capacity,
)
from apigateway.daemon.settings_validation_address import check_address
from apigateway.daemon.settings_validation_grpc import check_external_ratelimit, check_ratelimit
from apigateway.upstream.address import Address

# Tables without which nothing can be served, and what to add.
REQUIRED_TABLES = {
    "listeners": "one [[listeners]]",
    "plans": "[plans.NAME] with rate and burst",
    "classes": "[classes.NAME] with effect, aim and deadline",
}


def check_settings(reader: ConfigReader, settings: Settings, beside_platform: bool) -> None:
    """Add every contradiction in the settings to the reader's problems.

    Args:
        reader: Collects the problems.
        settings: As read, with defaults in place of values that are wrong by themselves.
        beside_platform: The platform's configuration has all but the listeners and the process's own.
    """
    _check_listeners(reader, settings, beside_platform)
    if beside_platform:
        return
    for name, remedy in REQUIRED_TABLES.items():
        if not getattr(settings, name):
            reader.add_semantic_problem((name,), None, "none", f"add {remedy}")
    _check_counter(reader, settings)
    if settings.hosts.source == "discovery":
        check_address(reader, ("hosts", "discovery"), settings.hosts.discovery)
    _check_eureka(reader, settings)
    _check_limits(reader, settings)
    for name, service_class in settings.classes.items():
        _check_class(reader, ("classes", name), service_class, settings.daemon.finish)
    for name, plan in settings.plans.items():
        _check_plan(reader, ("plans", name), plan, settings.limits.max_units)
    check_ratelimit(reader, settings)
    check_external_ratelimit(reader, settings)


def _check_listeners(reader: ConfigReader, settings: Settings, beside_platform: bool) -> None:
    keys_by_address: dict[Address, str] = {}
    for number, listener in enumerate(settings.listeners):
        path: KeyPath = ("listeners", number, "address")
        address = check_address(reader, path, listener.address)
        if address is not None and address[1] and address in keys_by_address:
            reader.add_semantic_problem(
                path,
                listener.address,
                f"is also that of {keys_by_address[address]}",
                "give each its own port",
            )
        elif address is not None:
            keys_by_address[address] = f"listeners[{number}]"
        if beside_platform and listener.protocol != "resp":
            reader.add_problem(
                ("listeners", number, "protocol"),
                listener.protocol,
                "beside RELAY_CONFIG there is nothing to say whose a check is",
                'let it be "resp"',
            )


def _check_counter(reader: ConfigReader, settings: Settings) -> None:
    if settings.gateway.index >= settings.gateway.gateways:
        reader.add_semantic_problem(
            ("gateway", "index"),
            settings.gateway.index,
            f"of {settings.gateway.gateways} gateways",
            "they are numbered from 0",
        )
    if settings.gateway.gateways > 1 and not settings.counter.address:
        reader.add_semantic_problem(
            ("counter", "address"),
            settings.counter.address,
            "several gateways cannot hold a quota without a counter",
            "name the counter that they share",
        )
    if settings.workers.count > 1 and not settings.counter.address:
        reader.add_semantic_problem(
            ("workers", "count"),
            settings.workers.count,
            "several workers cannot hold a quota without a counter",
            "name the counter",
        )
    if settings.counter.address:
        check_address(reader, ("counter", "address"), settings.counter.address)


def _check_limits(reader: ConfigReader, settings: Settings) -> None:
    if settings.limits.max_customers > customer_capacity(settings.limits):
        reader.add_semantic_problem(
            ("limits", "max_customers"),
            settings.limits.max_customers,
            f"in limits.memory_mb is room for {customer_capacity(settings.limits)}",
            "let it be fewer, or memory_mb more",
        )
    if settings.overload.turn < settings.overload.lag:
        reader.add_semantic_problem(
            ("overload", "turn"),
            settings.overload.turn,
            f"is shorter than the lag aimed at, {settings.overload.lag}",
            "let it be longer",
        )


def _check_eureka(reader: ConfigReader, settings: Settings) -> None:
    if (settings.hosts.source == "eureka" or settings.register.on) and not settings.eureka.urls:
        reader.add_semantic_problem(
            ("eureka", "urls"), None, "no registry to ask", 'add urls = ["http://HOST:PORT/eureka"]'
        )
    if settings.eureka.by != "apps" and not settings.eureka.name:
        reader.add_semantic_problem(
            ("eureka", "name"),
            settings.eureka.name,
            f"no name of the {settings.eureka.by}",
            "name it, or ask by apps",
        )
    if settings.register.on and not settings.register.ip:
        reader.add_semantic_problem(
            ("register", "ip"),
            settings.register.ip,
            "no address at which others reach this gateway",
            "name it",
        )
    if settings.register.renew * 2 > settings.register.duration:
        reader.add_semantic_problem(
            ("register", "duration"),
            settings.register.duration,
            f"one lost renewal (every {settings.register.renew} s) may end it",
            "let it be twice as long as renew, or more",
        )


def _check_class(reader: ConfigReader, path: KeyPath, service_class: ClassSection, finish_s: float) -> None:
    if service_class.aim > service_class.deadline:
        reader.add_semantic_problem(
            (*path, "aim"),
            service_class.aim,
            f"is after the deadline of {service_class.deadline}",
            "aim at or before it",
        )
    elif service_class.deadline > finish_s:
        reader.add_semantic_problem(
            (*path, "deadline"),
            service_class.deadline,
            f"is longer than daemon.finish = {finish_s}: a stop would fail what it has taken",
            "let daemon.finish be as long as the longest deadline",
        )
    elif service_class.effect == "keyed" and not service_class.memory:
        reader.add_semantic_problem(
            (*path, "memory"),
            service_class.memory,
            "a keyed class whose repeats nobody drops",
            "say for how long hosts drop a repeat, or make it unsafe",
        )
    elif service_class.effect != "keyed" and service_class.memory:
        reader.add_semantic_problem(
            (*path, "memory"),
            service_class.memory,
            f"a class that is {service_class.effect} has no repeats to drop",
            "leave it out, or make it keyed",
        )
    elif service_class.effect != "keyed" and service_class.scope != "all":
        reader.add_semantic_problem(
            (*path, "scope"),
            service_class.scope,
            f"a class that is {service_class.effect} has no scope",
            "leave it out",
        )


def _check_plan(reader: ConfigReader, path: KeyPath, plan: PlanSection, max_units: float) -> None:
    if plan.rate and plan.burst < max_units:
        reader.add_semantic_problem(
            (*path, "burst"),
            plan.burst,
            f"the largest request ({max_units} units) never fits",
            "a rate needs a burst of at least limits.max_units",
        )
    elif plan.ceiling_rate and plan.ceiling_rate < plan.rate:
        reader.add_semantic_problem(
            (*path, "ceiling_rate"),
            plan.ceiling_rate,
            f"lies under the quota's rate of {plan.rate}",
            "a ceiling lies at or over the quota",
        )
    elif plan.ceiling_rate and plan.ceiling_burst < plan.burst:
        reader.add_semantic_problem(
            (*path, "ceiling_burst"),
            plan.ceiling_burst,
            f"lies under the quota's burst of {plan.burst}",
            "a ceiling lies at or over the quota",
        )
    elif plan.ceiling_burst and not plan.ceiling_rate:
        reader.add_semantic_problem(
            (*path, "ceiling_rate"), plan.ceiling_rate, "a ceiling's burst without its rate", "add the rate"
        )
    elif not (plan.rate or plan.open_limit):
        reader.add_semantic_problem(
            (*path, "rate"), plan.rate, "neither a rate nor a limit of open attempts", "add rate and burst"
        )
