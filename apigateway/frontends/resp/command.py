"""Parse a client's command into the core's request and the message that hosts are sent.

A command is `API.READ CUSTOMER ID FIELDS` or `API.WRITE CUSTOMER ID FIELDS BODY` (the platform's protocol
page), its fields `NAME=VALUE` with commas between. A host is sent the same command with the `d` of its
attempt.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import MAX_REQUEST_TIMEOUT_S, RESPONSE_MARGIN_S
from apigateway.upstream.framing import MAX_BODY_BYTES, encode_bulk_string

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"

# The place of a command's fields among its parts, and of a write's body.
FIELDS_PART = 3
BODY_PART = 4

# Names of fields on the wire.
CLASS_FIELD = b"c"
PLAN_FIELD = b"t"
WAIT_MS_FIELD = b"d"  # how long whoever sent the command waits for the answer
UNITS_FIELD = b"units"
SPREAD_FIELD = b"spread"
FIRST_GATEWAY_FIELD = b"first"
IDEMPOTENCY_KEY_FIELD = b"k"
RETRY_FIELD = b"r"

# Fields whose parsed form is cached; past it all are forgotten together.
MAX_CACHED_FIELDS = 512
# Longer ones are parsed each time, so that the cache is bounded in bytes too.
MAX_CACHED_FIELDS_BYTES = 256

# Bound once: each command is checked against them.
_KEYED = messages.Idempotency.KEYED
_SAFE = messages.Idempotency.SAFE
_MAX_CUSTOMERS = 2**33  # customer numbers are below it
_WAIT_PREFIX = b"," + WAIT_MS_FIELD + b"="
_WAIT_VALUE_OFFSET = len(_WAIT_PREFIX) - 1  # the comma was put before the first field
_IDEMPOTENCY_KEY_PREFIX = IDEMPOTENCY_KEY_FIELD + b"="
# The protocol's forms: int() and float() take blanks, signs, `1_0`, `0x1` and more besides.
_INTEGER = re.compile(rb"[0-9]{1,9}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_NAME = re.compile(rb"[!-~]{1,64}")  # ids and idempotency keys


class InvalidCommandError(Exception):
    """A command cannot be taken; the text is what its client is told."""


class CommandFields(NamedTuple):
    """The fields of a command, checked. Many commands have the same, so some are cached."""

    service_class: str
    plan: str
    wait: float  # seconds that the client waits
    units: float
    first_gateway: int
    gateway_spread: int
    is_retry: bool


# By whether the command is a write, and its fields as they came.
FieldsCache = dict[tuple[bool, bytes], CommandFields]


class UpstreamCommand:
    """What hosts are sent: the command as the client sent it, but for its `d`."""

    __slots__ = ("parts", "body_size")

    def __init__(self, parts: list[bytes]) -> None:
        self.parts = parts
        self.body_size = len(parts[-1])  # bytes; of a read those of its fields, which it holds as well

    def encode(self, remaining: float) -> bytes:
        """Return the message of an attempt that is waited for `remaining` seconds."""
        fields = self.parts[FIELDS_PART]
        start = (b"," + fields).index(_WAIT_PREFIX) + _WAIT_VALUE_OFFSET
        end = fields.find(b",", start)
        rest = fields[end:] if end >= 0 else b""
        fields = b"%s%d%s" % (fields[:start], max(1, int(remaining * 1000)), rest)
        verb, customer, request_id = self.parts[:FIELDS_PART]
        body = encode_bulk_string(self.parts[BODY_PART]) if len(self.parts) > BODY_PART else b""
        return b"*%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n%s" % (
            len(self.parts),
            len(verb),
            verb,
            len(customer),
            customer,
            len(request_id),
            request_id,
            len(fields),
            fields,
            body,
        )


def parse_command(
    settings: messages.Settings, command: object, cache: FieldsCache, group_size: int = 1
) -> tuple[messages.Request, UpstreamCommand]:
    """Check a command and return its request and what hosts are sent.

    Args:
        settings: Classes, plans and bounds.
        command: A message as `Framing` gave it.
        cache: Fields that were checked before, by the same settings; more are added.
        group_size: Gateways that clients know as one, so that `first` and `spread` count that many each.

    Raises:
        InvalidCommandError: It cannot be taken.
    """
    if not isinstance(command, list):
        raise InvalidCommandError("not an array of bulk strings")
    for part in command:
        if type(part) is not bytes:
            raise InvalidCommandError("not an array of bulk strings")
    verb = command[0] if command else b""
    is_write = verb == WRITE_VERB
    if not is_write and verb != READ_VERB:
        raise InvalidCommandError("unknown command")
    if len(command) != BODY_PART + is_write:
        raise InvalidCommandError("wrong number of arguments")
    if is_write and len(command[BODY_PART]) > MAX_BODY_BYTES:
        raise InvalidCommandError("body too long")
    return _parse_request(settings, command, is_write, cache, group_size), UpstreamCommand(command)


def parse_integer(text: bytes) -> int:
    """Parse a whole number of the protocol. Raises ValueError."""
    if not _INTEGER.fullmatch(text):
        raise ValueError("not a whole number")
    return int(text)


def parse_decimal(text: bytes) -> float:
    """Parse a decimal number of the protocol. Raises ValueError."""
    if not _DECIMAL.fullmatch(text):
        raise ValueError("not a number")
    return float(text)


def _parse_request(
    settings: messages.Settings, command: list[bytes], is_write: bool, cache: FieldsCache, group_size: int
) -> messages.Request:
    _, customer, request_id, text = command[:BODY_PART]
    if not (
        _CUSTOMER.fullmatch(customer) and int(customer, 16) < _MAX_CUSTOMERS and _NAME.fullmatch(request_id)
    ):
        raise InvalidCommandError("odd customer or id")
    key = (is_write, text)
    fields = cache.get(key)
    if fields is None:
        fields = _parse_fields(settings, text, is_write, group_size)
        # An idempotency key is of one request: its fields do not come again.
        if _IDEMPOTENCY_KEY_PREFIX not in text and len(text) < MAX_CACHED_FIELDS_BYTES:
            if len(cache) >= MAX_CACHED_FIELDS:
                cache.clear()
            cache[key] = fields
    service_class, plan, wait, units, first_gateway, gateway_spread, is_retry = fields
    return messages.Request(
        request_id.decode(),
        wait - RESPONSE_MARGIN_S,
        customer.decode().lower(),
        plan,
        service_class,
        units,
        first_gateway,
        gateway_spread,
        is_retry,
        is_write,
    )


def _parse_fields(settings: messages.Settings, text: bytes, is_write: bool, group_size: int) -> CommandFields:
    """Parse and check a command's fields. Raises InvalidCommandError."""
    pairs = [field.split(b"=", 1) for field in text.split(b",")]
    try:
        fields: dict[bytes, bytes] = dict(pairs)  # a field without `=` raises
        service_class = settings.classes.get(fields[CLASS_FIELD].decode())
        plan = fields[PLAN_FIELD].decode()
        wait = parse_integer(fields[WAIT_MS_FIELD]) / 1000
        units = parse_decimal(fields[UNITS_FIELD])
        gateway_spread = parse_integer(fields[SPREAD_FIELD])
        first_gateway = parse_integer(fields[FIRST_GATEWAY_FIELD])
    except (KeyError, ValueError) as error:
        raise InvalidCommandError("missing or odd field") from error
    if len(fields) != len(pairs):
        raise InvalidCommandError("a field twice")
    if service_class is None or plan not in settings.plans:
        raise InvalidCommandError("unknown class or plan")
    _check_effect(service_class, fields, is_write)
    gateways = settings.gateway_count // group_size
    if not (
        0 < units <= settings.max_units
        and 1 <= gateway_spread <= gateways
        and first_gateway < gateways
        and wait <= MAX_REQUEST_TIMEOUT_S
    ):
        raise InvalidCommandError("field out of range")
    return CommandFields(
        service_class.name,
        plan,
        wait,
        units,
        first_gateway * group_size,
        gateway_spread * group_size,
        fields.get(RETRY_FIELD) == b"1",
    )


def _check_effect(service_class: messages.ServiceClass, fields: dict[bytes, bytes], is_write: bool) -> None:
    """Check that a class goes with the verb, and has its idempotency key if it needs one."""
    is_key_missing = service_class.idempotency == _KEYED and not _NAME.fullmatch(
        fields.get(IDEMPOTENCY_KEY_FIELD, b"")
    )
    if is_write == (service_class.idempotency == _SAFE) or is_key_missing:
        raise InvalidCommandError("class does not go with this command")
