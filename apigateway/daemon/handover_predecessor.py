"""The side of a hand-over that serves: it passes on its sockets and stops accepting."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import stat
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from apigateway.daemon.handover import (
    GoMessage,
    HandoverError,
    HandoverOffer,
    KnownMessage,
    ListenersMessage,
    ReadyMessage,
    ServingMessage,
    StatusRequest,
    TakeOverRejected,
    TakeOverRequest,
    WireMessage,
)
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel

LISTEN_BACKLOG = 8  # connections; a successor and a few status queries

log = logging.getLogger(__name__)


class HandoverPredecessor:
    """The serving side: answers status queries and hands over to a successor that asks.

    Attributes:
        status_queries: Answers by name to `{"ask": NAME}`, the gateway's own state for the command line.
        ready_timeout_s: How long a successor may take to get ready, in seconds.
        is_in_progress: A successor is taking over.
        is_completed: A successor serves.
    """

    status_queries: dict[str, Callable[[], dict[str, Any]]]

    def __init__(
        self,
        path: str,
        offer: Callable[[], HandoverOffer],
        pause: Callable[[], Awaitable[None]],
        resume: Callable[[], Awaitable[None]],
        on_completed: Callable[[], None],
        ready_timeout_s: float,
    ) -> None:
        """Store the collaborators; nothing is open before `open`.

        Args:
            path: Of the Unix socket.
            offer: Returns what is passed on, as it is when called.
            pause: Stops accepting connections.
            resume: Accepts connections again, after a hand-over that failed.
            on_completed: Called once a successor serves.
            ready_timeout_s: How long a successor may take to get ready, in seconds.
        """
        self.ready_timeout_s = ready_timeout_s
        self.status_queries = {}
        self.is_in_progress = False
        self.is_completed = False
        self._path = path
        self._offer = offer
        self._pause = pause
        self._resume = resume
        self._on_completed = on_completed
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Listen at the path, taken from its previous holder in one step: there is always someone to ask."""
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        temporary_path = f"{self._path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
        self._socket.bind(temporary_path)
        os.chmod(temporary_path, stat.S_IRUSR | stat.S_IWUSR)  # whoever may connect may take the sockets
        self._socket.listen(LISTEN_BACKLOG)
        os.rename(temporary_path, self._path)
        self._start_task(self._accept_connections(self._socket))

    def close(self) -> None:
        """Cancel what is under way and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        if self._socket is None:
            return
        self._socket.close()
        if not self.is_completed:  # else the path is the successor's
            with contextlib.suppress(OSError):
                os.unlink(self._path)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept_connections(self, sock: socket.socket) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(sock)
            self._start_task(self._serve_connection(HandoverChannel(connection)))

    async def _serve_connection(self, channel: HandoverChannel) -> None:
        try:
            await self._answer(channel, await channel.receive(REPLY_TIMEOUT_S))
        except HandoverError as err:
            log.warning("hand-over: %s; this process goes on", err)
        finally:
            channel.close()

    async def _answer(self, channel: HandoverChannel, request: WireMessage) -> None:
        """Answer a connection's first message."""
        status_name = StatusRequest.name_of(request)
        if status_name in self.status_queries:
            await channel.send(self.status_queries[status_name]())
            return
        if not TakeOverRequest.is_sent_by(request):
            raise HandoverError("not a successor's first word")
        if self.is_in_progress or self.is_completed:
            await channel.send(TakeOverRejected().to_wire())
            return
        self.is_in_progress = True
        try:
            await self._hand_over(channel)
        finally:
            self.is_in_progress = False

    async def _hand_over(self, channel: HandoverChannel) -> None:
        """Hand over step by step; an error, or a cancellation, leaves this side serving."""
        offer = self._offer()
        await channel.send(ListenersMessage(offer.listeners).to_wire(), offer.descriptors)
        await channel.send(KnownMessage(offer.known).to_wire())
        ReadyMessage.from_wire(await channel.receive(self.ready_timeout_s))
        await self._pause()
        try:
            await channel.send(GoMessage(self._offer().known).to_wire())
            ServingMessage.from_wire(await channel.receive(REPLY_TIMEOUT_S))
        except BaseException:  # also a cancellation: else nobody would accept
            await self._resume()
            raise
        self.is_completed = True
        log.info("hand-over: the successor serves; this process finishes what it has taken")
        self._on_completed()
