"""What clients send to gateways and what comes back."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import hiredis

from apigateway.emulators.resp import bulk

REJECTION = "BUSY"  # the first word of an error that rejects a request; the second is a wait in ms


@dataclass(frozen=True, slots=True)
class Order:
    """One request.

    Attributes:
        customer: 16 hex digits.
        effect: "safe", "keyed" or "unsafe".
        wait: Seconds that its client waits.
        spread: So many gateways in a row from `first` on may get it.
        again: Whether it is a retry.
    """

    id: str
    customer: str
    plan: str
    cls: str
    effect: str
    wait: float
    units: float = 1.0
    spread: int = 1
    first: int = 0
    again: bool = False

    def message(self) -> bytes:
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
            f"c={self.cls},t={self.plan},d={int(self.wait * 1000)},units={self.units:g},"
            f"spread={self.spread},first={self.first}"
        )
        if self.effect == "keyed":
            text += f",k={self.id}"
        if self.again:
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
    come_again: float = 0.0  # s, with a refusal


def read_answer(reply: Any) -> Answer:
    """Return what a reply, as hiredis gives it, says."""
    if isinstance(reply, bytes):
        return Answer(ResultKind.SERVED, reply)
    words = str(reply).split()
    if isinstance(reply, hiredis.ReplyError) and words[0] == REJECTION:
        wait_s = int(words[1]) / 1000 if len(words) > 1 else 0.0
        return Answer(ResultKind.REFUSED, b"", wait_s)
    return Answer(ResultKind.FAILED)
