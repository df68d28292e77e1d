"""What clients send to gateways and what comes back."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import hiredis

from apigateway.emulators.resp import bulk

REJECTION = "BUSY"  # the first word of an error that rejects a request; the second is a wait in ms


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request.

    Attributes:
        customer: 16 hex digits.
        effect: "safe", "keyed" or "unsafe".
        timeout_s: Seconds that its client waits.
        gateway_count: So many gateways in a row from `first_gateway` on may get it.
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
        """Return the command."""
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
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # it was not executed; trying again is harmless
    FAILED = "failed"
    LOST = "lost"  # the connection ended or nothing came
    UNREACHABLE = "unreachable"  # it was never sent


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended for its client, a `ResultKind`, and what came back."""

    kind: str
    value: bytes = b""
    retry_after_s: float = 0.0  # s, with a refusal


def parse_answer(reply: Any) -> Answer:
    """Return what a reply, as hiredis gives it, says."""
    if isinstance(reply, bytes):
        return Answer(ResultKind.SERVED, reply)
    words = str(reply).split()
    if isinstance(reply, hiredis.ReplyError) and words[0] == REJECTION:
        wait_s = int(words[1]) / 1000 if len(words) > 1 else 0.0
        return Answer(ResultKind.REFUSED, b"", wait_s)
    return Answer(ResultKind.FAILED)
