"""Hand the listening sockets, the lock and the endpoint list of a running gateway to a new process.

Both processes talk over a Unix socket, one line of JSON a message:

    successor                               predecessor
    {"take": 1}                     ->
                                    <-      {"listeners": [...]}  + descriptors (SCM_RIGHTS)
                                    <-      {"known": list}
    (builds everything, checks that it could serve)
    {"ready": true}                 ->
                                            stops accepting; its rate ceilings fill no further
                                    <-      {"go": true, "known": list}
    (accepts)
    {"serving": true}               ->
                                            completes its requests in flight, exits

Each side bounds each wait. If the connection ends before `serving`, the predecessor goes on as before and the
successor exits: exactly one of them is left, and the kernel's queue of connections was held by one of them
throughout.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import stat
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple

MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # an endpoint list of some ten thousand hosts
MAX_DESCRIPTORS = 64  # in one message: the listeners and the lock
READ_SIZE = 65_536  # bytes of one read
LISTEN_BACKLOG = 8  # connections; a successor and a few status queries
REPLY_TIMEOUT_S = 5.0  # for replies that take no work: a first message, the answer to `go`

log = logging.getLogger(__name__)


class HandoverError(Exception):
    """The peer disconnected, sent something unexpected or took too long."""


class HandoverInProgressError(HandoverError):
    """Another successor is taking over."""


class HandoverOffer(NamedTuple):
    """What a predecessor passes on.

    Attributes:
        listeners: Addresses of the listening sockets.
        descriptors: One for each listener in the same order, then the lock's.
        known: The endpoint list in its stored form, or what a supervisor says of its workers.
    """

    listeners: list[str]
    descriptors: list[int]
    known: dict[str, Any]


class HandoverChannel:
    """Messages over one connection, a line of JSON each."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""  # received, but not yet returned as a message
        sock.setblocking(False)

    async def send(self, message: dict[str, Any], descriptors: list[int] | None = None) -> None:
        """Send a message, with file descriptors if there are any.

        Raises:
            HandoverError: The peer has disconnected.
        """
        data = json.dumps(message).encode() + b"\n"
        try:
            if descriptors:  # the first message on the connection, and short: it goes in one piece
                sent = socket.send_fds(self.sock, [data], descriptors)
                data = data[sent:]
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
        except OSError as err:
            raise _disconnected(err) from err

    async def receive(self, timeout_s: float) -> dict[str, Any]:
        """Return the next message.

        Raises:
            HandoverError: None came in time, the peer disconnected, or it is not a message.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._fill_buffer_to_line_end()
        except TimeoutError as err:
            raise _timed_out(timeout_s) from err
        except OSError as err:
            raise _disconnected(err) from err
        line, self._buffer = self._buffer.split(b"\n", 1)
        try:
            message = json.loads(line)
        except ValueError as err:
            raise HandoverError("not a message") from err
        if not isinstance(message, dict):
            raise HandoverError("not a message")
        return message

    async def receive_with_descriptors(self, timeout_s: float) -> tuple[dict[str, Any], list[int]]:
        """Return the next message and the file descriptors that came with it.

        Raises:
            HandoverError: As for `receive`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_readable()
            data, descriptors, _, _ = socket.recv_fds(self.sock, READ_SIZE, MAX_DESCRIPTORS)
        except TimeoutError as err:
            raise _timed_out(timeout_s) from err
        except OSError as err:
            raise _disconnected(err) from err
        self._buffer += data
        return await self.receive(timeout_s), list(descriptors)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    async def _fill_buffer_to_line_end(self) -> None:
        loop = asyncio.get_running_loop()
        while b"\n" not in self._buffer:
            data = await loop.sock_recv(self.sock, READ_SIZE)
            if not data:
                raise HandoverError("the other side has gone")
            self._buffer += data
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise HandoverError("a message without end")

    async def _wait_until_readable(self) -> None:
        loop = asyncio.get_running_loop()
        readable = loop.create_future()

        def on_readable() -> None:
            loop.remove_reader(self.sock)
            readable.set_result(None)

        loop.add_reader(self.sock, on_readable)
        try:
            await readable
        finally:
            loop.remove_reader(self.sock)


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

    async def _answer(self, channel: HandoverChannel, request: dict[str, Any]) -> None:
        if request.get("ask") in self.status_queries:
            await channel.send(self.status_queries[request["ask"]]())
            return
        if request.get("take") != 1:
            raise HandoverError("not a successor's first word")
        if self.is_in_progress or self.is_completed:
            await channel.send({"busy": True})
            return
        self.is_in_progress = True
        try:
            await self._hand_over(channel)
        finally:
            self.is_in_progress = False

    async def _hand_over(self, channel: HandoverChannel) -> None:
        offer = self._offer()
        await channel.send({"listeners": offer.listeners}, offer.descriptors)
        await channel.send({"known": offer.known})
        if not (await channel.receive(self.ready_timeout_s)).get("ready"):
            raise HandoverError("the successor did not get ready")
        await self._pause()
        try:
            await channel.send({"go": True, "known": self._offer().known})
            if not (await channel.receive(REPLY_TIMEOUT_S)).get("serving"):
                raise HandoverError("the successor does not serve")
        except BaseException:  # also a cancellation: else nobody would accept
            await self._resume()
            raise
        self.is_completed = True
        log.info("hand-over: the successor serves; this process finishes what it has taken")
        self._on_completed()


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
        await self._channel.send({"take": 1})
        reply, descriptors = await self._channel.receive_with_descriptors(REPLY_TIMEOUT_S)
        if reply.get("busy"):
            raise HandoverInProgressError("another successor is taking over")
        listeners = reply.get("listeners")
        if not isinstance(listeners, list) or len(descriptors) != len(listeners) + 1:
            raise HandoverError("the sockets did not all come")
        known = _known_of(await self._channel.receive(REPLY_TIMEOUT_S))
        return HandoverOffer(listeners, descriptors, known)

    async def announce_ready(self) -> dict[str, Any]:
        """Tell the predecessor that this process could serve.

        Returns:
            The predecessor's last endpoint list, once it has stopped accepting.

        Raises:
            HandoverError: The predecessor goes on.
        """
        await self._channel.send({"ready": True})
        reply = await self._channel.receive(REPLY_TIMEOUT_S)
        if not reply.get("go"):
            raise HandoverError("no word to go")
        return _known_of(reply)

    async def announce_serving(self) -> None:
        """Tell the predecessor that this process serves, after which that one shuts down.

        Raises:
            HandoverError: The predecessor has disconnected, and accepts again.
        """
        await self._channel.send({"serving": True})
        self._channel.close()


async def query_gateway(path: str, name: str) -> dict[str, Any]:
    """Query the gateway that listens at this path for the status of that name.

    Raises:
        HandoverError: No gateway runs there, or it does not answer.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = HandoverChannel(sock)
    try:
        await asyncio.get_running_loop().sock_connect(sock, path)
        await channel.send({"ask": name})
        return await channel.receive(REPLY_TIMEOUT_S)
    except OSError as err:
        raise HandoverError(f"{path}: no gateway runs there ({err.strerror})") from err
    finally:
        channel.close()


def _known_of(message: dict[str, Any]) -> dict[str, Any]:
    known = message.get("known")
    return known if isinstance(known, dict) else {}


def _disconnected(err: OSError) -> HandoverError:
    return HandoverError(f"the other side has gone ({err.strerror})")


def _timed_out(timeout_s: float) -> HandoverError:
    return HandoverError(f"nothing heard for {timeout_s:.0f} s")
