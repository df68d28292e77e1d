"""One command sent to one host, and what the host's reply says about it."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

import hiredis

from apigateway.messages import AttemptResult
from apigateway.platform_settings import read_load_report
from apigateway.upstream.framing import MAX_BODY_BYTES, FramingError

HEALTH_CHECK = object()
"""The tag of an attempt that is a health check."""

LoadReport = dict[str, float]
"""The fields of a host's load report; latency in seconds."""

MAX_LOAD_FIGURE = 10_000.0  # of any figure in a load report; one beyond would spoil the means for long
MAX_METERED_USE_PERCENT = 1_000_000  # of a customer's rate; more than that is no figure on use
# The protocol's form of a load report; float() alone would accept more.
_LOAD_REPORT = re.compile(r"(\w+=([0-9]{1,9}(\.[0-9]{1,9})?)?(,|$))+")
_VALUE_PARTS = 3  # value, metered use, load report
_OK = AttemptResult.OK  # bound once: a member is slow to look up in its class


class AttemptConnection(Protocol):
    """The connection that an attempt was sent on."""

    is_written: bool  # whether the socket took every byte
    attempt: Attempt | None  # that waits for an answer

    def close(self) -> None:
        """End the connection now, and the attempt on it."""


class Attempt:
    """One command for one host.

    `done` is called with it exactly once, when `result` is known. Before that `result` is not set.
    """

    __slots__ = (
        "endpoint_id",
        "payload",
        "done",
        "tag",
        "started",
        "is_ended",
        "result",
        "value",
        "metered_use",
        "load_report",
        "connection",
        "timer",
    )

    result: AttemptResult

    def __init__(
        self, endpoint_id: str, payload: bytes, done: Callable[[Attempt], None], tag: Any = None
    ) -> None:
        self.endpoint_id = endpoint_id
        self.payload = payload
        self.done = done
        self.tag = tag
        self.started = monotonic()
        self.is_ended = False
        self.value = b""
        self.metered_use = 0  # percent of the customer's rate
        self.load_report: LoadReport = {}
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def elapsed(self) -> float:
        """Return the seconds since the attempt was created."""
        return monotonic() - self.started

    def end(self, result: AttemptResult) -> None:
        """Set the result and call `done`, unless the attempt has ended before."""
        if self.is_ended:
            return
        self.is_ended = True
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.done(self)

    @property
    def is_written(self) -> bool:
        """Whether the socket took the last byte: from then on the request may have run."""
        return self.connection is not None and self.connection.is_written


def read_reply(attempt: Attempt, reply: object) -> AttemptResult:
    """Fill in the attempt's fields from the host's reply and return the result.

    Raises FramingError for what no host would say: the request may have run, and serving anything for it
    would be made up.
    """
    is_health_check = attempt.tag is HEALTH_CHECK
    if isinstance(reply, list) and not is_health_check:
        return _read_value(attempt, reply)
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.load_report = parse_load_report(words[-1])
        return AttemptResult.REJECTED if words[0] == "BUSY" else AttemptResult.ERROR
    if isinstance(reply, bytes) and is_health_check:
        attempt.load_report = parse_load_report(reply)
        return _OK
    raise FramingError("no answer of a host")


def parse_load_report(text: object) -> LoadReport:
    """Parse a load report; one that is missing or malformed gives an empty one."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or not _LOAD_REPORT.fullmatch(text):
        return {}
    report = read_load_report(pair.split("=", 1) for pair in text.rstrip(",").split(","))
    return report if all(figure <= MAX_LOAD_FIGURE for figure in report.values()) else {}


def _read_value(attempt: Attempt, reply: list[Any]) -> AttemptResult:
    """Fill in value, metered use and load report from the three parts of a host's answer."""
    if len(reply) != _VALUE_PARTS:
        raise FramingError("no value of a host")
    value, metered_use, load_report = reply
    if not isinstance(value, bytes) or len(value) > MAX_BODY_BYTES:
        raise FramingError("no value of a host")
    attempt.value = value
    if isinstance(metered_use, int) and 0 <= metered_use <= MAX_METERED_USE_PERCENT:
        attempt.metered_use = metered_use
    attempt.load_report = parse_load_report(load_report)
    return _OK
