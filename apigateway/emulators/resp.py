"""RESP2 messages between hosts and clients."""

from __future__ import annotations

Command = list[bytes]

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
BUSY = b"-BUSY\r\n"
ERROR = b"-ERR failed\r\n"
MALFORMED = b"?what\r\n*-7\r\n"
PONG = b"+PONG\r\n"

FIELDS_INDEX = 3  # position of the fields in a command


def bulk(data: bytes) -> bytes:
    """Return a RESP bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def fields(command: Command) -> dict[str, str]:
    """Return a command's fields (`c=read,t=p,...`) by name; empty if it has none."""
    try:
        return dict(pair.split("=", 1) for pair in command[FIELDS_INDEX].decode().split(","))
    except (IndexError, ValueError):
        return {}
