"""Build what the gateway runs with, a Config, from the checked settings file."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from apigateway import messages
from apigateway.daemon.config import Config, OverloadSettings
from apigateway.daemon.settings_schema import (
    ClassSection,
    LimitsSection,
    PlanSection,
    RulesSection,
    Settings,
    customer_capacity,
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


# Bytes in a MiB, as the settings give memory.
MIB = 1024 * 1024


def build_config(path: str, settings: Settings, gateways_at_address: int = 1) -> Config:
    """Return what a gateway runs with.

    Args:
        path: Of the settings file; the file of hosts is named relative to its folder, and read.
        settings: As checked.
        gateways_at_address: Gateways that clients know as one: workers on one address.

    Raises:
        InvalidConfigFileError: With all that is wrong in the file of hosts.
    """
    listeners = [parse_address(listener.address) for listener in settings.listeners]
    endpoint_file = None
    known_endpoints = EndpointListing(messages.EndpointList(messages.ListMode.CACHED, 0, ()), {})
    if settings.hosts.source == "file":
        endpoint_file = os.path.join(os.path.dirname(os.path.abspath(path)), settings.hosts.file)
        known_endpoints = read_endpoint_file(endpoint_file, messages.ListMode.CACHED)
    return Config(
        grpc_listeners=frozenset(
            parse_address(one.address) for one in settings.listeners if one.protocol == "grpc"
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
        memory_bytes=settings.limits.memory_mb * MIB,
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
    """Return how this gateway registers itself with Eureka; None: it does not."""
    if not settings.register.on:
        return None
    from apigateway.membership.eureka.registration import RegistrationSettings  # loaded only where it is used

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
    """Return how the Eureka registry is asked; None: nothing needs it."""
    if settings.hosts.source != "eureka" and not settings.register.on:
        return None
    from apigateway.membership.eureka.mapping import InstanceMapping  # loaded only where it is used
    from apigateway.membership.eureka.source import RegistrySettings

    section = settings.eureka
    terms = InstanceMapping(
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
        section.max_answer_mb * MIB,
        section.user,
        section.password,
        section.delta,
        terms,
        ReconcilerSettings(**msgspec.to_builtins(settings.trust)),
    )


def build_module_settings(settings: Settings) -> messages.Settings:
    """Return the settings of the decision module.

    What a gateway of its own settings file does not know (streams, meters, peers, health checks) is off.
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
        max_customers=limits.max_customers or customer_capacity(limits),
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


def wants_plugins(settings: Settings) -> bool:
    """Return whether plug-ins or records of requests have to be loaded."""
    return bool(settings.plugins or settings.records.file)


def wants_ratelimit(settings: Settings) -> bool:
    """Return whether a rate limit service, tokens or an external service have to be loaded."""
    return bool(has_grpc_listener(settings) or settings.ratelimit.token_keys or settings.ask.address)


def has_grpc_listener(settings: Settings) -> bool:
    """Return whether a listener speaks gRPC, as the rate limit service does."""
    return any(listener.protocol == "grpc" for listener in settings.listeners)


def compile_ratelimit_rules(
    section: RateLimitSection, plans: Iterable[str], classes: Iterable[str], gateways: int, span: int = 1
) -> DescriptorMapping:
    """Compile the rules that map the descriptors of a check to a customer, plan and class.

    Args:
        section: The table with the rules.
        plans: Names of all plans.
        classes: Names of all service classes.
        gateways: How many gateways there are.
        span: Gateways that clients, and so the rules, know as one.

    Raises:
        InvalidRuleError: A rule cannot be used.
    """
    rules = [_build_rule(rule, gateways, span) for rule in section.rules]
    return DescriptorMapping(rules, plans, classes, gateways)


def _build_rule(rule: RuleSection, gateways: int, span: int) -> MappingRule:
    return MappingRule(
        rule.domain,
        tuple(rule.entries),
        rule.customer,
        rule.plan,
        rule.cls,
        rule.units,
        rule.first * span,
        rule.spread * span or gateways,
        rule.named,
        rule.token,
    )
