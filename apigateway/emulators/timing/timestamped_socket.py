"""A socket that tells when the bytes it returns arrived, however late they are read.

The kernel notes the time at which a segment arrives (SO_TIMESTAMPNS, socket(7)). Where it does not, bytes
count as arrived when they are read.
"""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import hiredis

# Of Linux's `struct tcp_info`: the state, then `tcpi_last_data_recv`, of the last segment with data, and
# `tcpi_last_ack_recv`, of the last one of any kind. Both are ages in milliseconds.
_TCP_INFO = struct.Struct("@B51xII")
_TCP_CLOSE_WAIT = 8  # the peer has ended its side
# Of Linux; the socket module does not name it. The control message has the same number.
SO_TIMESTAMPNS = 35
MAX_READ_BYTES = 1 << 16
_TIMESPEC = struct.Struct("@ll")  # seconds and nanoseconds of CLOCK_REALTIME
_CONTROL_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)
# Of Linux; the time module does not name it. It tells the time of the last tick of the kernel, which also
# counts the ages of `struct tcp_info`.
_CLOCK_MONOTONIC_COARSE = 6
# How long the last tick may have been ago when data arrived: two ticks of 4 ms, as a tick may be late.
MAX_TICK_AGE_S = 0.008
_NANOSECONDS = 1e-9
_MILLISECONDS = 1e-3


class ReceivedBytes(NamedTuple):
    """Bytes from a socket."""

    data: bytes  # empty at the end of the stream
    arrived_at: float  # when the last of them arrived, by `time.monotonic`


class ReceivedReply(NamedTuple):
    """A reply from a socket."""

    value: Any
    arrived_at: float  # when its last byte arrived, by `time.monotonic`
    # Whether later replies or the connection's end had come before it was read. The kernel merges them, and
    # tells the time of the last one.
    is_merged: bool


class _TcpInfo(NamedTuple):
    """A TCP socket's state, and how long ago it received its last segment with data and its last one."""

    state: int
    data_age_s: float
    segment_age_s: float


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


def peer_closed_at(sock: socket.socket) -> float:
    """Return when a TCP socket's peer ended its side, by `time.monotonic`; NaN if it has not.

    If bytes were sent since then, it is when the peer's last answer to them arrived. A reset leaves no time:
    NaN.
    """
    try:
        info = _tcp_info(sock)
    except (OSError, ValueError):  # this side is closed
        return math.nan
    return time.monotonic() - info.segment_age_s if info.state == _TCP_CLOSE_WAIT else math.nan


def last_data_at(sock: socket.socket) -> float:
    """Return when the last data of a TCP socket's peer arrived, by `time.monotonic`; now if it is closed.

    Of the times that the kernel's ticks leave open it is the latest one. Data that one socket gets in
    consequence of what another one got would else seem to have arrived before that.
    """
    try:
        age_s = _tcp_info(sock).data_age_s
    except (OSError, ValueError):
        return time.monotonic()
    tick_at = time.clock_gettime(_CLOCK_MONOTONIC_COARSE) - age_s  # the last tick before the arrival
    return min(time.monotonic(), tick_at + MAX_TICK_AGE_S)


def _tcp_info(sock: socket.socket) -> _TcpInfo:
    data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    state, data_age_ms, segment_age_ms = _TCP_INFO.unpack(data)
    return _TcpInfo(state, data_age_ms * _MILLISECONDS, segment_age_ms * _MILLISECONDS)


class ReplyReader:
    """Reads the RESP2 replies of a socket in the running event loop.

    Args:
        sock: A connected, non-blocking socket.
        on_reply: Called with each reply.
        on_ended: Called once the peer has closed or reset the connection, with the time of that; the socket
            stays open. A reset leaves no time, and counts as of when it is read.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_reply: Callable[[ReceivedReply], None],
        on_ended: Callable[[float], None],
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
            self._on_ended(time.monotonic())
            return
        if not received.data:
            closed_at = peer_closed_at(self._socket)
            self._on_ended(time.monotonic() if math.isnan(closed_at) else closed_at)
            return
        self._parser.feed(received.data)
        has_ended = not math.isnan(peer_closed_at(self._socket))
        reply = self._parser.gets()
        while reply is not ...:
            next_reply = self._parser.gets()
            is_merged = has_ended or next_reply is not ...
            self._on_reply(ReceivedReply(reply, received.arrived_at, is_merged))
            reply = next_reply
