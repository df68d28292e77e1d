"""Take over sockets, lock and endpoint list from the gateway that runs."""

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
    """What a predecessor passed on.

    Attributes:
        sockets: Listening, by address.
        lock: Of the state folder.
        known: The predecessor's endpoint list; None: it had none.
    """

    sockets: dict[Address, socket.socket]
    lock: StateFolderLock
    known: EndpointListing | None


def handover_path(state_folder: str) -> str:
    """Return the path of the Unix socket by which gateways hand over."""
    return os.path.join(state_folder, HANDOVER_SOCKET)


def create_successor(state_folder: str) -> HandoverSuccessor:
    """Return the successor's side of a hand-over.

    Raises:
        HandoverError: The settings name no state folder, so no predecessor can be found.
    """
    if not state_folder:
        raise HandoverError("daemon.state names no folder, so there is nobody to take over from")
    return HandoverSuccessor(handover_path(state_folder))


async def inherit_resources(
    successor: HandoverSuccessor, state_folder: str, listeners: Collection[Address]
) -> InheritedResources:
    """Take what the predecessor offers; sockets that are none of `listeners` are closed.

    Raises:
        HandoverError: There is no predecessor, or it is a supervisor with workers.
    """
    offer = await successor.take_over()
    if "workers" in offer.known:
        for descriptor in offer.descriptors:
            os.close(descriptor)
        raise HandoverError("what runs there has workers: say --workers, or restart it")
    *socket_descriptors, lock_descriptor = offer.descriptors
    sockets = [_open_socket(descriptor) for descriptor in socket_descriptors]
    lock = StateFolderLock(state_folder, lock_descriptor)
    known = listing_from_json(offer.known, messages.ListMode.CACHED) if offer.known else None
    return InheritedResources(_match_by_name(offer.listeners, sockets, listeners), lock, known)


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
        else:  # a listener that the new settings do not have
            sock.close()
    return matched
