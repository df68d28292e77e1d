"""The ABI of WebAssembly modules, version 1: encodes their input and decodes their output, without I/O.

docs/operate/plugin-abi.md describes the complete ABI.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from apigateway.plugins.interfaces import FailureReason, Outcome, Phase, PluginError, Proposal, RequestView

ABI_VERSION = 1
IMPORT_MODULE = "calicomast"  # WebAssembly module name of all imports
VERSION_GLOBAL = "calicomast_abi"
INPUT_ADDRESS_GLOBAL = "calicomast_input"
INPUT_SIZE_GLOBAL = "calicomast_input_size"

MIN_INPUT_BYTES = 2048  # of the memory that a module reserves for its input
MAX_OUTPUT_BYTES = 65_536  # of the text that a call returns
MAX_STATE_BYTES = 1024 * 1024  # of the state that a module saves
MAX_OUTPUT_LINES = 1000

PHASE_EXPORTS = {
    Phase.REQUEST: "on_request",
    Phase.ATTEMPT: "on_attempt",
    Phase.ANSWER: "on_answer",
    Phase.TICK: "on_tick",
}

FLAG_WRITE = 1
FLAG_RETRY = 2
FLAG_TAGS_CUT = 4  # the tags did not fit and were left out

# version, phase, now, remaining, units, elapsed, flags, attempt, outcome, 0
_HEADER = struct.Struct("<II4dIII I")
_STRING_COUNT = 8  # (address, length) pairs: id, customer, plan, class, endpoint, route, tags, reserved
_STRING_TABLE = struct.Struct(f"<{2 * _STRING_COUNT}I")
_STRINGS_OFFSET = _HEADER.size + _STRING_TABLE.size  # 120
_PHASE_NUMBERS = {Phase.REQUEST: 1, Phase.ATTEMPT: 2, Phase.ANSWER: 3, Phase.TICK: 4}
_OUTCOME_NUMBERS: dict[str, int] = {
    "": 0,
    Outcome.COMPLETED: 1,
    Outcome.REJECTED: 2,
    Outcome.FAILED: 3,
    Outcome.DISCONNECTED: 4,
}
_U32_MASK = 0xFFFF_FFFF
_U64_MASK = 0xFFFF_FFFF_FFFF_FFFF


class MemorySlice(NamedTuple):
    """A range of a module's memory; the address and the length are in bytes."""

    address: int
    length: int


def encode_input(phase: Phase, view: RequestView, address: int, max_size: int) -> bytearray:
    """Return the input of a call, which is written to the module's memory at `address`.

    If it would be longer than `max_size` bytes, the tags are left out and FLAG_TAGS_CUT is set. Raises
    PluginError if it is too long without them.
    """
    flags = FLAG_WRITE * view.is_write | FLAG_RETRY * view.is_retry
    texts = (
        view.request_id,
        view.customer,
        view.plan,
        view.service_class,
        view.endpoint_id,
        view.route,
        "".join([f"{key}={value}\n" for key, value in view.tags.items()]),
    )
    strings = [text.encode("utf-8", "replace") for text in texts]
    size = _STRINGS_OFFSET + sum(map(len, strings))
    if size > max_size:
        size -= len(strings[-1])
        strings[-1] = b""
        flags |= FLAG_TAGS_CUT
        if size > max_size:
            raise PluginError(
                FailureReason.INVALID_DATA, f"the input has {size} bytes, the module reserves {max_size}"
            )
    header = _HEADER.pack(
        ABI_VERSION,
        _PHASE_NUMBERS[phase],
        view.now,
        view.remaining,
        view.units,
        view.elapsed,
        flags,
        view.attempt,
        _OUTCOME_NUMBERS[view.outcome],
        0,
    )
    table = _encode_string_table(strings, address + _STRINGS_OFFSET)
    return bytearray(b"".join((header, table, *strings)))


def _encode_string_table(strings: list[bytes], address: int) -> bytes:
    """Return the encoded address and length of each string; the first string is at `address`."""
    entries: list[int] = []
    for string in strings:
        entries += (address, len(string))
        address += len(string)
    entries += [0] * (2 * _STRING_COUNT - len(entries))
    return _STRING_TABLE.pack(*entries)


def decode_pointer(packed: int, memory_size: int, max_length: int) -> MemorySlice:
    """Return the memory range of a call's result. Raises PluginError if it is too long or out of bounds."""
    packed &= _U64_MASK
    address = packed >> 32
    length = packed & _U32_MASK
    if address + length > memory_size:
        raise PluginError(
            FailureReason.INVALID_DATA,
            f"{length} bytes at {address}, outside of the memory of {memory_size} bytes",
        )
    if length > max_length:
        raise PluginError(
            FailureReason.INVALID_DATA, f"{length} bytes of text, at most {max_length} are allowed"
        )
    return MemorySlice(address, length)


def decode_proposals(raw: bytes) -> list[Proposal]:
    """Parse lines of the forms `tag KEY VALUE`, `refuse SECONDS` and `route NAME` into proposals.

    Other lines become proposals too, so that they are counted as denied. Raises PluginError if the text is
    not UTF-8.
    """
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as err:
        raise PluginError(FailureReason.INVALID_DATA, f"the output is not UTF-8 (byte {err.start})") from err
    lines = text.split("\n", MAX_OUTPUT_LINES)[:MAX_OUTPUT_LINES]
    return [_decode_line(line) for line in lines if line]


def _decode_line(line: str) -> Proposal:
    verb, _, rest = line.partition(" ")
    if verb != "tag":
        return Proposal(verb, rest)
    key, _, value = rest.partition(" ")
    return Proposal(verb, key, value)
