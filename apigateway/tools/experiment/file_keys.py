"""Maps keys of experiment files to fields whose names differ from them."""

from __future__ import annotations

import dataclasses
import typing
from typing import Any

from apigateway import messages

# By type, the field of each key. The keys are stable, so files stay valid when a field is renamed.
FIELDS_BY_KEY: dict[type, dict[str, str]] = {
    messages.Plan: {
        "open_limit": "concurrency_limit",
        "price": "price_weight",
        "over_worth": "over_quota_weight",
        "over_cost": "over_quota_cost",
    },
    messages.ServiceClass: {
        "effect": "idempotency",
        "aim": "latency_objective",
        "scope": "deduplication_scope",
        "memory": "deduplication_window",
        "worth": "priority_weight",
        "late_worth": "late_priority_weight",
        "stream": "is_streaming",
        "aim_stretch": "latency_objective_stretch",
    },
}


def key_types(schema: Any) -> dict[str, Any]:
    """Return the keys of a dataclass's table in a file, with the types of their values."""
    keys = {field: key for key, field in FIELDS_BY_KEY.get(schema, {}).items()}
    return {keys.get(field, field): kind for field, kind in typing.get_type_hints(schema).items()}


def item_type(kind: Any) -> Any:
    """Return the type of a tuple's items, or the type itself if it is not a tuple."""
    return typing.get_args(kind)[0] if typing.get_origin(kind) is tuple else kind


def rename_keys(tree: Any, schema: Any) -> Any:
    """Return a file's table with keys replaced by field names; `schema` is the dataclass of the table."""
    if isinstance(tree, list):
        return [rename_keys(item, schema) for item in tree]
    if not isinstance(tree, dict) or not dataclasses.is_dataclass(schema):
        return tree
    fields = FIELDS_BY_KEY.get(typing.cast(type, schema), {})
    types = key_types(schema)
    return {fields.get(key, key): rename_keys(value, item_type(types[key])) for key, value in tree.items()}


def key_of_field(name: str) -> str:
    """Return the key of a field in files, for messages."""
    for fields in FIELDS_BY_KEY.values():
        for key, field in fields.items():
            if field == name:
                return key
    return name
