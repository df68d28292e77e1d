"""Take over sockets, lock and endpoint list from a running gateway."""

from __future__ import annotations

import os
import socket
from collections.abc import Collection
from typing import NamedTuple

from apigateway import messages
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.handover_successor import HandoverSuccessor
from apigateway.daemon.lock import StateFolderLock
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.upstream.address import Address, format_address

HANDOVER_SOCKET = "handover"  # in the state folder


class InheritedResources(NamedTuple):
    """Resources received from a predecessor.

    Attributes:
        sockets: Listening sockets by address.
        lock: Lock of the state folder.
        listing: The predecessor's endpoint list; None if it had none.
    """

    sockets: dict[Address, socket.socket]
    lock: StateFolderLock
    listing: EndpointListing | None


def handover_path(state_folder: str) -> str:
    """Return the path of the Unix socket that gateways use for hand-overs."""
    return os.path.join(state_folder, HANDOVER_SOCKET)


def create_successor(state_folder: str) -> HandoverSuccessor:
    """Return the successor's side of a hand-over.

    Raises:
        HandoverError: The settings name no state folder, so no predecessor can be found.
    """
    if not state_folder:
        raise HandoverError("daemon.state is not set, so no running gateway to take over from can be found")
    return HandoverSuccessor(handover_path(state_folder))


async def inherit_resources(
    successor: HandoverSuccessor, state_folder: str, listeners: Collection[Address]
) -> InheritedResources:
    """Receive the predecessor's resources, and close sockets for addresses not in `listeners`.

    Raises:
        HandoverError: There is no predecessor, or the predecessor is a supervisor.
    """
    offer = await successor.take_over()
    if "workers" in offer.state:
        for descriptor in offer.descriptors:
            os.close(descriptor)
        raise HandoverError("the running gateway has workers: use --workers, or restart it")
    *socket_descriptors, lock_descriptor = offer.descriptors
    sockets = [_open_socket(descriptor) for descriptor in socket_descriptors]
    lock = StateFolderLock(state_folder, lock_descriptor)
    listing = listing_from_json(offer.state, messages.ListMode.CACHED) if offer.state else None
    return InheritedResources(_match_by_name(offer.listeners, sockets, listeners), lock, listing)


def _open_socket(descriptor: int) -> socket.socket:
    sock = socket.socket(fileno=descriptor)
    sock.setblocking(False)
    return sock


def _match_by_name(
    names: list[str], sockets: list[socket.socket], listeners: Collection[Address]
) -> dict[Address, socket.socket]:
    address_by_name = {format_address(address): address for address in listeners}
    matched: dict[Address, socket.socket] = {}
    for name, sock in zip(names, sockets, strict=True):
        if name in address_by_name:
            matched[address_by_name[name]] = sock
        else:  # a listener that was removed from the settings
            sock.close()
    return matched
