"""Exchange the messages of a hand-over, a line of JSON each, over a Unix socket."""

from __future__ import annotations

import asyncio
import json
import socket

from apigateway.daemon.handover import HandoverError, WireMessage

MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # an endpoint list of some ten thousand hosts
MAX_DESCRIPTORS = 64  # in one message: the listeners and the lock
READ_SIZE = 65_536  # bytes of one read
REPLY_TIMEOUT_S = 5.0  # for replies that take no work: a first message, the answer to `go`


class HandoverChannel:
    """Messages over one connection, a line of JSON each."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""  # received, but not yet returned as a message
        sock.setblocking(False)

    async def send(self, message: WireMessage, descriptors: list[int] | None = None) -> None:
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

    async def receive(self, timeout_s: float) -> WireMessage:
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

    async def receive_with_descriptors(self, timeout_s: float) -> tuple[WireMessage, list[int]]:
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


def _disconnected(err: OSError) -> HandoverError:
    return HandoverError(f"the other side has gone ({err.strerror})")


def _timed_out(timeout_s: float) -> HandoverError:
    return HandoverError(f"nothing heard for {timeout_s:.0f} s")
