"""The bytes that hosts and clients exchange, in RESP2."""

from __future__ import annotations

Command = list[bytes]

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
BUSY = b"-BUSY\r\n"
ERROR = b"-ERR failed\r\n"
MALFORMED = b"?what\r\n*-7\r\n"
PONG = b"+PONG\r\n"

FIELDS_INDEX = 3  # of a command's fields


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def fields(command: Command) -> dict[str, str]:
    """Return the names and values of a command's `c=read,t=p,...`; none where there are none."""
    try:
        return dict(pair.split("=", 1) for pair in command[FIELDS_INDEX].decode().split(","))
    except (IndexError, ValueError):
        return {}
