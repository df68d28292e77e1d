"""Build the runtime configuration from the checked settings."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from apigateway import messages
from apigateway.daemon.config import Config, OverloadSettings
from apigateway.daemon.memory_limits import default_max_customers
from apigateway.daemon.settings_schema import (
    ClassSection,
    LimitsSection,
    PlanSection,
    RulesSection,
    Settings,
)
from apigateway.frontends.grpc.mapping import DescriptorMapping, MappingRule
from apigateway.frontends.grpc.settings import RateLimitSection, RuleSection
from apigateway.membership.file import read_endpoint_file
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import ReconcilerSettings
from apigateway.upstream.address import parse_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.registration import RegistrationSettings
    from apigateway.membership.eureka.source import RegistrySettings


# The unit of sizes in the settings.
BYTES_PER_MIB = 1024 * 1024


def build_config(path: str, settings: Settings, gateways_at_address: int = 1) -> Config:
    """Return a gateway's runtime configuration.

    Args:
        path: Path of the settings file; the hosts file is read from a path relative to its folder.
        settings: The checked settings.
        gateways_at_address: Number of gateways that clients reach at one address: workers that share it.

    Raises:
        InvalidConfigFileError: There are problems in the hosts file; lists all of them.
    """
    listeners = [parse_address(listener.address) for listener in settings.listeners]
    endpoint_file = None
    known_endpoints = EndpointListing(messages.EndpointList(messages.ListMode.CACHED, 0, ()), {})
    if settings.hosts.source == "file":
        endpoint_file = os.path.join(os.path.dirname(os.path.abspath(path)), settings.hosts.file)
        known_endpoints = read_endpoint_file(endpoint_file, messages.ListMode.CACHED)
    return Config(
        grpc_listeners=frozenset(
            parse_address(listener.address) for listener in settings.listeners if listener.protocol == "grpc"
        ),
        registry=build_registry(settings),
        registration=_build_registration(settings, listeners[0][1]),
        reconciler=ReconcilerSettings(**msgspec.to_builtins(settings.trust)),
        name=settings.gateway.name,
        listeners=tuple(listeners),
        discovery=parse_address(settings.hosts.discovery) if settings.hosts.source == "discovery" else None,
        endpoint_file=endpoint_file,
        counter=parse_address(settings.counter.address) if settings.counter.address else None,
        seed=settings.gateway.seed or random.SystemRandom().getrandbits(63),
        memory_bytes=settings.limits.memory_mb * BYTES_PER_MIB,
        max_descriptors=settings.limits.sockets,
        known_endpoints=known_endpoints,
        settings=build_module_settings(settings),
        connect_timeout=settings.limits.connect_timeout,
        idle_timeout=settings.hosts.idle_close,
        max_in_flight=settings.limits.max_open,
        linger=settings.daemon.linger,
        shutdown_timeout=settings.daemon.finish,
        gateways_at_address=gateways_at_address,
        evacuated_zones=tuple(settings.sites.leave),
        overload=_build_overload_settings(settings),
    )


def _build_overload_settings(settings: Settings) -> OverloadSettings | None:
    section = settings.overload
    return OverloadSettings(section.lag, section.turn) if section.on else None


def _build_registration(settings: Settings, port: int) -> RegistrationSettings | None:
    """Return how this gateway registers itself with Eureka; None if it does not."""
    if not settings.register.on:
        return None
    from apigateway.membership.eureka.registration import RegistrationSettings  # imported only if used

    section = settings.register
    return RegistrationSettings(
        section.app,
        section.id or f"{settings.gateway.name}:{port}",
        section.host_name or section.ip,
        section.ip,
        port,
        section.vip,
        section.renew,
        section.duration,
        section.metadata,
    )


def build_registry(settings: Settings) -> RegistrySettings | None:
    """Return the settings of the Eureka client; None if it is not used."""
    if settings.hosts.source != "eureka" and not settings.register.on:
        return None
    from apigateway.membership.eureka.mapping import InstanceMapping  # imported only if used
    from apigateway.membership.eureka.source import RegistrySettings

    section = settings.eureka
    mapping = InstanceMapping(
        section.zone_key,
        section.cell_key,
        section.kind_key,
        section.weight_key,
        section.default_zone,
        section.address,
        section.secure,
        msgspec.to_builtins(section.states),
    )
    return RegistrySettings(
        tuple(section.urls),
        section.by,
        section.name,
        section.form,
        section.poll,
        section.timeout,
        section.max_answer_mb * BYTES_PER_MIB,
        section.user,
        section.password,
        section.delta,
        mapping,
        ReconcilerSettings(**msgspec.to_builtins(settings.trust)),
    )


def build_module_settings(settings: Settings) -> messages.Settings:
    """Return the settings of the decision module.

    Features that exist only on the platform (streams, meters, peers, health checks) are turned off.
    """
    limits = settings.limits
    return messages.Settings(
        gateway_index=settings.gateway.index,
        gateway_count=settings.gateway.gateways,
        zone=settings.gateway.zone,
        classes={name: _build_class(name, section) for name, section in settings.classes.items()},
        plans={name: _build_plan(name, section) for name, section in settings.plans.items()},
        limits=_build_limits(limits),
        rules=_build_rules(settings.rules),
        prices={"cross_zone": settings.hosts.cross_zone},
        has_counter=bool(settings.counter.address),
        counter_price=settings.counter.price,
        counter_timeout=settings.counter.timeout,
        meter_period=0.0,
        charges_actual_units=False,
        max_units=limits.max_units,
        discovery_mode=messages.DiscoveryMode.PUSH,
        load_report_fields=tuple(settings.hosts.reports),
        weight_meaning="none",
        max_customers=limits.max_customers or default_max_customers(limits.memory_mb * BYTES_PER_MIB),
        routes={
            name: messages.Route(name, tuple(section.kinds), section.fallback)
            for name, section in settings.routes.items()
        },
    )


def _build_class(name: str, section: ClassSection) -> messages.ServiceClass:
    return messages.ServiceClass(
        name,
        latency_objective=section.aim,
        deadline=section.deadline,
        idempotency=messages.Idempotency(section.effect),
        deduplication_scope=messages.DeduplicationScope(section.scope),
        deduplication_window=section.memory,
        priority_weight=section.worth,
        late_priority_weight=0.0,
        is_streaming=False,
        latency_objective_stretch=0.0,
    )


def _build_plan(name: str, section: PlanSection) -> messages.Plan:
    return messages.Plan(
        name,
        rate=section.rate,
        burst=section.burst,
        concurrency_limit=section.open_limit,
        price_weight=section.price,
        over_quota_weight=section.over_worth,
        over_quota_cost=section.over_cost,
        ceiling_rate=section.ceiling_rate,
        ceiling_burst=section.ceiling_burst,
        ceiling_slack=section.ceiling_slack,
    )


def _build_limits(section: LimitsSection) -> messages.Limits:
    return messages.Limits(
        can_cancel=section.cancel,
        can_hedge=section.second_copies,
        can_check_health=False,
        can_message_peers=False,
        can_send_retry_after=section.retry_after,
        max_attempts=section.max_attempts,
        max_retry_after=section.max_retry_after,
        connect_timeout=section.connect_timeout,
    )


def _build_rules(section: RulesSection) -> messages.Rules:
    return messages.Rules(
        answer_slack=0.0,
        drain_grace=section.drain_grace,
        initial_capacity=section.cold_share,
        slow_start_duration=section.cold_time,
        overload_multiple=section.fall_multiple,
        overload_duration=section.fall_time,
        max_poll_interval=0.0,
    )


def has_plugins(settings: Settings) -> bool:
    """Return whether plug-ins or request records are configured."""
    return bool(settings.plugins or settings.records.file)


def has_ratelimit(settings: Settings) -> bool:
    """Return whether a rate limit service, tokens or an external service are configured."""
    return bool(has_grpc_listener(settings) or settings.ratelimit.token_keys or settings.ask.address)


def has_grpc_listener(settings: Settings) -> bool:
    """Return whether a listener speaks gRPC, as the rate limit service does."""
    return any(listener.protocol == "grpc" for listener in settings.listeners)


def compile_ratelimit_rules(
    section: RateLimitSection,
    plans: Iterable[str],
    classes: Iterable[str],
    gateways: int,
    gateways_at_address: int = 1,
) -> DescriptorMapping:
    """Compile the rules that map the descriptors of a check to a customer, plan and class.

    Args:
        section: The table with the rules.
        plans: Names of all plans.
        classes: Names of all service classes.
        gateways: Number of gateways.
        gateways_at_address: Number of gateways that clients reach at one address; in rules they are one.

    Raises:
        InvalidRuleError: A rule is invalid.
    """
    rules = [_build_rule(rule, gateways, gateways_at_address) for rule in section.rules]
    return DescriptorMapping(rules, plans, classes, gateways)


def _build_rule(rule: RuleSection, gateways: int, gateways_at_address: int) -> MappingRule:
    return MappingRule(
        rule.domain,
        tuple(rule.entries),
        rule.customer,
        rule.plan,
        rule.cls,
        rule.units,
        rule.first * gateways_at_address,
        rule.spread * gateways_at_address or gateways,
        rule.named,
        rule.token,
    )
