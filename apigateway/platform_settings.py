"""The settings of a deployment: the wire's names and nanoseconds to `messages.Settings`.

The simulator sends them as flat text, a real gateway finds them as nested JSON; both are read here.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from apigateway import messages

EFFECT = {
    "pure": messages.Idempotency.SAFE,
    "token": messages.Idempotency.KEYED,
    "side_effect": messages.Idempotency.UNSAFE,
}
DISCOVERY = {"pushed": messages.DiscoveryMode.PUSH, "on_request": messages.DiscoveryMode.POLL}
REPORT = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rps",
    "err_rps": "errors",
}
LATENCY_FIELD = "avg_ms"  # of a load report, the only one in milliseconds
BOOL = {"true": True, "1": True, "false": False, "0": False}
NANOSECONDS_PER_SECOND = 1e9
MS = 1000  # milliseconds a second

Node = dict[str, Any]  # an object of JSON


def read_settings(tree: Node) -> messages.Settings:
    """Read the settings from nested names, as JSON or as the simulator sends them."""
    classes = [_read_class(node) for node in _items(tree["services"])]
    plans = [_read_plan(node) for node in _items(tree["plans"])]
    limits = tree["limits"]
    rules = tree["rules"]
    specifics = tree["specifics"]
    report_names = _names(tree.get("reporting", {}).get("names", ""))
    return messages.Settings(
        gateway_index=int(tree["index"]),
        gateway_count=int(tree["group_size"]),
        zone=tree["locality"],
        classes={one.name: one for one in classes},
        plans={one.name: one for one in plans},
        limits=_read_limits(limits),
        rules=_read_rules(rules),
        prices={name: float(price) for name, price in tree.get("prices", {}).items()},
        has_counter=read_flag(specifics, "shared_counter"),
        counter_price=_number(specifics, "counter_price"),
        counter_timeout=nanoseconds_to_seconds(specifics.get("counter_timeout", "0")),
        meter_period=nanoseconds_to_seconds(specifics.get("meter_period", "0")),
        charges_actual_units=read_flag(specifics, "settles"),
        max_units=float(specifics.get("units_top", 1)),
        discovery_mode=DISCOVERY[tree["registry_mode"]],
        load_report_fields=tuple(REPORT[name] for name in report_names if name in REPORT),
        weight_meaning=tree.get("weights", "none"),
    )


def _read_class(node: Node) -> messages.ServiceClass:
    return messages.ServiceClass(
        name=node["name"],
        latency_objective=nanoseconds_to_seconds(node["slo"]),
        deadline=nanoseconds_to_seconds(node["deadline"]),
        idempotency=EFFECT[node["effect"]],
        deduplication_window=nanoseconds_to_seconds(node.get("memory_span", "0")),
        priority_weight=float(node["gain"]),
        late_priority_weight=_number(node, "late_value"),
        is_streaming=read_flag(node, "streaming"),
        latency_objective_stretch=_number(node, "aim_stretch"),
        deduplication_scope=_read_scope(node),
    )


def _read_scope(node: Node) -> messages.DeduplicationScope:
    scope = node.get("dedup_scope", messages.DeduplicationScope.ALL)
    try:
        return messages.DeduplicationScope(scope)
    except ValueError:
        raise ValueError(f"class {node['name']}: unknown scope {scope!r}") from None


def _read_plan(node: Node) -> messages.Plan:
    return messages.Plan(
        name=node["name"],
        rate=_number(node, "rate"),
        burst=_number(node, "most_at_once"),
        concurrency_limit=int(_number(node, "parallel")),
        price_weight=float(node.get("value_factor", 1)),
        over_quota_weight=_number(node, "beyond_earns"),
        over_quota_cost=_number(node, "over_cost"),
        ceiling_rate=_number(node, "cap_rate"),
        ceiling_burst=_number(node, "cap_depth"),
        ceiling_slack=_number(node, "hard_slack"),
    )


def _read_limits(node: Node) -> messages.Limits:
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


def _read_rules(node: Node) -> messages.Rules:
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
    """Return the fields of a load report that are known and have a value; latency in seconds."""
    return {
        REPORT[name]: float(value) / MS if name == LATENCY_FIELD else float(value)
        for name, value in pairs
        if name in REPORT and value
    }


def nanoseconds_to_seconds(value: Any) -> float:
    """Return nanoseconds as seconds."""
    return int(value) / NANOSECONDS_PER_SECOND


def read_flag(node: Node, name: str, default: bool = False) -> bool:
    """Return a flag of the settings, in either of its forms."""
    return BOOL[str(node[name]).lower()] if name in node else default


def _number(node: Node, name: str) -> float:
    return float(node.get(name, 0))


def _items(node: Any) -> list[Node]:
    """Return a list of objects: as JSON has it, or as the simulator's flat paths count it."""
    if isinstance(node, list):
        return node
    return [node[str(index)] for index in range(int(node["count"]))]


def _names(node: Any) -> list[str]:
    """Return a list of names: as JSON has it, or separated by commas."""
    names: list[str] = node if isinstance(node, list) else node.split(",")
    return names
