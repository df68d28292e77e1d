"""Compiles the operators of the language."""

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
    check_text_length,
    make_constant,
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


_EQUALITY_OPERATORS: dict[str, _Operation] = {"==": operator.eq, "!=": operator.ne}
_ORDERING_OPERATORS: dict[str, _Operation] = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
_ARITHMETIC_OPERATORS: dict[str, _Operation] = {
    "+": operator.add,
    "-": operator.sub,
    "*": operator.mul,
    "/": _divide,
    "%": _remainder,
}


def compile_not(operand: Expression) -> Expression:
    """Compile `!operand`."""
    if operand.is_constant:
        return make_constant(operand.type, not operand.value)
    evaluate = operand.evaluate
    return Expression(ValueType.BOOLEAN, lambda view: not evaluate(view))


def compile_negation(operand: Expression) -> Expression:
    """Compile `-operand`."""
    if operand.is_constant:
        return make_constant(operand.type, -operand.value)
    evaluate = operand.evaluate
    return Expression(ValueType.NUMBER, lambda view: -evaluate(view))


def compile_conditional(
    node: Conditional, condition: Expression, if_true: Expression, if_false: Expression
) -> Expression:
    """Compile `condition ? if_true : if_false`. Raises ExpressionError."""
    if if_true.type != if_false.type:
        reason = f"{if_true.type} or {if_false.type}: both must be of one type"
        raise ExpressionError(node.position, reason)
    if condition.is_constant:
        return if_true if condition.value else if_false
    evaluate_condition = condition.evaluate
    evaluate_if_true = if_true.evaluate
    evaluate_if_false = if_false.evaluate
    return Expression(
        if_true.type,
        lambda view: evaluate_if_true(view) if evaluate_condition(view) else evaluate_if_false(view),
    )


def compile_logic(node: Binary, left: Expression, right: Expression) -> Expression:
    """Compile `left && right` or `left || right`."""
    evaluate_left = left.evaluate
    evaluate_right = right.evaluate
    if node.operator == "&&":
        return Expression(ValueType.BOOLEAN, lambda view: evaluate_left(view) and evaluate_right(view))
    return Expression(ValueType.BOOLEAN, lambda view: evaluate_left(view) or evaluate_right(view))


def compile_membership(node: Binary, item: Expression, container: Expression) -> Expression:
    """Compile `item in container`. Raises ExpressionError."""
    get_item = item.evaluate
    if container.type == ValueType.SETTINGS and item.type == ValueType.TEXT:
        keys = frozenset(container.value)
        return Expression(ValueType.BOOLEAN, lambda view: get_item(view) in keys)
    if container.type not in (LIST_TYPES[item.type], ValueType.TAGS):
        reason = f"{item.type} in {container.type}: expected a list or a table of such items"
        raise ExpressionError(node.position, reason)
    if container.is_constant:
        items = frozenset(container.value)
        return Expression(ValueType.BOOLEAN, lambda view: get_item(view) in items)
    get_container = container.evaluate
    return Expression(ValueType.BOOLEAN, lambda view: get_item(view) in get_container(view))


def compile_binary(node: Binary, left: Expression, right: Expression) -> Expression:
    """Compile a comparison, an arithmetic operation or a concatenation. Raises ExpressionError."""
    if left.type != right.type:
        reason = f"{left.type} {node.operator} {right.type}: both must be of one type"
        raise ExpressionError(node.position, reason)
    if node.operator in _EQUALITY_OPERATORS:
        _check_operand(node, left, ValueType.NUMBER, ValueType.TEXT, ValueType.BOOLEAN)
        return _apply(_EQUALITY_OPERATORS[node.operator], ValueType.BOOLEAN, left, right)
    if node.operator in _ORDERING_OPERATORS:
        _check_operand(node, left, ValueType.NUMBER, ValueType.TEXT)
        return _apply(_ORDERING_OPERATORS[node.operator], ValueType.BOOLEAN, left, right)
    if node.operator == "+" and left.type == ValueType.TEXT:
        return _concatenate(left, right)
    _check_operand(node, left, ValueType.NUMBER)
    return _apply(_ARITHMETIC_OPERATORS[node.operator], ValueType.NUMBER, left, right)


def _check_operand(node: Binary, operand: Expression, *types: ValueType) -> None:
    if operand.type not in types:
        raise ExpressionError(node.position, f"{node.operator} cannot be applied to {operand.type}")


def _apply(operation: _Operation, result: ValueType, left: Expression, right: Expression) -> Expression:
    evaluate_left = left.evaluate
    evaluate_right = right.evaluate
    if right.is_constant and not left.is_constant:  # the common case, a field compared with a constant
        value = right.value
        return Expression(result, lambda view: operation(evaluate_left(view), value))
    return Expression(result, lambda view: operation(evaluate_left(view), evaluate_right(view)))


def _concatenate(left: Expression, right: Expression) -> Expression:
    evaluate_left = left.evaluate
    evaluate_right = right.evaluate
    return Expression(
        ValueType.TEXT, lambda view: check_text_length(evaluate_left(view) + evaluate_right(view))
    )
