"""A command that is sent to a host, and the result from the host's reply."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

import hiredis

from apigateway.messages import AttemptResult
from apigateway.platform_settings import read_load_report
from apigateway.upstream.framing import MAX_BODY_BYTES, FramingError

HEALTH_CHECK = object()
"""Tag of an attempt that is a health check."""

LoadReport = dict[str, float]
"""The fields of a host's load report; latency in seconds."""

MAX_LOAD_VALUE = 10_000.0  # of any field in a load report; a larger one would distort the means for long
MAX_METERED_USE_PERCENT = 1_000_000  # of a customer's rate; a larger value in a reply is ignored as invalid
# The protocol's syntax of a load report; float() alone would accept more.
_LOAD_REPORT_PATTERN = re.compile(r"(\w+=([0-9]{1,9}(\.[0-9]{1,9})?)?(,|$))+")
MIN_TIMEOUT_S = 0.001  # the least that a host is told
_VALUE_PARTS = 3  # value, metered use, load report
_OK = AttemptResult.OK  # a module constant, because enum member lookup is slow


class AttemptConnection(Protocol):
    """The connection on which an attempt was sent."""

    is_written: bool  # whether the socket accepted every byte
    attempt: Attempt | None  # the attempt that waits for its reply

    def close(self) -> None:
        """Close the connection immediately and end the attempt on it."""


class Attempt:
    """A command for one host.

    `on_ended` is called with the attempt exactly once, when `result` is known. `result` is not set before.
    """

    __slots__ = (
        "endpoint_id",
        "payload",
        "encode",
        "deadline",
        "on_ended",
        "tag",
        "started_at",
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
        self, endpoint_id: str, payload: bytes, on_ended: Callable[[Attempt], None], tag: Any = None
    ) -> None:
        self.endpoint_id = endpoint_id
        self.payload = payload  # empty once it is passed to a connection
        # Encodes the payload again with the seconds left, until it is passed to a connection. Returns None if
        # nobody waits for the reply any more.
        self.encode: Callable[[float], bytes | None] | None = None
        self.deadline = math.inf  # when its timeout expires, by the monotonic clock
        self.on_ended = on_ended
        self.tag = tag
        self.started_at = monotonic()
        self.is_ended = False
        self.value = b""
        self.metered_use = 0  # as the host reports it, see `messages.AttemptOutcome`; 0: not known
        self.load_report: LoadReport = {}
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def update_payload(self) -> bool:
        """Tell the host the time that is left, after a wait for the connection.

        Returns whether somebody still waits for the reply.
        """
        if self.encode is None:
            return True
        payload = self.encode(max(MIN_TIMEOUT_S, self.deadline - monotonic()))
        if payload is None:
            return False
        self.payload = payload
        return True

    def elapsed(self) -> float:
        """Return the seconds since the attempt was created."""
        return monotonic() - self.started_at

    def end(self, result: AttemptResult) -> None:
        """Set the result and call `on_ended`, unless the attempt has already ended."""
        if self.is_ended:
            return
        self.is_ended = True
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.on_ended(self)

    @property
    def is_written(self) -> bool:
        """Whether the socket accepted the last byte, after which the request may have run."""
        return self.connection is not None and self.connection.is_written


def apply_reply(attempt: Attempt, reply: object) -> AttemptResult:
    """Set the attempt's fields from the host's reply and return the result.

    Raises FramingError for a reply that violates the protocol. The request may have run, and its value is
    unknown.
    """
    is_health_check = attempt.tag is HEALTH_CHECK
    if isinstance(reply, list) and not is_health_check:
        return _apply_value_reply(attempt, reply)
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.load_report = parse_load_report(words[-1])
        return AttemptResult.REJECTED if words[0] == "BUSY" else AttemptResult.ERROR
    if isinstance(reply, bytes) and is_health_check:
        attempt.load_report = parse_load_report(reply)
        return _OK
    raise FramingError("the reply is neither a value nor an error")


def parse_load_report(text: object) -> LoadReport:
    """Parse a load report; return an empty one if it is missing or malformed."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or not _LOAD_REPORT_PATTERN.fullmatch(text):
        return {}
    report = read_load_report(pair.split("=", 1) for pair in text.rstrip(",").split(","))
    return report if all(value <= MAX_LOAD_VALUE for value in report.values()) else {}


def _apply_value_reply(attempt: Attempt, reply: list[Any]) -> AttemptResult:
    """Set value, metered use and load report from the three parts of a host's reply."""
    if len(reply) != _VALUE_PARTS:
        raise FramingError("a value reply must have three parts")
    value, metered_use, load_report = reply
    if not isinstance(value, bytes) or len(value) > MAX_BODY_BYTES:
        raise FramingError("the value is not a string or is too long")
    attempt.value = value
    if isinstance(metered_use, int) and 0 <= metered_use <= MAX_METERED_USE_PERCENT:
        attempt.metered_use = metered_use
    attempt.load_report = parse_load_report(load_report)
    return _OK
