"""The functions of the language. Each takes bounded time: there is no pattern matching, which need not."""

from __future__ import annotations

import datetime
import math
import zlib
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.nodes import Call
from apigateway.plugins.language.values import LIST_TYPES, Expression, ValueType, bounded

SPECIAL_FORMS = ("date", "get", "has", "sample")  # compiled apart: they look at more than values

_MAX_NUMBER_LENGTH = 32  # characters of a text that is made a number
_HASH_RANGE = 2**32
_U32_MASK = 0xFFFF_FFFF
_SECONDS_PER_HOUR = 3600
_ANY_LIST = "list"

_N = ValueType.NUMBER
_T = ValueType.TEXT
_B = ValueType.TRUTH


class Function(NamedTuple):
    """A function; `parameters` has the types that it takes, a tuple for each form."""

    parameters: tuple[tuple[str, ...], ...]
    call: Callable[..., Any]
    result: ValueType


def hash_share(request_id: str, seed: int) -> float:
    """Return where a request's id lies in 0..1, the same wherever and whenever it is asked."""
    return zlib.crc32(request_id.encode("utf-8", "replace"), seed & _U32_MASK) / _HASH_RANGE


def to_text(value: Any) -> str:
    """Return a value as a text, a whole number without a fraction."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(int(value)) if math.isfinite(value) and value == int(value) else repr(value)
    return str(value)


def to_unix_time(date: datetime.date) -> float:
    """Return a date in Unix seconds; without a zone it is UTC."""
    if not isinstance(date, datetime.datetime):
        date = datetime.datetime(date.year, date.month, date.day)
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.UTC)
    return date.timestamp()


def _to_number(text: str) -> float:
    try:
        if len(text) <= _MAX_NUMBER_LENGTH and math.isfinite(number := float(text)):
            return number
    except ValueError:
        pass
    raise EvaluationError("a text that is no number")


def _floor(value: float) -> float:
    if not math.isfinite(value):
        raise EvaluationError("a number that is not finite")
    return float(math.floor(value))


def _substring(text: str, start: float, end: float) -> str:
    if not (math.isfinite(start) and math.isfinite(end)):
        raise EvaluationError("a place that is not finite")
    return text[max(0, int(start)) : max(0, int(end))]


def _local_time(unix_time: float, hours: float = 0.0) -> datetime.datetime:
    """Return the time in a zone `hours` east of UTC."""
    try:
        return datetime.datetime.fromtimestamp(unix_time + hours * _SECONDS_PER_HOUR, datetime.UTC)
    except (ValueError, OverflowError, OSError) as err:
        raise EvaluationError("a time out of range") from err


def _calendar_function(get: Callable[[datetime.datetime], float]) -> Function:
    """Return a function of a time, and of the hours of a zone east of UTC if they are given."""
    return Function(((_N,), (_N, _N)), lambda time, hours=0.0: float(get(_local_time(time, hours))), _N)


FUNCTIONS = {
    "size": Function(
        ((_T,), (_ANY_LIST,), (ValueType.SETTINGS,), (ValueType.TAGS,)), lambda x: float(len(x)), _N
    ),
    "startsWith": Function(((_T, _T),), lambda a, b: a.startswith(b), _B),
    "endsWith": Function(((_T, _T),), lambda a, b: a.endswith(b), _B),
    "contains": Function(((_T, _T),), lambda a, b: b in a, _B),
    "lower": Function(((_T,),), lambda a: bounded(a.lower()), _T),
    "upper": Function(((_T,),), lambda a: bounded(a.upper()), _T),
    "substring": Function(((_T, _N, _N),), _substring, _T),
    "string": Function(((_N,), (_T,), (_B,)), to_text, _T),
    "number": Function(((_T,),), _to_number, _N),
    "share": Function(((_T, _N),), lambda a, b: hash_share(a, int(_floor(b))), _N),
    "min": Function(((_N, _N),), min, _N),
    "max": Function(((_N, _N),), max, _N),
    "abs": Function(((_N,),), abs, _N),
    "floor": Function(((_N,),), _floor, _N),
    "hour": _calendar_function(lambda time: time.hour),
    "weekday": _calendar_function(lambda time: time.weekday()),  # 0: Monday
    "monthday": _calendar_function(lambda time: time.day),
    "month": _calendar_function(lambda time: time.month),
}


def find_function(node: Call) -> Function:
    """Return the function that a node calls. Raises ExpressionError."""
    function = FUNCTIONS.get(node.function)
    if function is None:
        known = ", ".join(sorted([*FUNCTIONS, *SPECIAL_FORMS]))
        raise ExpressionError(node.position, f"no function {node.function!r}; there are {known}")
    return function


def compile_call(node: Call, function: Function, arguments: Sequence[Expression]) -> Expression:
    """Return the call of a function. Raises ExpressionError where it does not take these arguments."""
    types = tuple(
        _ANY_LIST if argument.type in LIST_TYPES.values() else argument.type for argument in arguments
    )
    if types not in function.parameters:
        forms = " or ".join(f"({', '.join(form)})" for form in function.parameters)
        raise ExpressionError(node.position, f"{node.function} takes {forms}, not ({', '.join(types)})")
    return Expression(function.result, _call_evaluator(function.call, arguments))


def _call_evaluator(call: Callable[..., Any], arguments: Sequence[Expression]) -> Callable[[Any], Any]:
    match [argument.evaluate for argument in arguments]:
        case [first]:
            return lambda view: call(first(view))
        case [first, second]:
            return lambda view: call(first(view), second(view))
        case evaluators:
            return lambda view: call(*[evaluate(view) for evaluate in evaluators])
