"""The types of the language, and compiled expressions."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError

MAX_TEXT_CHARACTERS = 1024  # of a text literal or of the result of an operation

Evaluator = Callable[[Any], Any]  # takes a RequestView


class ValueType(enum.StrEnum):
    """Type of a value. The enum values are part of error messages."""

    NUMBER = "number"  # a float
    TEXT = "text"
    BOOLEAN = "truth"
    TAGS = "tags"
    SETTINGS = "settings"  # a table of settings
    NUMBER_LIST = "list of number"
    TEXT_LIST = "list of text"


LIST_TYPES = {
    ValueType.NUMBER: ValueType.NUMBER_LIST,
    ValueType.TEXT: ValueType.TEXT_LIST,
}


class Field(NamedTuple):
    """A field of a RequestView that expressions may read."""

    type: ValueType
    get: Evaluator


@dataclass(frozen=True, slots=True)
class Expression:
    """A compiled expression.

    Attributes:
        type: Type of the value.
        evaluate: Function that returns the value for a view. Raises EvaluationError if there is none.
        is_constant: Whether the value is known at compilation, as that of a setting is.
        value: The value of a constant expression.
    """

    type: ValueType
    evaluate: Evaluator
    is_constant: bool = False
    value: Any = None


def make_constant(value_type: ValueType, value: Any) -> Expression:
    """Return an expression that always evaluates to `value`."""
    return Expression(value_type, lambda _: value, True, value)


def check_type(position: int, expression: Expression, *types: ValueType) -> Expression:
    """Return the expression if it has one of these types. Raises ExpressionError otherwise."""
    if expression.type not in types:
        raise ExpressionError(position, f"expected {' or '.join(types)}, not {expression.type}")
    return expression


def check_text_length(text: str) -> str:
    """Return the text if it is not too long. Raises EvaluationError otherwise.

    Without the limit, each concatenation of a text with itself would double its length.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise EvaluationError(f"the text has more than {MAX_TEXT_CHARACTERS} characters")
    return text
