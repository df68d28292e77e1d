"""The functions of the language. Each takes bounded time: there is no pattern matching, which need not."""

from __future__ import annotations

import datetime
import math
import zlib
from collections.abc import Callable
from typing import Any

MOST_LENGTH = 1024  # characters of a text that an expression makes


class RunError(Exception):
    """An expression has no value for this request."""


def bounded(text: str) -> str:
    """Sums of sums of texts would double with each."""
    if len(text) > MOST_LENGTH:
        raise RunError(f"a text of more than {MOST_LENGTH} characters")
    return text


def share(id: str, seed: int) -> float:
    """Where a request's id lies in 0..1."""
    return zlib.crc32(id.encode("utf-8", "replace"), seed & 0xFFFFFFFF) / 2**32


def text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(int(value)) if math.isfinite(value) and value == int(value) else repr(value)
    return str(value)


def number(value: str) -> float:
    try:
        if len(value) <= 32 and math.isfinite(made := float(value)):
            return made
    except ValueError:
        pass
    raise RunError("a text that is no number")


def local(now: float, hours: float = 0.0) -> datetime.datetime:
    """`hours` east of UTC."""
    try:
        return datetime.datetime.fromtimestamp(now + hours * 3600, datetime.UTC)
    except (ValueError, OverflowError, OSError) as err:
        raise RunError("a time out of range") from err


def floor(value: float) -> float:
    if not math.isfinite(value):
        raise RunError("a number that is not finite")
    return float(math.floor(value))


def part(value: str, start: float, end: float) -> str:
    if not (math.isfinite(start) and math.isfinite(end)):
        raise RunError("a place that is not finite")
    return value[max(0, int(start)) : max(0, int(end))]


def when(get: Callable[[datetime.datetime], float]) -> tuple[Any, Callable[..., Any], str]:
    return ((N,), (N, N)), lambda now, hours=0.0: float(get(local(now, hours))), N


N, T, B = "number", "text", "truth"
# Name: the types that it takes, what it does, the type that it gives.
FUNCTIONS: dict[str, tuple[Any, Callable[..., Any], str]] = {
    "size": (((T,), ("list",), ("settings",), ("tags",)), lambda x: float(len(x)), N),
    "startsWith": (((T, T),), lambda a, b: a.startswith(b), B),
    "endsWith": (((T, T),), lambda a, b: a.endswith(b), B),
    "contains": (((T, T),), lambda a, b: b in a, B),
    "lower": (((T,),), lambda a: bounded(a.lower()), T),
    "upper": (((T,),), lambda a: bounded(a.upper()), T),
    "substring": (((T, N, N),), part, T),
    "string": (((N,), (T,), (B,)), text, T),
    "number": (((T,),), number, N),
    "share": (((T, N),), lambda a, b: share(a, int(floor(b))), N),
    "min": (((N, N),), min, N),
    "max": (((N, N),), max, N),
    "abs": (((N,),), abs, N),
    "floor": (((N,),), floor, N),
    "hour": when(lambda t: t.hour),
    "weekday": when(lambda t: t.weekday()),  # 0: Monday
    "monthday": when(lambda t: t.day),
    "month": when(lambda t: t.month),
}
