"""Open listening sockets, or adopt sockets passed in by a service manager (sd_listen_fds(3))."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable, Mapping

from apigateway.upstream.address import Address, format_address

FIRST_PASSED_DESCRIPTOR = 3  # SD_LISTEN_FDS_START: the first descriptor after standard error
LISTEN_BACKLOG = 1024  # connections that wait to be accepted


def bind_listener(address: Address) -> socket.socket:
    """Return a socket bound to this address.

    Raises:
        OSError: The address cannot be bound; the message contains the address.
    """
    host, port = address
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        if port:  # two sockets can bind the same port until one listens: detect a conflict now
            sock.listen(LISTEN_BACKLOG)
    except OSError as err:
        sock.close()
        raise OSError(err.errno, f"{format_address(address)}: {os.strerror(err.errno or 0)}") from err
    return sock


def sockets_from_service_manager(env: Mapping[str, str] = os.environ) -> list[socket.socket]:
    """Return the sockets passed in by LISTEN_FDS; none if LISTEN_PID is another process."""
    count = env.get("LISTEN_FDS", "")
    if not count.isdecimal() or env.get("LISTEN_PID", "") != str(os.getpid()):
        return []
    descriptors = range(FIRST_PASSED_DESCRIPTOR, FIRST_PASSED_DESCRIPTOR + int(count))
    return adopt_sockets(descriptors)


def adopt_sockets(descriptors: Iterable[int]) -> list[socket.socket]:
    """Return sockets for inherited descriptors, and keep child processes from inheriting them."""
    sockets = []
    for descriptor in descriptors:
        os.set_inheritable(descriptor, False)
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        sockets.append(sock)
    return sockets


def match_to_listeners(
    sockets: Iterable[socket.socket], listeners: Iterable[Address]
) -> dict[Address, socket.socket]:
    """Return the sockets by the listener address that each is bound to.

    Raises:
        ValueError: A socket belongs to no listener. The service manager holds it open, so it would accept
            connections that no process serves.
    """
    listener_addresses = list(listeners)
    matched: dict[Address, socket.socket] = {}
    for sock in sockets:
        address: Address = sock.getsockname()[:2]
        if address not in listener_addresses:
            raise ValueError(f"the socket passed in at {format_address(address)} belongs to no listener")
        matched[address] = sock
    return matched
