"""The functions of the language.

Each takes bounded time; pattern matching, whose time would be unbounded, is left out.
"""

from __future__ import annotations

import datetime
import math
import zlib
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.nodes import Call
from apigateway.plugins.language.values import LIST_TYPES, Expression, ValueType, check_text_length

# Compiled by `compiler`, because they need more than the values of their arguments.
SPECIAL_FORMS = ("date", "get", "has", "sample")

_MAX_NUMBER_CHARACTERS = 32  # of a text that is converted to a number
_HASH_RANGE = 2**32
_U32_MASK = 0xFFFF_FFFF
_SECONDS_PER_HOUR = 3600
_ANY_LIST = "list"

_NUMBER = ValueType.NUMBER
_TEXT = ValueType.TEXT
_BOOLEAN = ValueType.BOOLEAN


class Function(NamedTuple):
    """A function of the language; `parameters` has a tuple of types for each accepted signature."""

    parameters: tuple[tuple[str, ...], ...]
    call: Callable[..., Any]
    result_type: ValueType


def hash_fraction(request_id: str, seed: int) -> float:
    """Return a hash of a request's id in 0..1, the same on all gateways and at any time."""
    return zlib.crc32(request_id.encode("utf-8", "replace"), seed & _U32_MASK) / _HASH_RANGE


def to_text(value: Any) -> str:
    """Return a value as text; a whole number has no fraction."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(int(value)) if math.isfinite(value) and value == int(value) else repr(value)
    return str(value)


def to_unix_time(date: datetime.date) -> float:
    """Return a date as Unix time in seconds; a date without a time zone is in UTC."""
    if not isinstance(date, datetime.datetime):
        date = datetime.datetime(date.year, date.month, date.day)
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.UTC)
    return date.timestamp()


def _to_number(text: str) -> float:
    try:
        if len(text) <= _MAX_NUMBER_CHARACTERS and math.isfinite(number := float(text)):
            return number
    except ValueError:
        pass
    raise EvaluationError("the text is not a number")


def _floor(value: float) -> float:
    if not math.isfinite(value):
        raise EvaluationError("the number is not finite")
    return float(math.floor(value))


def _substring(text: str, start: float, end: float) -> str:
    if not (math.isfinite(start) and math.isfinite(end)):
        raise EvaluationError("the position is not finite")
    return text[max(0, int(start)) : max(0, int(end))]


def _local_time(unix_time: float, hours: float = 0.0) -> datetime.datetime:
    """Return the time in the time zone `hours` east of UTC."""
    try:
        return datetime.datetime.fromtimestamp(unix_time + hours * _SECONDS_PER_HOUR, datetime.UTC)
    except (ValueError, OverflowError, OSError) as err:
        raise EvaluationError("the time is out of range") from err


def _create_calendar_function(get: Callable[[datetime.datetime], float]) -> Function:
    """Return a function of a Unix time and, optionally, of the hours of a time zone east of UTC."""
    return Function(
        ((_NUMBER,), (_NUMBER, _NUMBER)),
        lambda time, hours=0.0: float(get(_local_time(time, hours))),
        _NUMBER,
    )


FUNCTIONS = {
    "size": Function(
        ((_TEXT,), (_ANY_LIST,), (ValueType.SETTINGS,), (ValueType.TAGS,)), lambda x: float(len(x)), _NUMBER
    ),
    "startsWith": Function(((_TEXT, _TEXT),), lambda a, b: a.startswith(b), _BOOLEAN),
    "endsWith": Function(((_TEXT, _TEXT),), lambda a, b: a.endswith(b), _BOOLEAN),
    "contains": Function(((_TEXT, _TEXT),), lambda a, b: b in a, _BOOLEAN),
    "lower": Function(((_TEXT,),), lambda a: check_text_length(a.lower()), _TEXT),
    "upper": Function(((_TEXT,),), lambda a: check_text_length(a.upper()), _TEXT),
    "substring": Function(((_TEXT, _NUMBER, _NUMBER),), _substring, _TEXT),
    "string": Function(((_NUMBER,), (_TEXT,), (_BOOLEAN,)), to_text, _TEXT),
    "number": Function(((_TEXT,),), _to_number, _NUMBER),
    "share": Function(((_TEXT, _NUMBER),), lambda a, b: hash_fraction(a, int(_floor(b))), _NUMBER),
    "min": Function(((_NUMBER, _NUMBER),), min, _NUMBER),
    "max": Function(((_NUMBER, _NUMBER),), max, _NUMBER),
    "abs": Function(((_NUMBER,),), abs, _NUMBER),
    "floor": Function(((_NUMBER,),), _floor, _NUMBER),
    "hour": _create_calendar_function(lambda time: time.hour),
    "weekday": _create_calendar_function(lambda time: time.weekday()),  # Monday is 0
    "monthday": _create_calendar_function(lambda time: time.day),
    "month": _create_calendar_function(lambda time: time.month),
}


def find_function(node: Call) -> Function:
    """Return the function that a node calls. Raises ExpressionError if it does not exist."""
    function = FUNCTIONS.get(node.function)
    if function is None:
        known = ", ".join(sorted([*FUNCTIONS, *SPECIAL_FORMS]))
        raise ExpressionError(node.position, f"no function {node.function!r}; known functions: {known}")
    return function


def compile_call(node: Call, function: Function, arguments: Sequence[Expression]) -> Expression:
    """Compile the call of a function. Raises ExpressionError if it does not take these arguments."""
    types = tuple(
        _ANY_LIST if argument.type in LIST_TYPES.values() else argument.type for argument in arguments
    )
    if types not in function.parameters:
        forms = " or ".join(f"({', '.join(form)})" for form in function.parameters)
        raise ExpressionError(node.position, f"{node.function} takes {forms}, not ({', '.join(types)})")
    return Expression(function.result_type, _create_call_evaluator(function.call, arguments))


def _create_call_evaluator(call: Callable[..., Any], arguments: Sequence[Expression]) -> Callable[[Any], Any]:
    match [argument.evaluate for argument in arguments]:
        case [first]:
            return lambda view: call(first(view))
        case [first, second]:
            return lambda view: call(first(view), second(view))
        case evaluators:
            return lambda view: call(*[evaluate(view) for evaluate in evaluators])
