"""Parse a client command into a request for the core and a command for hosts.

A command is `API.READ CUSTOMER ID FIELDS` or `API.WRITE CUSTOMER ID FIELDS BODY` (see the protocol
description of the platform). FIELDS is a comma-separated list of `NAME=VALUE`. Hosts receive the same
command, with the timeout `d` set for each attempt.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import MAX_REQUEST_TIMEOUT_S, RESPONSE_MARGIN_S
from apigateway.upstream.framing import MAX_BODY_BYTES, encode_bulk_string

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"

# The indexes of the fields and of the body of a write in a command.
FIELDS_PART = 3
BODY_PART = 4

# Memory of a request in flight without the text of its command, rounded up.
REQUEST_BYTES = 4096

# Field names on the wire.
CLASS_FIELD = b"c"
PLAN_FIELD = b"t"
TIMEOUT_MS_FIELD = b"d"  # how long the sender of the command waits for the response
UNITS_FIELD = b"units"
SPREAD_FIELD = b"spread"
FIRST_GATEWAY_FIELD = b"first"
IDEMPOTENCY_KEY_FIELD = b"k"
RETRY_FIELD = b"r"

# Maximum number of cached parsed fields. The oldest leave first.
MAX_CACHED_FIELDS = 512
# Longer fields are not cached, which limits the memory of the cache.
MAX_CACHED_FIELDS_BYTES = 256
# Fields of a command; the protocol has eight. More would take long to parse.
MAX_FIELDS = 64

# Module globals, because every command is checked against them and an enum member is slower to look up on its
# class.
_KEYED = messages.Idempotency.KEYED
_SAFE = messages.Idempotency.SAFE
_MAX_CUSTOMERS = 2**33  # customer numbers are below this
_TIMEOUT_PREFIX = b"," + TIMEOUT_MS_FIELD + b"="
_TIMEOUT_VALUE_OFFSET = len(_TIMEOUT_PREFIX) - 1  # `encode` searches with a comma before the first field
_IDEMPOTENCY_KEY_PREFIX = IDEMPOTENCY_KEY_FIELD + b"="
# The number formats of the protocol. int() and float() accept more, such as blanks, signs, `1_0` and `0x1`.
_INTEGER = re.compile(rb"[0-9]{1,9}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_IDENTIFIER = re.compile(rb"[!-~]{1,64}")  # ids and idempotency keys


class InvalidCommandError(Exception):
    """A command is invalid. The text is sent to the client."""


class CommandFields(NamedTuple):
    """The validated fields of a command. They are cached, because many commands have equal fields."""

    service_class: str
    plan: str
    timeout: float  # seconds
    units: float
    first_gateway: int
    gateway_spread: int
    is_retry: bool


# Keyed by whether the command is a write, and by the raw fields.
FieldsCache = dict[tuple[bool, bytes], CommandFields]


class UpstreamCommand:
    """The command for hosts: the client's command with another timeout `d`."""

    __slots__ = ("parts", "size_bytes")

    def __init__(self, parts: list[bytes]) -> None:
        self.parts = parts
        self.size_bytes = REQUEST_BYTES + sum(map(len, parts))

    def encode(self, remaining: float) -> bytes:
        """Encode the command for an attempt with a timeout of `remaining` seconds."""
        fields = self.parts[FIELDS_PART]
        start = (b"," + fields).index(_TIMEOUT_PREFIX) + _TIMEOUT_VALUE_OFFSET
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
    settings: messages.Settings,
    command: object,
    cache: FieldsCache,
    group_size: int = 1,
    waited_s: float = 0.0,
) -> tuple[messages.Request, UpstreamCommand]:
    """Validate a command and return its request and the command for hosts.

    Args:
        settings: The classes, plans and limits.
        command: A message parsed by `Framing`.
        cache: Fields that were validated with the same settings; it is updated.
        group_size: The number of gateways that clients see as one. `first` and `spread` count such groups.
        waited_s: How long the command may have waited, of the time that its client waits.

    Raises:
        InvalidCommandError: The command is invalid.
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
    request = _parse_request(settings, command, is_write, cache, group_size, waited_s)
    return request, UpstreamCommand(command)


def parse_integer(text: bytes) -> int:
    """Parse an integer in the format of the protocol. Raises ValueError."""
    if not _INTEGER.fullmatch(text):
        raise ValueError("not an integer")
    return int(text)


def parse_decimal(text: bytes) -> float:
    """Parse a decimal number in the format of the protocol. Raises ValueError."""
    if not _DECIMAL.fullmatch(text):
        raise ValueError("not a decimal number")
    return float(text)


def _parse_request(
    settings: messages.Settings,
    command: list[bytes],
    is_write: bool,
    cache: FieldsCache,
    group_size: int,
    waited_s: float,
) -> messages.Request:
    _, customer, request_id, text = command[:BODY_PART]
    if not (
        _CUSTOMER.fullmatch(customer)
        and int(customer, 16) < _MAX_CUSTOMERS
        and _IDENTIFIER.fullmatch(request_id)
    ):
        raise InvalidCommandError("odd customer or id")
    key = (is_write, text)
    fields = cache.get(key)
    if fields is None:
        fields = _parse_fields(settings, text, is_write, group_size)
        # Fields with an idempotency key belong to a single request, so caching them is useless.
        if _IDEMPOTENCY_KEY_PREFIX not in text and len(text) < MAX_CACHED_FIELDS_BYTES:
            if len(cache) >= MAX_CACHED_FIELDS:
                del cache[next(iter(cache))]  # the oldest
            cache[key] = fields
    service_class, plan, timeout, units, first_gateway, gateway_spread, is_retry = fields
    return messages.Request(
        request_id.decode(),
        timeout - RESPONSE_MARGIN_S - waited_s,
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
    """Parse and validate the fields of a command. Raises InvalidCommandError."""
    if text.count(b",") >= MAX_FIELDS:
        raise InvalidCommandError("too many fields")
    pairs = [field.split(b"=", 1) for field in text.split(b",")]
    try:
        fields: dict[bytes, bytes] = dict(pairs)  # a field without `=` raises
        service_class = settings.classes.get(fields[CLASS_FIELD].decode())
        plan = fields[PLAN_FIELD].decode()
        timeout = parse_integer(fields[TIMEOUT_MS_FIELD]) / 1000
        units = parse_decimal(fields[UNITS_FIELD])
        gateway_spread = parse_integer(fields[SPREAD_FIELD])
        first_gateway = parse_integer(fields[FIRST_GATEWAY_FIELD])
    except (KeyError, ValueError) as error:
        raise InvalidCommandError("missing or odd field") from error
    if len(fields) != len(pairs):
        raise InvalidCommandError("a field twice")
    if service_class is None or plan not in settings.plans:
        raise InvalidCommandError("unknown class or plan")
    _check_idempotency(service_class, fields, is_write)
    gateways = settings.gateway_count // group_size
    if not (
        0 < units <= settings.max_units
        and 1 <= gateway_spread <= gateways
        and first_gateway < gateways
        and timeout <= MAX_REQUEST_TIMEOUT_S
    ):
        raise InvalidCommandError("field out of range")
    return CommandFields(
        service_class.name,
        plan,
        timeout,
        units,
        first_gateway * group_size,
        gateway_spread * group_size,
        fields.get(RETRY_FIELD) == b"1",
    )


def _check_idempotency(
    service_class: messages.ServiceClass, fields: dict[bytes, bytes], is_write: bool
) -> None:
    """Check that a class matches the verb, and that it has its idempotency key if it requires one.

    Raises InvalidCommandError.
    """
    is_key_missing = service_class.idempotency == _KEYED and not _IDENTIFIER.fullmatch(
        fields.get(IDEMPOTENCY_KEY_FIELD, b"")
    )
    if is_write == (service_class.idempotency == _SAFE) or is_key_missing:
        raise InvalidCommandError("class does not go with this command")
