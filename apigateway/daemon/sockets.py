"""Listening sockets: bound here, or passed in by a service manager (LISTEN_FDS, sd_listen_fds(3))."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable, Mapping

from apigateway.upstream.address import Address, write_address

FIRST = 3  # descriptor of the first socket that is passed in


def bind(address: Address) -> socket.socket:
    """Bound but not listening: connections come only once someone accepts them. Raises OSError, which names
    the address."""
    host, port = address
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        if port:  # two sockets may be bound to a port while neither listens: ask now, not once all is built
            sock.listen(1024)
    except OSError as err:
        sock.close()
        raise OSError(err.errno, f"{write_address(address)}: {os.strerror(err.errno or 0)}") from err
    return sock


def passed(env: Mapping[str, str] = os.environ) -> list[socket.socket]:
    """The sockets that were passed to this process; none if they are meant for another."""
    count, pid = env.get("LISTEN_FDS", ""), env.get("LISTEN_PID", "")
    if not count.isdecimal() or pid != str(os.getpid()):
        return []
    sockets = []
    for number in range(FIRST, FIRST + int(count)):
        os.set_inheritable(number, False)
        sock = socket.socket(fileno=number)
        sock.setblocking(False)
        sockets.append(sock)
    return sockets


def named(sockets: Iterable[socket.socket], wanted: Iterable[Address]) -> dict[Address, socket.socket]:
    """Which socket is which listener's, by its address. Raises ValueError if one is nobody's: a listener that
    a manager holds open and nobody serves would take connections and leave them."""
    wanted = list(wanted)
    found: dict[Address, socket.socket] = {}
    for sock in sockets:
        address: Address = sock.getsockname()[:2]
        if address not in wanted:
            raise ValueError(f"a socket at {write_address(address)} was passed in, which is no listener's")
        found[address] = sock
    return found
