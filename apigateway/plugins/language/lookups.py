"""Compiles values of settings, and lookups in settings and in a request's tags."""

from __future__ import annotations

import datetime
from collections.abc import Mapping
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.functions import to_unix_time
from apigateway.plugins.language.nodes import Call, Index, Member
from apigateway.plugins.language.values import Evaluator, Expression, ValueType, make_constant

_UNSET_TAG_VALUE = ""
_TABLE_VALUE_TYPES = {ValueType.NUMBER, ValueType.TEXT, ValueType.BOOLEAN}


class LookupTable(NamedTuple):
    """A table of settings whose values have one type."""

    values: dict[str, Any]
    value_type: ValueType


def compile_setting(position: int, value: Any) -> Expression:
    """Compile a value of the plug-in's settings, as parsed from TOML. Raises ExpressionError."""
    match value:
        case bool():
            return make_constant(ValueType.BOOLEAN, value)
        case int() | float():
            return make_constant(ValueType.NUMBER, float(value))
        case str():
            return make_constant(ValueType.TEXT, value)
        case datetime.date():
            return make_constant(ValueType.NUMBER, to_unix_time(value))
        case dict():
            return make_constant(ValueType.SETTINGS, value)
        case _:
            return _compile_list_setting(position, value)


def _compile_list_setting(position: int, value: Any) -> Expression:
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return make_constant(ValueType.TEXT_LIST, frozenset(value))
    if isinstance(value, list) and all(isinstance(item, int | float) for item in value):
        return make_constant(ValueType.NUMBER_LIST, frozenset(float(item) for item in value))
    kind = type(value).__name__
    raise ExpressionError(position, f"a setting of this type cannot be used: {kind}")


def compile_member(node: Member, container: Expression) -> Expression:
    """Compile the access to a tag or a setting by its name. Raises ExpressionError."""
    name = node.name
    if container.type == ValueType.TAGS:
        tags = container.evaluate
        return Expression(ValueType.TEXT, lambda view: tags(view).get(name, _UNSET_TAG_VALUE))
    if container.type != ValueType.SETTINGS:
        raise ExpressionError(node.position, f"{container.type} has no member {name!r}")
    if name not in container.value:
        known = ", ".join(container.value) or "none"
        raise ExpressionError(node.position, f"no setting {name!r}; known settings: {known}")
    return compile_setting(node.position, container.value[name])


def compile_index(node: Index, container: Expression, key: Expression) -> Expression:
    """Compile the lookup of a tag or a setting by an evaluated key. Raises ExpressionError."""
    get_key = key.evaluate
    if container.type == ValueType.TAGS:
        tags = container.evaluate
        return Expression(ValueType.TEXT, lambda view: tags(view).get(get_key(view), _UNSET_TAG_VALUE))
    if container.type != ValueType.SETTINGS:
        raise ExpressionError(node.position, f"{container.type} cannot be indexed by a key")
    table = _build_table(node.position, container.value)
    values = table.values

    def look_up(view: Any) -> Any:
        found = values.get(get_key(view))
        if found is None:
            raise EvaluationError("the key is missing in its table")
        return found

    return Expression(table.value_type, look_up)


def compile_has(member: Member, container: Expression) -> Expression:
    """Compile the test whether a tag or a setting exists. Raises ExpressionError."""
    name = member.name
    if container.type == ValueType.SETTINGS:
        return make_constant(ValueType.BOOLEAN, name in container.value)
    if container.type != ValueType.TAGS:
        raise ExpressionError(member.position, f"{container.type} has no members")
    tags = container.evaluate
    return Expression(ValueType.BOOLEAN, lambda view: name in tags(view))


def compile_get(node: Call, container: Expression, key: Expression, default: Expression) -> Expression:
    """Compile the lookup of a tag or a setting by a key, with a default. Raises ExpressionError."""
    container_node, _, default_node = node.arguments
    if container.type == ValueType.TAGS and default.type == ValueType.TEXT:
        return _get_tag(container, key.evaluate, default)
    if container.type != ValueType.SETTINGS:
        reason = f"get takes a table of settings, not {container.type}"
        raise ExpressionError(container_node.position, reason)
    table = _build_table(container_node.position, container.value)
    if table.values and default.type != table.value_type:
        reason = f"the table contains {table.value_type}, the default is {default.type}"
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
    """Return the lookup table of a table of settings. Raises ExpressionError if values differ in type."""
    expressions = {key: compile_setting(position, value) for key, value in settings.items()}
    types = {expression.type for expression in expressions.values()}
    if len(types) > 1 or types - _TABLE_VALUE_TYPES:
        reason = "a lookup table must have values of one type, which cannot be tables or lists"
        raise ExpressionError(position, reason)
    values = {key: expression.value for key, expression in expressions.items()}
    return LookupTable(values, types.pop() if types else ValueType.TEXT)
