"""A socket that tells when the bytes it returns arrived, however late they are read.

The kernel notes the time at which a segment arrives (SO_TIMESTAMPNS, socket(7)). Where it does not, bytes
count as arrived when they are read.
"""

from __future__ import annotations

import socket
import struct
import time
from typing import NamedTuple

# Of Linux; the socket module does not name it. The control message has the same number.
SO_TIMESTAMPNS = 35
MAX_READ_BYTES = 1 << 16
_TIMESPEC = struct.Struct("@ll")  # seconds and nanoseconds of CLOCK_REALTIME
_CONTROL_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)
_NANOSECONDS = 1e-9


class ReceivedBytes(NamedTuple):
    """Bytes from a socket."""

    data: bytes  # empty at the end of the stream
    arrived_at: float  # when the last of them arrived, by `time.monotonic`


def enable_timestamps(sock: socket.socket) -> None:
    """Let the kernel note arrival times for `receive`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(sock: socket.socket) -> ReceivedBytes:
    """Read what a non-blocking socket holds; raises as `socket.recvmsg`."""
    data, control_messages, _, _ = sock.recvmsg(MAX_READ_BYTES, _CONTROL_BYTES)
    now = time.monotonic()
    for level, kind, content in control_messages:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(content) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(content)
            age = time.time() - seconds - nanoseconds * _NANOSECONDS
            return ReceivedBytes(data, now - max(0.0, age))
    return ReceivedBytes(data, now)
