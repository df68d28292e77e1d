"""Implement the successor's side of a hand-over: take over from the serving gateway."""

from __future__ import annotations

import asyncio
import socket

from apigateway.daemon.handover import (
    HandoverError,
    HandoverOffer,
    ListenersMessage,
    PredecessorState,
    ReadyMessage,
    ServingMessage,
    StateMessage,
    StoppedAcceptingMessage,
    TakeOverRequest,
)
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel


class HandoverSuccessor:
    """The side that takes over; call `take_over`, `announce_ready`, `announce_serving` in this order."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._channel: HandoverChannel

    async def take_over(self) -> HandoverOffer:
        """Request the predecessor's sockets, lock and state.

        Raises:
            HandoverInProgressError: Another successor is taking over.
            HandoverError: No gateway runs at the path, or it did not send everything.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._channel = HandoverChannel(sock)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._path)
        except OSError as err:
            raise HandoverError(
                f"{self._path}: no running gateway to take over from ({err.strerror})"
            ) from err
        await self._channel.send(TakeOverRequest().to_wire())
        reply, descriptors = await self._channel.receive_with_descriptors(REPLY_TIMEOUT_S)
        listeners = ListenersMessage.from_wire(reply, len(descriptors)).listeners
        state = StateMessage.from_wire(await self._channel.receive(REPLY_TIMEOUT_S)).state
        return HandoverOffer(listeners, descriptors, state)

    async def announce_ready(self) -> PredecessorState:
        """Notify the predecessor that this process is ready to serve.

        Returns:
            The predecessor's latest state, once the predecessor has stopped accepting.

        Raises:
            HandoverError: The predecessor continues to serve.
        """
        await self._channel.send(ReadyMessage().to_wire())
        return StoppedAcceptingMessage.from_wire(await self._channel.receive(REPLY_TIMEOUT_S)).state

    async def announce_serving(self) -> None:
        """Notify the predecessor that this process serves; the predecessor then shuts down.

        Raises:
            HandoverError: The predecessor has disconnected, and accepts again.
        """
        await self._channel.send(ServingMessage().to_wire())
        self._channel.close()
