"""The types of the language, and what an expression is compiled to."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError

MAX_TEXT_LENGTH = 1024  # characters of a text that an expression makes

Evaluator = Callable[[Any], Any]  # takes a RequestView


class ValueType(enum.StrEnum):
    """The types of values. The words are part of messages."""

    NUMBER = "number"  # there is one kind
    TEXT = "text"
    TRUTH = "truth"
    TAGS = "tags"
    SETTINGS = "settings"  # a table of them
    NUMBERS = "list of number"
    TEXTS = "list of text"


LIST_TYPES = {ValueType.NUMBER: ValueType.NUMBERS, ValueType.TEXT: ValueType.TEXTS}  # by the items' type


class Field(NamedTuple):
    """What an expression may read of a view."""

    type: ValueType
    get: Evaluator


@dataclass(frozen=True, slots=True)
class Expression:
    """An expression, compiled.

    Attributes:
        evaluate: Raises EvaluationError where there is no value.
        is_constant: `value` was known when it was compiled, as settings are.
    """

    type: ValueType
    evaluate: Evaluator
    is_constant: bool = False
    value: Any = None


def constant(value_type: ValueType, value: Any) -> Expression:
    """Return an expression of one value."""
    return Expression(value_type, lambda _: value, True, value)


def check_type(position: int, expression: Expression, *types: ValueType) -> Expression:
    """Return an expression that must be of one of these types. Raises ExpressionError."""
    if expression.type not in types:
        raise ExpressionError(position, f"expected {' or '.join(types)}, this is {expression.type}")
    return expression


def bounded(text: str) -> str:
    """Return a text that is not too long: sums of sums of texts would double with each."""
    if len(text) > MAX_TEXT_LENGTH:
        raise EvaluationError(f"a text of more than {MAX_TEXT_LENGTH} characters")
    return text
