"""A running gateway hands its listening sockets, lock and list of hosts to a new process, over a Unix socket.

    successor                               predecessor
    {"take": 1}                     ->
                                    <-      {"listeners": [...], "lock": true}  + descriptors (SCM_RIGHTS)
                                    <-      {"known": list}
    (builds all, proves itself)
    {"ready": true}                 ->
                                            accepts no more; its ceilings fill no further
                                    <-      {"go": true, "known": list}
    (accepts)
    {"serving": true}               ->
                                            finishes what it took, ends

Each side bounds each wait. If the connection ends before `serving`, the predecessor goes on as before and the
successor ends: exactly one of them is left, and the kernel's queue of connections was held by one of them
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
from collections.abc import Awaitable, Callable
from typing import Any

MOST_LINE = 4 * 1024 * 1024  # bytes of a message: a list of some ten thousand hosts
MOST_FDS = 64
SOON = 5.0  # s for what takes no work: a first word, an answer to `go`

Offer = Callable[[], tuple[list[str], list[int], dict[str, Any]]]  # listeners, descriptors, list of hosts

log = logging.getLogger(__name__)


class HandOverFailed(Exception):
    """The other side went away, said something else, or took too long."""


class Busy(HandOverFailed):
    """Another successor is taking over."""


class Channel:
    """Messages, a line of JSON each, over one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.rest = sock, b""
        sock.setblocking(False)

    async def say(self, message: dict[str, Any], descriptors: list[int] | None = None) -> None:
        data = json.dumps(message).encode() + b"\n"
        try:
            if descriptors:  # the first message on the connection, and short: it goes in one piece
                sent = socket.send_fds(self.sock, [data], descriptors)
                data = data[sent:]
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
        except OSError as err:
            raise HandOverFailed(f"the other side has gone ({err.strerror})") from err

    async def hear(self, seconds: float) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                while b"\n" not in self.rest:
                    data = await loop.sock_recv(self.sock, 65536)
                    if not data:
                        raise HandOverFailed("the other side has gone")
                    self.rest += data
                    if len(self.rest) > MOST_LINE:
                        raise HandOverFailed("a message without end")
        except TimeoutError as err:
            raise HandOverFailed(f"nothing heard for {seconds:.0f} s") from err
        except OSError as err:
            raise HandOverFailed(f"the other side has gone ({err.strerror})") from err
        line, self.rest = self.rest.split(b"\n", 1)
        try:
            told = json.loads(line)
        except ValueError as err:
            raise HandOverFailed("not a message") from err
        if not isinstance(told, dict):
            raise HandOverFailed("not a message")
        return told

    async def hear_with_descriptors(self, seconds: float) -> tuple[dict[str, Any], list[int]]:
        loop = asyncio.get_running_loop()
        readable = loop.create_future()

        def once() -> None:
            loop.remove_reader(self.sock)
            readable.set_result(None)

        loop.add_reader(self.sock, once)
        try:
            async with asyncio.timeout(seconds):
                await readable
            data, descriptors, _, _ = socket.recv_fds(self.sock, 65536, MOST_FDS)
        except TimeoutError as err:
            raise HandOverFailed(f"nothing heard for {seconds:.0f} s") from err
        except OSError as err:
            raise HandOverFailed(f"the other side has gone ({err.strerror})") from err
        finally:
            loop.remove_reader(self.sock)
        self.rest += data
        return await self.hear(seconds), list(descriptors)

    def close(self) -> None:
        self.sock.close()


class Keeper:
    """The side that serves. `pause` and `resume` stop and restart accepting; `done` hears that a successor
    serves. `wait`: seconds that a successor may take to get ready."""

    # What it answers to whoever asks, `{"ask": NAME}`: the gateway's own state, for the command line.
    questions: dict[str, Callable[[], dict[str, Any]]]

    def __init__(
        self,
        path: str,
        offer: Offer,
        pause: Callable[[], Awaitable[None]],
        resume: Callable[[], Awaitable[None]],
        done: Callable[[], None],
        wait: float,
    ) -> None:
        self.path, self.offer, self.wait = path, offer, wait
        self.pause, self.resume, self.done = pause, resume, done
        self.questions = {}
        self.busy = self.over = False
        self.sock: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Takes the path over from whoever had it, in one step: there is always someone to ask."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        own = f"{self.path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own)
        self.sock.bind(own)
        os.chmod(own, stat.S_IRUSR | stat.S_IWUSR)  # whoever may connect may take the sockets
        self.sock.listen(8)
        os.rename(own, self.path)
        self.begin(self.accept(self.sock))

    def begin(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self, sock: socket.socket) -> None:
        while True:
            conn, _ = await asyncio.get_running_loop().sock_accept(sock)
            self.begin(self.asked(Channel(conn)))

    async def asked(self, channel: Channel) -> None:
        try:
            told = await channel.hear(SOON)
            if told.get("ask") in self.questions:
                await channel.say(self.questions[told["ask"]]())
                return
            if told.get("take") != 1:
                raise HandOverFailed("not a successor's first word")
            if self.busy or self.over:
                await channel.say({"busy": True})
                return
            self.busy = True
            try:
                await self.hand_over(channel)
            finally:
                self.busy = False
        except HandOverFailed as err:
            log.warning("hand-over: %s; this process goes on", err)
        finally:
            channel.close()

    async def hand_over(self, channel: Channel) -> None:
        listeners, descriptors, known = self.offer()
        await channel.say({"listeners": listeners}, descriptors)
        await channel.say({"known": known})
        if not (await channel.hear(self.wait)).get("ready"):
            raise HandOverFailed("the successor did not get ready")
        await self.pause()
        try:
            await channel.say({"go": True, "known": self.offer()[2]})
            if not (await channel.hear(SOON)).get("serving"):
                raise HandOverFailed("the successor does not serve")
        except BaseException:
            await self.resume()
            raise
        self.over = True
        log.info("hand-over: the successor serves; this process finishes what it has taken")
        self.done()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.sock is not None:
            self.sock.close()
            if not self.over:  # else the path is the successor's
                with contextlib.suppress(OSError):
                    os.unlink(self.path)


async def question(path: str, name: str) -> dict[str, Any]:
    """Asks the gateway that holds this socket. Raises HandOverFailed."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = Channel(sock)
    try:
        await asyncio.get_running_loop().sock_connect(sock, path)
        await channel.say({"ask": name})
        return await channel.hear(SOON)
    except OSError as err:
        raise HandOverFailed(f"{path}: no gateway runs there ({err.strerror})") from err
    finally:
        channel.close()


class Heir:
    """The side that takes over: `take`, `ready`, `serving`, in this order. Each raises HandOverFailed."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.channel: Channel

    async def take(self) -> tuple[list[str], list[int], dict[str, Any]]:
        """The listeners' addresses, as many descriptors and that of the lock behind them, the list of
        hosts."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.channel = Channel(sock)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.path)
        except OSError as err:
            raise HandOverFailed(f"{self.path}: nobody to take over from ({err.strerror})") from err
        await self.channel.say({"take": 1})
        told, descriptors = await self.channel.hear_with_descriptors(SOON)
        if told.get("busy"):
            raise Busy("another successor is taking over")
        listeners = told.get("listeners")
        if not isinstance(listeners, list) or len(descriptors) != len(listeners) + 1:
            raise HandOverFailed("the sockets did not all come")
        known = (await self.channel.hear(SOON)).get("known")
        return listeners, descriptors, known if isinstance(known, dict) else {}

    async def ready(self) -> dict[str, Any]:
        """This process could serve. Returns the predecessor's last list of hosts, once it accepts no more."""
        await self.channel.say({"ready": True})
        told = await self.channel.hear(SOON)
        if not told.get("go"):
            raise HandOverFailed("no word to go")
        known = told.get("known")
        return known if isinstance(known, dict) else {}

    async def serving(self) -> None:
        """This process serves: the predecessor finishes from here on."""
        await self.channel.say({"serving": True})
        self.channel.close()
