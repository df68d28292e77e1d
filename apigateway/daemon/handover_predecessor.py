"""Implement the predecessor's side of a hand-over: pass on the sockets, then stop accepting."""

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
    HandoverError,
    HandoverOffer,
    ListenersMessage,
    ReadyMessage,
    ServingMessage,
    StateMessage,
    StatusRequest,
    StoppedAcceptingMessage,
    TakeOverRejected,
    TakeOverRequest,
    WireMessage,
)
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel

LISTEN_BACKLOG = 8  # connections: a successor and a few status queries

log = logging.getLogger(__name__)


class HandoverPredecessor:
    """The serving side: answers status queries, and hands over to a successor on request.

    Attributes:
        status_queries: Functions that return a status for the command line, by the name in `{"ask": NAME}`.
        ready_timeout_s: How long a successor may take to become ready, in seconds.
        is_in_progress: Whether a successor is taking over.
        is_completed: Whether a successor serves.
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
        """Store the arguments; `open` opens the socket.

        Args:
            path: Path of the Unix socket.
            offer: Returns the current resources and state to pass on.
            pause: Stops accepting connections.
            resume: Accepts connections again after a failed hand-over.
            on_completed: Called once a successor serves.
            ready_timeout_s: How long a successor may take to become ready, in seconds.
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
        self._path_inode = 0  # of the socket that `open` put at the path
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Listen at the path; the previous socket is replaced atomically, so the path always accepts."""
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        temporary_path = f"{self._path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
        self._socket.bind(temporary_path)
        # A process that can connect can take the sockets.
        os.chmod(temporary_path, stat.S_IRUSR | stat.S_IWUSR)
        self._socket.listen(LISTEN_BACKLOG)
        self._path_inode = os.stat(temporary_path).st_ino
        os.rename(temporary_path, self._path)
        self._start_task(self._accept_connections(self._socket))

    def close(self) -> None:
        """Cancel open connections and a hand-over in progress, and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        if self._socket is None:
            return
        self._socket.close()
        # The path may belong to a successor, or to a worker that was started in place of this one.
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._path_inode:
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
            await self._handle_request(channel, await channel.receive(REPLY_TIMEOUT_S))
        except HandoverError as err:
            log.warning("hand-over: %s; this process continues to serve", err)
        finally:
            channel.close()

    async def _handle_request(self, channel: HandoverChannel, request: WireMessage) -> None:
        """Handle the first message of a connection."""
        status_name = StatusRequest.requested_name(request)
        if status_name in self.status_queries:
            await channel.send(self.status_queries[status_name]())
            return
        if not TakeOverRequest.matches(request):
            raise HandoverError("the first message is neither a take-over request nor a known status request")
        if self.is_in_progress or self.is_completed:
            await channel.send(TakeOverRejected().to_wire())
            return
        self.is_in_progress = True
        try:
            await self._hand_over(channel)
        finally:
            self.is_in_progress = False

    async def _hand_over(self, channel: HandoverChannel) -> None:
        """Hand over to a successor; after an error or a cancellation this side continues to serve."""
        offer = self._offer()
        await channel.send(ListenersMessage(offer.listeners).to_wire(), offer.descriptors)
        await channel.send(StateMessage(offer.state).to_wire())
        ReadyMessage.from_wire(await channel.receive(self.ready_timeout_s))
        await self._pause()
        try:
            await channel.send(StoppedAcceptingMessage(self._offer().state).to_wire())
            ServingMessage.from_wire(await channel.receive(REPLY_TIMEOUT_S))
        except BaseException:  # also on cancellation: otherwise no process would accept
            await self._resume()
            raise
        self.is_completed = True
        log.info("hand-over: the successor serves; this process completes its requests")
        self._on_completed()
