"""The operators of the language, on expressions that are compiled."""

from __future__ import annotations

import math
import operator
from collections.abc import Callable
from typing import Any

from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.nodes import Binary, Conditional
from apigateway.plugins.language.values import (
    LIST_TYPES,
    Expression,
    ValueType,
    bounded,
    constant,
)

_Operation = Callable[[Any, Any], Any]


def _divide(a: float, b: float) -> float:
    if b == 0:
        raise EvaluationError("division by 0")
    return a / b


def _remainder(a: float, b: float) -> float:
    if b == 0 or not math.isfinite(a):
        raise EvaluationError("division by 0")
    return math.fmod(a, b)


_EQUALITIES: dict[str, _Operation] = {"==": operator.eq, "!=": operator.ne}
_RELATIONS: dict[str, _Operation] = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
_ARITHMETIC: dict[str, _Operation] = {
    "+": operator.add,
    "-": operator.sub,
    "*": operator.mul,
    "/": _divide,
    "%": _remainder,
}


def compile_not(operand: Expression) -> Expression:
    """Return `!operand`."""
    if operand.is_constant:
        return constant(operand.type, not operand.value)
    evaluate = operand.evaluate
    return Expression(ValueType.TRUTH, lambda view: not evaluate(view))


def compile_negation(operand: Expression) -> Expression:
    """Return `-operand`."""
    if operand.is_constant:
        return constant(operand.type, -operand.value)
    evaluate = operand.evaluate
    return Expression(ValueType.NUMBER, lambda view: -evaluate(view))


def compile_conditional(
    node: Conditional, condition: Expression, if_true: Expression, if_false: Expression
) -> Expression:
    """Return `condition ? if_true : if_false`. Raises ExpressionError."""
    if if_true.type != if_false.type:
        reason = f"either {if_true.type} or {if_false.type}; both must be of one type"
        raise ExpressionError(node.position, reason)
    if condition.is_constant:
        return if_true if condition.value else if_false
    test = condition.evaluate
    first = if_true.evaluate
    second = if_false.evaluate
    return Expression(if_true.type, lambda view: first(view) if test(view) else second(view))


def compile_logic(node: Binary, left: Expression, right: Expression) -> Expression:
    """Return `left && right` or `left || right`."""
    a = left.evaluate
    b = right.evaluate
    if node.operator == "&&":
        return Expression(ValueType.TRUTH, lambda view: a(view) and b(view))
    return Expression(ValueType.TRUTH, lambda view: a(view) or b(view))


def compile_membership(node: Binary, item: Expression, container: Expression) -> Expression:
    """Return `item in container`. Raises ExpressionError."""
    get_item = item.evaluate
    if container.type == ValueType.SETTINGS and item.type == ValueType.TEXT:
        keys = frozenset(container.value)
        return Expression(ValueType.TRUTH, lambda view: get_item(view) in keys)
    if container.type not in (LIST_TYPES[item.type], ValueType.TAGS):
        reason = f"{item.type} in {container.type}: expected a list or table of such"
        raise ExpressionError(node.position, reason)
    if container.is_constant:
        items = frozenset(container.value)
        return Expression(ValueType.TRUTH, lambda view: get_item(view) in items)
    get_container = container.evaluate
    return Expression(ValueType.TRUTH, lambda view: get_item(view) in get_container(view))


def compile_binary(node: Binary, left: Expression, right: Expression) -> Expression:
    """Return a comparison or a calculation. Raises ExpressionError."""
    if left.type != right.type:
        reason = f"{left.type} {node.operator} {right.type}: both must be of one type"
        raise ExpressionError(node.position, reason)
    if node.operator in _EQUALITIES:
        _check_operand(node, left, ValueType.NUMBER, ValueType.TEXT, ValueType.TRUTH)
        return _apply(_EQUALITIES[node.operator], ValueType.TRUTH, left, right)
    if node.operator in _RELATIONS:
        _check_operand(node, left, ValueType.NUMBER, ValueType.TEXT)
        return _apply(_RELATIONS[node.operator], ValueType.TRUTH, left, right)
    if node.operator == "+" and left.type == ValueType.TEXT:
        return _concatenate(left, right)
    _check_operand(node, left, ValueType.NUMBER)
    return _apply(_ARITHMETIC[node.operator], ValueType.NUMBER, left, right)


def _check_operand(node: Binary, operand: Expression, *types: ValueType) -> None:
    if operand.type not in types:
        raise ExpressionError(node.position, f"{node.operator} does not go with {operand.type}")


def _apply(operation: _Operation, result: ValueType, left: Expression, right: Expression) -> Expression:
    a = left.evaluate
    b = right.evaluate
    if right.is_constant and not left.is_constant:  # the common form, a field against a constant
        value = right.value
        return Expression(result, lambda view: operation(a(view), value))
    return Expression(result, lambda view: operation(a(view), b(view)))


def _concatenate(left: Expression, right: Expression) -> Expression:
    a = left.evaluate
    b = right.evaluate
    return Expression(ValueType.TEXT, lambda view: bounded(a(view) + b(view)))
