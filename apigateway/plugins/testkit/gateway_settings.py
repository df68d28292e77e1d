"""Settings of the gateway that the test kit imitates."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from apigateway import messages

# The default classes, with their effects, and the default plans.
CLASSES = {"roster-read": "safe", "shift-update": "keyed", "staff-notice": "unsafe"}
PLANS = ("basic", "standard", "enterprise")

_DEDUPLICATION_WINDOW_S = 6.0  # of keyed classes


def settings(
    classes: Mapping[str, str] | None = None,
    plans: Sequence[str] = PLANS,
    routes: Mapping[str, Sequence[str]] | None = None,
    max_wait: float = 2.0,
) -> messages.Settings:
    """Return settings of a gateway.

    Args:
        classes: Names of the classes with their effects; None for CLASSES.
        plans: Names of the plans.
        routes: Names of the routes with the kinds of their hosts.
        max_wait: Longest retry time of a rejection in seconds.
    """
    return messages.Settings(
        gateway_index=0,
        gateway_count=1,
        zone="a",
        classes={name: _service_class(name, effect) for name, effect in (classes or CLASSES).items()},
        plans={name: _plan(name) for name in plans},
        limits=messages.Limits(
            can_cancel=True,
            can_hedge=False,
            can_check_health=False,
            can_message_peers=False,
            can_send_retry_after=True,
            max_attempts=3,
            max_retry_after=max_wait,
        ),
        rules=messages.Rules(
            answer_slack=0.0,
            drain_grace=2.0,
            initial_capacity=0.15,
            slow_start_duration=17.0,
            overload_multiple=2.0,
            overload_duration=2.0,
            max_poll_interval=0.0,
        ),
        prices={},
        has_counter=False,
        counter_price=0.0,
        counter_timeout=0.08,
        meter_period=0.0,
        charges_actual_units=False,
        max_units=1.0,
        discovery_mode=messages.DiscoveryMode.PUSH,
        load_report_fields=(),
        weight_meaning="none",
        routes={name: messages.Route(name, tuple(kinds), True) for name, kinds in (routes or {}).items()},
    )


def _service_class(name: str, effect: str) -> messages.ServiceClass:
    return messages.ServiceClass(
        name,
        latency_objective=1.0,
        deadline=3.0,
        idempotency=messages.Idempotency(effect),
        deduplication_scope=messages.DeduplicationScope.ALL,
        deduplication_window=_DEDUPLICATION_WINDOW_S if effect == messages.Idempotency.KEYED else 0.0,
        priority_weight=1.0,
        late_priority_weight=0.0,
        is_streaming=False,
        latency_objective_stretch=0.0,
    )


def _plan(name: str) -> messages.Plan:
    return messages.Plan(
        name,
        rate=10.0,
        burst=100.0,
        concurrency_limit=0,
        price_weight=1.0,
        over_quota_weight=0.0,
        over_quota_cost=0.5,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
