"""The side of a hand-over that takes over from the gateway that serves."""

from __future__ import annotations

import asyncio
import socket

from apigateway.daemon.handover import (
    GoMessage,
    HandoverError,
    HandoverOffer,
    KnownEndpoints,
    KnownMessage,
    ListenersMessage,
    ReadyMessage,
    ServingMessage,
    TakeOverRequest,
)
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel


class HandoverSuccessor:
    """The side that takes over: `take_over`, `announce_ready`, `announce_serving`, in this order."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._channel: HandoverChannel

    async def take_over(self) -> HandoverOffer:
        """Ask the predecessor for its sockets, lock and endpoint list.

        Raises:
            HandoverInProgressError: Another successor is taking over.
            HandoverError: No gateway runs there, or it did not send all.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._channel = HandoverChannel(sock)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._path)
        except OSError as err:
            raise HandoverError(f"{self._path}: nobody to take over from ({err.strerror})") from err
        await self._channel.send(TakeOverRequest().to_wire())
        reply, descriptors = await self._channel.receive_with_descriptors(REPLY_TIMEOUT_S)
        listeners = ListenersMessage.from_wire(reply, len(descriptors)).listeners
        known = KnownMessage.from_wire(await self._channel.receive(REPLY_TIMEOUT_S)).known
        return HandoverOffer(listeners, descriptors, known)

    async def announce_ready(self) -> KnownEndpoints:
        """Tell the predecessor that this process could serve.

        Returns:
            The predecessor's last endpoint list, once it has stopped accepting.

        Raises:
            HandoverError: The predecessor goes on.
        """
        await self._channel.send(ReadyMessage().to_wire())
        return GoMessage.from_wire(await self._channel.receive(REPLY_TIMEOUT_S)).known

    async def announce_serving(self) -> None:
        """Tell the predecessor that this process serves, after which that one shuts down.

        Raises:
            HandoverError: The predecessor has disconnected, and accepts again.
        """
        await self._channel.send(ServingMessage().to_wire())
        self._channel.close()
