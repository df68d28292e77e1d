"""Compiles the tree of an expression to a closure that takes a RequestView, and checks all types.

Errors that depend on the request (a key missing in a table, a division by 0, a text that is too long) raise
EvaluationError at evaluation, and the rule fails for that request.
"""

from __future__ import annotations

import datetime
from collections.abc import Mapping
from typing import Any

from apigateway.plugins.language.errors import ExpressionError
from apigateway.plugins.language.functions import compile_call, find_function, hash_fraction, to_unix_time
from apigateway.plugins.language.lookups import compile_get, compile_has, compile_index, compile_member
from apigateway.plugins.language.nodes import (
    Binary,
    Call,
    Conditional,
    Index,
    ListLiteral,
    Member,
    Name,
    Node,
    NumberLiteral,
    TextLiteral,
    Unary,
)
from apigateway.plugins.language.operators import (
    compile_binary,
    compile_conditional,
    compile_logic,
    compile_membership,
    compile_negation,
    compile_not,
)
from apigateway.plugins.language.parser import parse
from apigateway.plugins.language.values import (
    LIST_TYPES,
    Expression,
    Field,
    ValueType,
    check_text_length,
    check_type,
    make_constant,
)

MAX_LIST_ITEMS = 100  # of a list literal

_SETTINGS_NAME = "settings"
_ID_FIELD = "id"  # requests are sampled by a hash of it


def compile_expression(
    text: str, fields: Mapping[str, Field], settings: Mapping[str, Any], seed: int = 0
) -> Expression:
    """Compile an expression.

    Args:
        text: Source of the expression.
        fields: Fields of the view that it may read, by name.
        settings: Settings of the plug-in.
        seed: Seed of the hash by which requests are sampled.

    Raises:
        ExpressionError: The expression is invalid.
    """
    return _Compiler(fields, settings, seed).compile(parse(text))


class _Compiler:
    def __init__(self, fields: Mapping[str, Field], settings: Mapping[str, Any], seed: int) -> None:
        self._fields = fields
        self._settings = settings
        self._seed = seed

    def compile(self, node: Node) -> Expression:
        match node:
            case NumberLiteral() | TextLiteral() | Name():
                expression = self._compile_leaf(node)
            case ListLiteral():
                expression = self._compile_list(node)
            case Member():
                expression = compile_member(node, self.compile(node.container))
            case Index():
                container = self.compile(node.container)
                key = self._compile_typed(node.key, ValueType.TEXT)
                expression = compile_index(node, container, key)
            case Unary():
                expression = self._compile_unary(node)
            case Binary():
                expression = self._compile_binary(node)
            case Conditional():
                expression = self._compile_conditional(node)
            case Call():
                expression = self._compile_call(node)
        return expression

    def _compile_leaf(self, node: NumberLiteral | TextLiteral | Name) -> Expression:
        match node:
            case NumberLiteral(value=number):
                return make_constant(ValueType.NUMBER, number)
            case TextLiteral(value=text):
                return make_constant(ValueType.TEXT, check_text_length(text))
            case Name():
                return self._compile_name(node)

    def _compile_typed(self, node: Node, *types: ValueType) -> Expression:
        return check_type(node.position, self.compile(node), *types)

    def _compile_name(self, node: Name) -> Expression:
        match node.name:
            case "true" | "false":
                return make_constant(ValueType.BOOLEAN, node.name == "true")
            case "settings":
                return make_constant(ValueType.SETTINGS, self._settings)
        field = self._fields.get(node.name)
        if field is None:
            known = ", ".join(sorted([*self._fields, _SETTINGS_NAME]))
            raise ExpressionError(
                node.position, f"no field {node.name!r} in this phase; known fields: {known}"
            )
        return Expression(field.type, field.get)

    def _compile_list(self, node: ListLiteral) -> Expression:
        if len(node.items) > MAX_LIST_ITEMS:
            reason = f"more than {MAX_LIST_ITEMS} items; put them into the settings"
            raise ExpressionError(node.position, reason)
        items = [self._compile_typed(item, ValueType.NUMBER, ValueType.TEXT) for item in node.items]
        types = {item.type for item in items}
        if len(types) > 1:
            raise ExpressionError(node.position, "a list cannot mix numbers and texts")
        list_type = LIST_TYPES[types.pop() if types else ValueType.TEXT]
        if all(item.is_constant for item in items):
            return make_constant(list_type, tuple(item.value for item in items))
        evaluators = [item.evaluate for item in items]
        return Expression(list_type, lambda view: tuple(evaluate(view) for evaluate in evaluators))

    def _compile_unary(self, node: Unary) -> Expression:
        if node.operator == "!":
            return compile_not(self._compile_typed(node.operand, ValueType.BOOLEAN))
        return compile_negation(self._compile_typed(node.operand, ValueType.NUMBER))

    def _compile_binary(self, node: Binary) -> Expression:
        match node.operator:
            case "&&" | "||":
                left = self._compile_typed(node.left, ValueType.BOOLEAN)
                return compile_logic(node, left, self._compile_typed(node.right, ValueType.BOOLEAN))
            case "in":
                item = self._compile_typed(node.left, ValueType.NUMBER, ValueType.TEXT)
                return compile_membership(node, item, self.compile(node.right))
            case _:
                left = self.compile(node.left)
                return compile_binary(node, left, self.compile(node.right))

    def _compile_conditional(self, node: Conditional) -> Expression:
        condition = self._compile_typed(node.condition, ValueType.BOOLEAN)
        if_true = self.compile(node.if_true)
        if_false = self.compile(node.if_false)
        return compile_conditional(node, condition, if_true, if_false)

    def _compile_call(self, node: Call) -> Expression:
        match node.function:
            case "has":
                return self._compile_has(node)
            case "get":
                return self._compile_get(node)
            case "sample":
                return self._compile_sample(node)
            case "date":
                return self._compile_date(node)
            case _:
                function = find_function(node)
                return compile_call(node, function, [self.compile(argument) for argument in node.arguments])

    def _compile_has(self, node: Call) -> Expression:
        (argument,) = _check_argument_count(node, 1)
        if not isinstance(argument, Member):
            reason = "has takes a member: has(tags.name) or has(settings.name)"
            raise ExpressionError(node.position, reason)
        return compile_has(argument, self.compile(argument.container))

    def _compile_get(self, node: Call) -> Expression:
        container, key, default = _check_argument_count(node, 3)
        return compile_get(
            node,
            self.compile(container),
            self._compile_typed(key, ValueType.TEXT),
            self.compile(default),
        )

    def _compile_sample(self, node: Call) -> Expression:
        """Compile a test that is true for a share of all requests, chosen by a hash of the request's id."""
        (argument,) = _check_argument_count(node, 1)
        share = self._compile_typed(argument, ValueType.NUMBER).evaluate
        if _ID_FIELD not in self._fields:
            raise ExpressionError(node.position, "sample needs a request; this phase has none")
        get_id = self._fields[_ID_FIELD].get
        seed = self._seed
        return Expression(ValueType.BOOLEAN, lambda view: hash_fraction(get_id(view), seed) < share(view))

    def _compile_date(self, node: Call) -> Expression:
        (argument,) = _check_argument_count(node, 1)
        text = self._compile_typed(argument, ValueType.TEXT)
        if not text.is_constant:
            reason = 'date takes a literal text such as "2026-08-26T00:00+05:30"'
            raise ExpressionError(argument.position, reason)
        try:
            date = datetime.datetime.fromisoformat(text.value)
        except ValueError as err:
            raise ExpressionError(argument.position, f"{text.value!r} is not a date") from err
        return make_constant(ValueType.NUMBER, to_unix_time(date))


def _check_argument_count(node: Call, count: int) -> tuple[Node, ...]:
    if len(node.arguments) != count:
        reason = f"{node.function} takes {count} arguments, not {len(node.arguments)}"
        raise ExpressionError(node.position, reason)
    return node.arguments
