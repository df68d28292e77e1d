"""The requests that clients send to gateways, and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import hiredis

from apigateway.emulators.resp import bulk

REJECTION = "BUSY"  # first word of the error for a rejected request; the second is a wait in ms


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client.

    Attributes:
        customer: The customer's id, 16 hex digits.
        effect: "safe", "keyed" or "unsafe".
        timeout_s: How long the client waits for the answer.
        gateway_count: How many consecutive gateways, from `first_gateway` on, may receive it.
        is_retry: Whether it is a retry.
    """

    id: str
    customer: str
    plan: str
    service_class: str
    effect: str
    timeout_s: float
    units: float = 1.0
    gateway_count: int = 1
    first_gateway: int = 0
    is_retry: bool = False

    def encode(self) -> bytes:
        """Return the request as a RESP command."""
        is_write = self.effect != "safe"
        parts = [
            b"API.WRITE" if is_write else b"API.READ",
            self.customer.encode(),
            self.id.encode(),
            self._fields().encode(),
        ]
        if is_write:
            parts.append(b"BODY")
        return b"*%d\r\n%s" % (len(parts), b"".join(bulk(part) for part in parts))

    def _fields(self) -> str:
        text = (
            f"c={self.service_class},t={self.plan},d={int(self.timeout_s * 1000)},units={self.units:g},"
            f"spread={self.gateway_count},first={self.first_gateway}"
        )
        if self.effect == "keyed":
            text += f",k={self.id}"
        if self.is_retry:
            text += ",r=1"
        return text


class ResultKind(StrEnum):
    """The result of a request for its client."""

    SERVED = "served"
    REFUSED = "refused"  # not executed, so a retry is safe
    FAILED = "failed"
    LOST = "lost"  # the connection ended, or no answer came in time
    UNREACHABLE = "unreachable"  # never sent


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request for its client: a `ResultKind`, and the value if it was served."""

    kind: str
    value: bytes = b""
    retry_after_s: float = 0.0  # only set for refused requests


def parse_answer(reply: Any) -> Answer:
    """Return the answer that a reply parsed by hiredis represents."""
    if isinstance(reply, bytes):
        return Answer(ResultKind.SERVED, reply)
    words = str(reply).split()
    if isinstance(reply, hiredis.ReplyError) and words[0] == REJECTION:
        wait_s = int(words[1]) / 1000 if len(words) > 1 else 0.0
        return Answer(ResultKind.REFUSED, b"", wait_s)
    return Answer(ResultKind.FAILED)
