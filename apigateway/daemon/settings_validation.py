"""Check the settings file for contradictions between keys, and for invalid addresses.

The tables of the rate limit services are checked in settings_validation_grpc.py.
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

# Tables without which nothing can be served, with the text that tells the user what to add.
REQUIRED_TABLES = {
    "listeners": "one [[listeners]]",
    "plans": "[plans.NAME] with rate and burst",
    "classes": "[classes.NAME] with effect, aim and deadline",
}


def check_settings(reader: ConfigReader, settings: Settings, with_platform_config: bool) -> None:
    """Add all contradictions in the settings to the reader's problems.

    Args:
        reader: Collects the problems.
        settings: The settings as read, with defaults in place of values that are invalid by themselves.
        with_platform_config: Whether the platform's configuration provides the other settings.
    """
    _check_listeners(reader, settings, with_platform_config)
    if with_platform_config:
        return
    for name, remedy in REQUIRED_TABLES.items():
        if not getattr(settings, name):
            reader.add_semantic_problem((name,), None, "there is none", f"add {remedy}")
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


def _check_listeners(reader: ConfigReader, settings: Settings, with_platform_config: bool) -> None:
    keys_by_address: dict[Address, str] = {}
    for number, listener in enumerate(settings.listeners):
        path: KeyPath = ("listeners", number, "address")
        address = check_address(reader, path, listener.address)
        if address is not None and address[1] and address in keys_by_address:
            reader.add_semantic_problem(
                path,
                listener.address,
                f"is also the address of {keys_by_address[address]}",
                "give each listener its own port",
            )
        elif address is not None:
            keys_by_address[address] = f"listeners[{number}]"
        if with_platform_config and listener.protocol != "resp":
            reader.add_problem(
                ("listeners", number, "protocol"),
                listener.protocol,
                "with RELAY_CONFIG there are no rules to assign checks to customers",
                'set it to "resp"',
            )


def _check_counter(reader: ConfigReader, settings: Settings) -> None:
    if settings.gateway.index >= settings.gateway.gateways:
        reader.add_semantic_problem(
            ("gateway", "index"),
            settings.gateway.index,
            f"is out of range for {settings.gateway.gateways} gateways",
            "gateways are numbered from 0",
        )
    if settings.gateway.gateways > 1 and not settings.counter.address:
        reader.add_semantic_problem(
            ("counter", "address"),
            settings.counter.address,
            "several gateways cannot enforce a quota without a counter",
            "set the address of their shared counter",
        )
    if settings.workers.count > 1 and not settings.counter.address:
        reader.add_semantic_problem(
            ("workers", "count"),
            settings.workers.count,
            "several workers cannot enforce a quota without a counter",
            "set counter.address",
        )
    if settings.counter.address:
        check_address(reader, ("counter", "address"), settings.counter.address)


def _check_limits(reader: ConfigReader, settings: Settings) -> None:
    if settings.limits.max_customers > customer_capacity(settings.limits):
        reader.add_semantic_problem(
            ("limits", "max_customers"),
            settings.limits.max_customers,
            f"exceeds the {customer_capacity(settings.limits)} customers that fit into limits.memory_mb",
            "decrease it, or increase memory_mb",
        )
    if settings.overload.turn < settings.overload.lag:
        reader.add_semantic_problem(
            ("overload", "turn"),
            settings.overload.turn,
            f"is less than overload.lag = {settings.overload.lag}",
            "increase it to at least that",
        )


def _check_eureka(reader: ConfigReader, settings: Settings) -> None:
    if (settings.hosts.source == "eureka" or settings.register.on) and not settings.eureka.urls:
        reader.add_semantic_problem(
            ("eureka", "urls"), None, "no registry is set", 'add urls = ["http://HOST:PORT/eureka"]'
        )
    if settings.eureka.by != "apps" and not settings.eureka.name:
        reader.add_semantic_problem(
            ("eureka", "name"),
            settings.eureka.name,
            f'eureka.by = "{settings.eureka.by}" needs a name',
            'set the name, or set eureka.by to "apps"',
        )
    if settings.register.on and not settings.register.ip:
        reader.add_semantic_problem(
            ("register", "ip"),
            settings.register.ip,
            "registration needs an address at which clients reach this gateway",
            "set register.ip",
        )
    if settings.register.renew * 2 > settings.register.duration:
        reader.add_semantic_problem(
            ("register", "duration"),
            settings.register.duration,
            f"a single lost renewal (every {settings.register.renew} s) may expire the registration",
            "set it to at least twice register.renew",
        )


def _check_class(
    reader: ConfigReader, path: KeyPath, service_class: ClassSection, shutdown_timeout_s: float
) -> None:
    if service_class.aim > service_class.deadline:
        reader.add_semantic_problem(
            (*path, "aim"),
            service_class.aim,
            f"exceeds the deadline of {service_class.deadline}",
            "set it to the deadline or less",
        )
    elif service_class.deadline > shutdown_timeout_s:
        reader.add_semantic_problem(
            (*path, "deadline"),
            service_class.deadline,
            f"exceeds daemon.finish = {shutdown_timeout_s}: a shutdown would fail requests in flight",
            "set daemon.finish to at least the longest deadline",
        )
    elif service_class.effect == "keyed" and not service_class.memory:
        reader.add_semantic_problem(
            (*path, "memory"),
            service_class.memory,
            "a keyed class needs a time during which hosts drop repeated requests",
            "set that time, or make the class unsafe",
        )
    elif service_class.effect != "keyed" and service_class.memory:
        reader.add_semantic_problem(
            (*path, "memory"),
            service_class.memory,
            f"hosts drop no repeated requests of a class that is {service_class.effect}",
            "remove it, or make the class keyed",
        )
    elif service_class.effect != "keyed" and service_class.scope != "all":
        reader.add_semantic_problem(
            (*path, "scope"),
            service_class.scope,
            f"a class that is {service_class.effect} has no scope",
            "remove it",
        )


def _check_plan(reader: ConfigReader, path: KeyPath, plan: PlanSection, max_units: float) -> None:
    if plan.rate and plan.burst < max_units:
        reader.add_semantic_problem(
            (*path, "burst"),
            plan.burst,
            f"is less than the largest request ({max_units} units), which would always be rejected",
            "set it to at least limits.max_units",
        )
    elif plan.ceiling_rate and plan.ceiling_rate < plan.rate:
        reader.add_semantic_problem(
            (*path, "ceiling_rate"),
            plan.ceiling_rate,
            f"is less than the quota's rate of {plan.rate}",
            "set it to at least the quota's rate",
        )
    elif plan.ceiling_rate and plan.ceiling_burst < plan.burst:
        reader.add_semantic_problem(
            (*path, "ceiling_burst"),
            plan.ceiling_burst,
            f"is less than the quota's burst of {plan.burst}",
            "set it to at least the quota's burst",
        )
    elif plan.ceiling_burst and not plan.ceiling_rate:
        reader.add_semantic_problem(
            (*path, "ceiling_rate"),
            plan.ceiling_rate,
            "ceiling_burst is set without ceiling_rate",
            "set the rate",
        )
    elif not (plan.rate or plan.open_limit):
        reader.add_semantic_problem(
            (*path, "rate"), plan.rate, "neither rate nor open_limit is set", "set rate and burst"
        )
