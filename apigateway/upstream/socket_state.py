"""Ask the kernel for a socket's state, past the event loop.

The kernel may hold data, connections or an end of stream that the loop has not reported yet. Each function is
called where something is about to be closed because of the answer.
"""

from __future__ import annotations

import fcntl
import select
import termios
from typing import Protocol

_NO_BYTES = b"\0\0\0\0"  # FIONREAD's answer, a C int, for an empty receive buffer


class SocketLike(Protocol):
    """Anything with a file descriptor of a socket."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def has_pending_connection(listener: SocketLike) -> bool:
    """Tell whether a connection waits to be accepted: closing the listener would reset it."""
    return _poll(listener, select.POLLIN)


def is_closed_by_peer(sock: SocketLike) -> bool:
    """Tell whether the peer has shut down its sending side or the connection, behind any unread data."""
    return _poll(sock, select.POLLRDHUP)


def has_unread_data(sock: SocketLike) -> bool:
    """Tell whether the receive buffer holds bytes that were not read yet."""
    return fcntl.ioctl(sock.fileno(), termios.FIONREAD, _NO_BYTES) != _NO_BYTES


def _poll(sock: SocketLike, events: int) -> bool:
    """Tell whether one of `events` is set now, without waiting."""
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))
