"""Looks at sockets past the loop: what the system has taken and the loop has not told yet. Each is asked
where something is about to be closed over it."""

from __future__ import annotations

import fcntl
import select
import termios
from typing import Protocol


class Sock(Protocol):
    def fileno(self) -> int: ...


def polled(sock: Sock, events: int) -> bool:
    look = select.poll()
    look.register(sock.fileno(), events)
    return bool(look.poll(0))


def unaccepted(listener: Sock) -> bool:
    """Whether a connection waits to be accepted: a close of the listener would reset it."""
    return polled(listener, select.POLLIN)


def hung_up(sock: Sock) -> bool:
    """Whether the peer has ended its sending or the connection, behind what was not read yet."""
    return polled(sock, select.POLLRDHUP)


def unread(sock: Sock) -> bool:
    """Whether the socket holds bytes that were not read yet."""
    return fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0") != b"\0\0\0\0"
