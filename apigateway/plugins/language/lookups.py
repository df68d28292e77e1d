"""Values of settings, and what is looked up in them and in a request's tags."""

from __future__ import annotations

import datetime
from collections.abc import Mapping
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.functions import to_unix_time
from apigateway.plugins.language.nodes import Call, Index, Member
from apigateway.plugins.language.values import Evaluator, Expression, ValueType, constant

_NO_TAG = ""  # the value of a tag that is not set
_TABLE_VALUE_TYPES = {ValueType.NUMBER, ValueType.TEXT, ValueType.TRUTH}


class LookupTable(NamedTuple):
    """A table of settings whose values are of one type."""

    values: dict[str, Any]
    value_type: ValueType


def compile_setting(position: int, value: Any) -> Expression:
    """Return a value of the plug-in's settings, as TOML gave it. Raises ExpressionError."""
    match value:
        case bool():
            return constant(ValueType.TRUTH, value)
        case int() | float():
            return constant(ValueType.NUMBER, float(value))
        case str():
            return constant(ValueType.TEXT, value)
        case datetime.date():
            return constant(ValueType.NUMBER, to_unix_time(value))
        case dict():
            return constant(ValueType.SETTINGS, value)
        case _:
            return _compile_list_setting(position, value)


def _compile_list_setting(position: int, value: Any) -> Expression:
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return constant(ValueType.TEXTS, frozenset(value))
    if isinstance(value, list) and all(isinstance(item, int | float) for item in value):
        return constant(ValueType.NUMBERS, frozenset(float(item) for item in value))
    kind = type(value).__name__
    raise ExpressionError(position, f"a setting of this type cannot be used: {kind}")


def compile_member(node: Member, container: Expression) -> Expression:
    """Return a tag or a setting by its name. Raises ExpressionError."""
    name = node.name
    if container.type == ValueType.TAGS:
        tags = container.evaluate
        return Expression(ValueType.TEXT, lambda view: tags(view).get(name, _NO_TAG))
    if container.type != ValueType.SETTINGS:
        raise ExpressionError(node.position, f"{container.type} has no member {name!r}")
    if name not in container.value:
        known = ", ".join(container.value) or "none"
        raise ExpressionError(node.position, f"no setting {name!r}; there are {known}")
    return compile_setting(node.position, container.value[name])


def compile_index(node: Index, container: Expression, key: Expression) -> Expression:
    """Return a tag or a setting by a key that is known at the request only. Raises ExpressionError."""
    get_key = key.evaluate
    if container.type == ValueType.TAGS:
        tags = container.evaluate
        return Expression(ValueType.TEXT, lambda view: tags(view).get(get_key(view), _NO_TAG))
    if container.type != ValueType.SETTINGS:
        raise ExpressionError(node.position, f"{container.type} is not looked up by a key")
    table = _build_table(node.position, container.value)
    values = table.values

    def look_up(view: Any) -> Any:
        found = values.get(get_key(view))
        if found is None:
            raise EvaluationError("a key that its table lacks")
        return found

    return Expression(table.value_type, look_up)


def compile_has(member: Member, container: Expression) -> Expression:
    """Return whether a tag or a setting is there at all. Raises ExpressionError."""
    name = member.name
    if container.type == ValueType.SETTINGS:
        return constant(ValueType.TRUTH, name in container.value)
    if container.type != ValueType.TAGS:
        raise ExpressionError(member.position, f"{container.type} has no members")
    tags = container.evaluate
    return Expression(ValueType.TRUTH, lambda view: name in tags(view))


def compile_get(node: Call, container: Expression, key: Expression, default: Expression) -> Expression:
    """Return a tag or a setting by a key, or else the default. Raises ExpressionError."""
    container_node, _, default_node = node.arguments
    if container.type == ValueType.TAGS and default.type == ValueType.TEXT:
        return _get_tag(container, key.evaluate, default)
    if container.type != ValueType.SETTINGS:
        reason = f"get takes a table of settings, this is {container.type}"
        raise ExpressionError(container_node.position, reason)
    table = _build_table(container_node.position, container.value)
    if table.values and default.type != table.value_type:
        reason = f"the table holds {table.value_type}, the default is {default.type}"
        raise ExpressionError(default_node.position, reason)
    return _get_setting(table, key.evaluate, default)


def _get_tag(tags: Expression, get_key: Evaluator, default: Expression) -> Expression:
    get_tags = tags.evaluate
    get_default = default.evaluate
    return Expression(ValueType.TEXT, lambda view: get_tags(view).get(get_key(view)) or get_default(view))


def _get_setting(table: LookupTable, get_key: Evaluator, default: Expression) -> Expression:
    values = table.values
    get_default = default.evaluate

    def look_up(view: Any) -> Any:
        found = values.get(get_key(view))
        return get_default(view) if found is None else found

    return Expression(default.type, look_up)


def _build_table(position: int, settings: Mapping[str, Any]) -> LookupTable:
    """Return a table of settings as it is looked up in. Raises ExpressionError."""
    expressions = {key: compile_setting(position, value) for key, value in settings.items()}
    types = {expression.type for expression in expressions.values()}
    if len(types) > 1 or types - _TABLE_VALUE_TYPES:
        reason = "a table that is looked up in holds values of one type, no tables"
        raise ExpressionError(position, reason)
    values = {key: expression.value for key, expression in expressions.items()}
    return LookupTable(values, types.pop() if types else ValueType.TEXT)
