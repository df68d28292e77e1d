"""A command of a client to a request for the core and the message for hosts (the platform's protocol page).

`API.READ CUSTOMER ID TERMS` and `API.WRITE CUSTOMER ID TERMS BODY`; a host is sent the same with `d` anew.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import MAX_REQUEST_TIMEOUT_S, RESPONSE_MARGIN_S
from apigateway.upstream.framing import MAX_BODY_BYTES, bulk

# The protocol's forms: int() and float() take blanks, signs, `1_0`, `0x1` and more besides.
WHOLE, DECIMAL = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER, MOST_CUSTOMERS = re.compile(rb"[0-9a-fA-F]{16}"), 2**33
NAME = re.compile(rb"[!-~]{1,64}")  # ids and keys


class BadRequest(Exception):
    """Why a command cannot be taken."""


def whole(text: bytes) -> int:
    if not WHOLE.fullmatch(text):
        raise ValueError("not a whole number")
    return int(text)


def decimal(text: bytes) -> float:
    if not DECIMAL.fullmatch(text):
        raise ValueError("not a number")
    return float(text)


class Command:
    """What hosts are sent: the command as the client sent it, but for `d`. `size` in bytes."""

    __slots__ = ("parts", "body_size")

    def __init__(self, parts: list[bytes]) -> None:
        self.parts, self.body_size = parts, len(parts[-1])

    def encode(self, left: float) -> bytes:
        """`d` tells how long, in milliseconds, this attempt is waited for."""
        terms = self.parts[3]
        start = (b"," + terms).index(b",d=") + 2
        end = terms.find(b",", start)
        told = b"%s%d%s" % (terms[:start], max(1, int(left * 1000)), terms[end:] if end >= 0 else b"")
        verb, customer, name = self.parts[:3]
        body = bulk(self.parts[4]) if len(self.parts) > 4 else b""
        return b"*%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n%s" % (
            len(self.parts),
            len(verb),
            verb,
            len(customer),
            customer,
            len(name),
            name,
            len(told),
            told,
            body,
        )


def read_command(
    settings: messages.Settings, command: object, kept: Kept, span: int = 1
) -> tuple[messages.Request, Command]:
    """`kept`: terms that were checked before, by the same settings. `span`: gateways that clients know as
    one,
    so that `first` and `spread` tell so many times as many. Raises BadRequest."""
    if not isinstance(command, list):
        raise BadRequest("not an array of bulk strings")
    for part in command:
        if type(part) is not bytes:
            raise BadRequest("not an array of bulk strings")
    verb = command[0] if command else b""
    write = verb == b"API.WRITE"
    if not write and verb != b"API.READ":
        raise BadRequest("unknown command")
    if len(command) != 4 + write:
        raise BadRequest("wrong number of arguments")
    if write and len(command[4]) > MAX_BODY_BYTES:
        raise BadRequest("body too long")
    return read_request(settings, command, write, kept, span), Command(command)


class Terms(NamedTuple):
    """The terms of a command, checked. Many commands have the same, so some are kept."""

    cls: str
    plan: str
    left: float
    units: float
    first: int
    spread: int
    repeat: bool


KEPT_TERMS = 512  # of a front; past it they are forgotten together
Kept = dict[tuple[bool, bytes], Terms]


def read_request(
    settings: messages.Settings, command: list[bytes], write: bool, kept: Kept, span: int
) -> messages.Request:
    _, customer, name, told = command[:4]
    if not (CUSTOMER.fullmatch(customer) and int(customer, 16) < MOST_CUSTOMERS and NAME.fullmatch(name)):
        raise BadRequest("odd customer or id")
    key = (write, told)
    terms = kept.get(key)
    if terms is None:
        terms = read_terms(settings, told, write, span)
        if b"k=" not in told and len(told) < 256:  # a key is of one request
            if len(kept) >= KEPT_TERMS:
                kept.clear()
            kept[key] = terms
    cls, plan, left, units, first, spread, repeat = terms
    return messages.Request(
        name.decode(),
        left - RESPONSE_MARGIN_S,
        customer.decode().lower(),
        plan,
        cls,
        units,
        first,
        spread,
        repeat,
        write,
    )


def read_terms(settings: messages.Settings, terms: bytes, write: bool, span: int) -> Terms:
    """Raises BadRequest."""
    pairs = [term.split(b"=", 1) for term in terms.split(b",")]
    try:
        fields: dict[bytes, bytes] = dict(pairs)  # a pair that is none raises
        cls = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        left, units = whole(fields[b"d"]) / 1000, decimal(fields[b"units"])
        spread, first = whole(fields[b"spread"]), whole(fields[b"first"])
    except (KeyError, ValueError) as err:
        raise BadRequest("missing or odd field") from err
    if len(fields) != len(pairs):
        raise BadRequest("a field twice")
    if cls is None or plan not in settings.plans:
        raise BadRequest("unknown class or plan")
    keyless = cls.effect == "keyed" and not NAME.fullmatch(fields.get(b"k", b""))
    if write == (cls.effect == "safe") or keyless:
        raise BadRequest("class does not go with this command")
    gateways = settings.gateway_count // span
    if not (
        0 < units <= settings.max_units
        and 1 <= spread <= gateways
        and first < gateways
        and left <= MAX_REQUEST_TIMEOUT_S
    ):
        raise BadRequest("field out of range")
    return Terms(cls.name, plan, left, units, first * span, spread * span, fields.get(b"r") == b"1")
