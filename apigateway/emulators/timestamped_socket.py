"""A socket that tells when the bytes it returns arrived, however late they are read.

The kernel notes the time at which a segment arrives (SO_TIMESTAMPNS, socket(7)). Where it does not, bytes
count as arrived when they are read.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import hiredis

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


class ReplyReader:
    """Reads the RESP2 replies of a socket in the running event loop.

    Args:
        sock: A connected, non-blocking socket.
        on_reply: Called with each reply and the time at which its last byte arrived.
        on_ended: Called once the peer has closed or reset the connection; the socket stays open.
    """

    def __init__(
        self, sock: socket.socket, on_reply: Callable[[Any, float], None], on_ended: Callable[[], None]
    ) -> None:
        self._socket = sock
        self._on_reply = on_reply
        self._on_ended = on_ended
        self._parser = hiredis.Reader(notEnoughData=...)
        self._loop = asyncio.get_running_loop()
        enable_timestamps(sock)
        self._loop.add_reader(sock, self._on_readable)

    def stop(self) -> None:
        """Read no more."""
        self._loop.remove_reader(self._socket)

    def _on_readable(self) -> None:
        try:
            received = receive(self._socket)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._on_ended()
            return
        if not received.data:
            self._on_ended()
            return
        self._parser.feed(received.data)
        while (reply := self._parser.gets()) is not ...:
            self._on_reply(reply, received.arrived_at)
