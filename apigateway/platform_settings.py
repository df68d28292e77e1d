"""Convert the platform's settings, with its names and nanoseconds, to `messages.Settings`.

Handles both forms: the flat text that the simulator sends and the nested JSON that a gateway reads.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from apigateway import messages

IDEMPOTENCY_BY_WIRE_NAME = {
    "pure": messages.Idempotency.SAFE,
    "token": messages.Idempotency.KEYED,
    "side_effect": messages.Idempotency.UNSAFE,
}
DISCOVERY_MODE_BY_WIRE_NAME = {
    "pushed": messages.DiscoveryMode.PUSH,
    "on_request": messages.DiscoveryMode.POLL,
}
REPORT_FIELD_BY_WIRE_NAME = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rps",
    "err_rps": "errors",
}
LATENCY_WIRE_NAME = "avg_ms"  # the only field of a load report that is in milliseconds
BOOL_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}
NANOSECONDS_PER_SECOND = 1e9
MILLISECONDS_PER_SECOND = 1000

JsonObject = dict[str, Any]


def read_settings(tree: JsonObject) -> messages.Settings:
    """Read the settings from nested objects, parsed from JSON or from the simulator's flat text."""
    classes = [_read_class(node) for node in _read_items(tree["services"])]
    plans = [_read_plan(node) for node in _read_items(tree["plans"])]
    limits = tree["limits"]
    rules = tree["rules"]
    specifics = tree["specifics"]
    report_names = _read_names(tree.get("reporting", {}).get("names", ""))
    return messages.Settings(
        gateway_index=int(tree["index"]),
        gateway_count=int(tree["group_size"]),
        zone=tree["locality"],
        classes={service_class.name: service_class for service_class in classes},
        plans={plan.name: plan for plan in plans},
        limits=_read_limits(limits),
        rules=_read_rules(rules),
        prices={name: float(price) for name, price in tree.get("prices", {}).items()},
        has_counter=read_flag(specifics, "shared_counter"),
        counter_price=_read_number(specifics, "counter_price"),
        counter_timeout=nanoseconds_to_seconds(specifics.get("counter_timeout", "0")),
        meter_period=nanoseconds_to_seconds(specifics.get("meter_period", "0")),
        charges_actual_units=read_flag(specifics, "settles"),
        max_units=float(specifics.get("units_top", 1)),
        discovery_mode=DISCOVERY_MODE_BY_WIRE_NAME[tree["registry_mode"]],
        load_report_fields=tuple(
            REPORT_FIELD_BY_WIRE_NAME[name] for name in report_names if name in REPORT_FIELD_BY_WIRE_NAME
        ),
        weight_meaning=tree.get("weights", "none"),
    )


def _read_class(node: JsonObject) -> messages.ServiceClass:
    return messages.ServiceClass(
        name=node["name"],
        latency_objective=nanoseconds_to_seconds(node["slo"]),
        deadline=nanoseconds_to_seconds(node["deadline"]),
        idempotency=IDEMPOTENCY_BY_WIRE_NAME[node["effect"]],
        deduplication_window=nanoseconds_to_seconds(node.get("memory_span", "0")),
        priority_weight=float(node["gain"]),
        late_priority_weight=_read_number(node, "late_value"),
        is_streaming=read_flag(node, "streaming"),
        latency_objective_stretch=_read_number(node, "aim_stretch"),
        deduplication_scope=_read_deduplication_scope(node),
    )


def _read_deduplication_scope(node: JsonObject) -> messages.DeduplicationScope:
    scope = node.get("dedup_scope", messages.DeduplicationScope.ALL)
    try:
        return messages.DeduplicationScope(scope)
    except ValueError:
        raise ValueError(f"class {node['name']}: unknown scope {scope!r}") from None


def _read_plan(node: JsonObject) -> messages.Plan:
    return messages.Plan(
        name=node["name"],
        rate=_read_number(node, "rate"),
        burst=_read_number(node, "most_at_once"),
        concurrency_limit=int(_read_number(node, "parallel")),
        price_weight=float(node.get("value_factor", 1)),
        over_quota_weight=_read_number(node, "beyond_earns"),
        over_quota_cost=_read_number(node, "over_cost"),
        ceiling_rate=_read_number(node, "cap_rate"),
        ceiling_burst=_read_number(node, "cap_depth"),
        ceiling_slack=_read_number(node, "hard_slack"),
    )


def _read_limits(node: JsonObject) -> messages.Limits:
    return messages.Limits(
        can_cancel=read_flag(node, "cancel"),
        can_hedge=read_flag(node, "second_copies"),
        can_check_health=read_flag(node, "probes"),
        can_message_peers=read_flag(node, "peers"),
        can_send_retry_after=read_flag(node, "retry_after"),
        max_attempts=int(node["max_attempts"]),
        max_retry_after=nanoseconds_to_seconds(node.get("max_retry_after", "0")),
        connect_timeout=nanoseconds_to_seconds(node.get("connect_timeout", "0")),
    )


def _read_rules(node: JsonObject) -> messages.Rules:
    return messages.Rules(
        answer_slack=nanoseconds_to_seconds(node["answer_slack"]),
        drain_grace=nanoseconds_to_seconds(node["drain_grace"]),
        initial_capacity=float(node["start_capacity"]),
        slow_start_duration=nanoseconds_to_seconds(node["cold"]),
        overload_multiple=float(node["fall_multiple"]),
        overload_duration=nanoseconds_to_seconds(node["tip_after"]),
        max_poll_interval=nanoseconds_to_seconds(node.get("must_ask_in", "0")),
    )


def read_load_report(pairs: Iterable[tuple[str, str] | list[str]]) -> dict[str, float]:
    """Return the known, non-empty fields of a load report; the latency is in seconds."""
    return {
        REPORT_FIELD_BY_WIRE_NAME[name]: float(value) / MILLISECONDS_PER_SECOND
        if name == LATENCY_WIRE_NAME
        else float(value)
        for name, value in pairs
        if name in REPORT_FIELD_BY_WIRE_NAME and value
    }


def nanoseconds_to_seconds(value: Any) -> float:
    """Convert nanoseconds to seconds."""
    return int(value) / NANOSECONDS_PER_SECOND


def read_flag(node: JsonObject, name: str, default: bool = False) -> bool:
    """Return a boolean setting, written as a JSON boolean, `true`/`false` or `1`/`0`."""
    return BOOL_BY_TEXT[str(node[name]).lower()] if name in node else default


def _read_number(node: JsonObject, name: str) -> float:
    return float(node.get(name, 0))


def _read_items(node: Any) -> list[JsonObject]:
    """Return a list of objects, from a JSON list or from the simulator's numbered keys and `count`."""
    if isinstance(node, list):
        return node
    return [node[str(index)] for index in range(int(node["count"]))]


def _read_names(node: Any) -> list[str]:
    """Return a list of names, from a JSON list or comma-separated text."""
    names: list[str] = node if isinstance(node, list) else node.split(",")
    return names
