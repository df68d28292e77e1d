"""The ABI's bytes, version 1: what a module finds in its memory, and the text that it gives back. Pure.

docs/operate/plugin-abi.md has the whole ABI.
"""

from __future__ import annotations

import struct

from apigateway.plugins.interfaces import FailureReason, Outcome, Phase, PluginError, Proposal, RequestView

VERSION = 1
MODULE = "calicomast"  # of the imports
HEAD = struct.Struct("<II4dIII I")  # version, phase, now, left, units, elapsed, flags, attempt, outcome, 0
STRINGS = 8  # places of (address, length) behind the head: id, customer, plan, class, host, route, tags, none
TABLE = struct.Struct(f"<{2 * STRINGS}I")
START = HEAD.size + TABLE.size  # where the strings begin: 120
LEAST_INPUT = 2048  # bytes that a module keeps for it
MOST_OUTPUT = 65_536  # bytes of text of one call
MOST_STATE = 1024 * 1024  # bytes that are carried over
MOST_LINES = 1000
PHASE = {Phase.REQUEST: 1, Phase.ATTEMPT: 2, Phase.ANSWER: 3, Phase.TICK: 4}
EXPORT = {
    Phase.REQUEST: "on_request",
    Phase.ATTEMPT: "on_attempt",
    Phase.ANSWER: "on_answer",
    Phase.TICK: "on_tick",
}
OUTCOME: dict[str, int] = {"": 0, **{name: number for number, name in enumerate(Outcome, 1)}}
WRITE, REPEAT, CUT = 1, 2, 4  # flags


def pack(phase: Phase, view: RequestView, base: int, most: int) -> bytearray:
    """What is written at `base`, `most` bytes at most. Tags that do not fit are left out, with the flag CUT.
    Raises
    PluginError if even the rest does not."""
    flags = WRITE * view.is_write | REPEAT * view.is_retry
    parts = [
        text.encode("utf-8", "replace")
        for text in (
            view.request_id,
            view.customer,
            view.plan,
            view.service_class,
            view.endpoint_id,
            view.route,
        )
    ]
    parts.append("".join([f"{key}={value}\n" for key, value in view.tags.items()]).encode("utf-8", "replace"))
    size = START + sum(map(len, parts))
    if size > most:
        size -= len(parts[-1])
        parts[-1], flags = b"", flags | CUT
        if size > most:
            raise PluginError(
                FailureReason.NONSENSE, f"the request needs {size} bytes of input, it keeps {most}"
            )
    table, at = [], base + START
    for part in parts:
        table += [at, len(part)]
        at += len(part)
    table += [0] * (2 * STRINGS - len(table))
    head = HEAD.pack(
        VERSION,
        PHASE[phase],
        view.now,
        view.remaining,
        view.units,
        view.elapsed,
        flags,
        view.attempt,
        OUTCOME[view.outcome],
        0,
    )
    return bytearray(b"".join((head, TABLE.pack(*table), *parts)))


def where(packed: int, size: int, most: int) -> tuple[int, int]:
    """Address and length of what a call gave back. Raises PluginError where that is not in its memory."""
    packed &= 0xFFFF_FFFF_FFFF_FFFF
    address, length = packed >> 32, packed & 0xFFFF_FFFF
    if address + length > size:
        raise PluginError(FailureReason.NONSENSE, f"{length} bytes at {address} of a memory of {size}")
    if length > most:
        raise PluginError(FailureReason.NONSENSE, f"{length} bytes of text, {most} at most")
    return address, length


def proposals(raw: bytes) -> list[Proposal]:
    """Lines of `tag KEY VALUE`, `refuse SECONDS`, `route NAME`. What is none of these stays in, for it is
    counted.
    Raises PluginError if it is not UTF-8."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as err:
        raise PluginError(FailureReason.NONSENSE, f"its text is not UTF-8 (byte {err.start})") from err
    said = []
    for line in text.split("\n", MOST_LINES)[:MOST_LINES]:
        if line:
            verb, _, rest = line.partition(" ")
            one, _, two = rest.partition(" ") if verb == "tag" else (rest, "", "")
            said.append(Proposal(verb, one, two))
    return said
