"""Query the kernel directly for the state of a socket.

The kernel may hold data, connections or an end of stream that the event loop has not reported yet. Each
function is called before something is closed depending on the result.
"""

from __future__ import annotations

import fcntl
import math
import select
import socket
import struct
import termios
from typing import Protocol

# Of a listening socket the field tcpi_unacked of struct tcp_info holds the length of its queue.
_TCP_INFO_UNACKED_OFFSET = 24
_TCP_INFO_BYTES = 28
# The field tcpi_last_data_recv: milliseconds since data arrived last.
_TCP_INFO_LAST_DATA_OFFSET = 52
_TCP_INFO_LAST_DATA_BYTES = 56
# The kernel counts in ticks of up to this length.
_MAX_TICK_S = 0.01
_MILLISECONDS_PER_SECOND = 1000
_NO_BYTES = b"\0\0\0\0"  # result of FIONREAD, a C int, for an empty receive buffer


class SocketLike(Protocol):
    """An object with the file descriptor of a socket."""

    def fileno(self) -> int:
        """Return the socket's file descriptor."""


class SocketWithOptions(SocketLike, Protocol):
    """A socket whose options can be read."""

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes:
        """Return an option of at most `buflen` bytes."""


def has_pending_connection(listener: SocketLike) -> bool:
    """Return whether a connection waits to be accepted, which would be reset if the listener were closed."""
    return _poll(listener, select.POLLIN)


def pending_connection_count(listener: SocketWithOptions) -> int:
    """Return how many connections wait to be accepted; 0 if the platform does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < _TCP_INFO_BYTES:
        return 0
    (count,) = struct.unpack_from("I", info, _TCP_INFO_UNACKED_OFFSET)
    return int(count)


def data_age_s(sock: SocketWithOptions) -> float:
    """Return how many seconds ago data arrived last, at most; infinite if the platform does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_LAST_DATA_BYTES)
    except OSError:
        return math.inf
    if len(info) < _TCP_INFO_LAST_DATA_BYTES:
        return math.inf
    (age_ms,) = struct.unpack_from("I", info, _TCP_INFO_LAST_DATA_OFFSET)
    return float(age_ms) / _MILLISECONDS_PER_SECOND + _MAX_TICK_S


def is_closed_by_peer(sock: SocketLike) -> bool:
    """Return whether the peer has shut down its sending side or the connection, even with data unread."""
    return _poll(sock, select.POLLRDHUP)


def has_unread_data(sock: SocketLike) -> bool:
    """Return whether the receive buffer holds unread bytes."""
    return fcntl.ioctl(sock.fileno(), termios.FIONREAD, _NO_BYTES) != _NO_BYTES


def _poll(sock: SocketLike, events: int) -> bool:
    """Return whether any of `events` is set now; does not block."""
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))
