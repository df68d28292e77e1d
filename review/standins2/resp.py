"""RESP2 messages as clients and hosts write and read them."""

from __future__ import annotations

import asyncio


class NotRespError(Exception):
    """The bytes are not a message of the protocol."""


def command(*parts: bytes) -> bytes:
    """Return a command: an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(bulk(part) for part in parts)


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def fields(text: bytes) -> dict[str, str]:
    """Return the names and values of a command's list."""
    return dict(pair.split("=", 1) for pair in text.decode().split(","))


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Return the next command; None at the end of the connection. Raises NotRespError."""
    line = await reader.readline()
    if not line:
        return None
    if not line.startswith(b"*"):
        raise NotRespError(line)
    parts = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        if not head.startswith(b"$"):
            raise NotRespError(head)
        data = await reader.readexactly(int(head[1:]) + 2)
        parts.append(data[:-2])
    return parts


async def read_reply(reader: asyncio.StreamReader) -> bytes | None:
    """Return a reply's first line without its end, or the data of a bulk string with `$` before it.

    None at the end of the connection, also within the reply.
    """
    try:
        line = await reader.readuntil(b"\r\n")
        if not line.startswith(b"$") or line == b"$-1\r\n":
            return line[:-2]
        return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    except asyncio.IncompleteReadError:
        return None
