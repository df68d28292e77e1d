"""Exchange the messages of a hand-over over a Unix socket, each as a line of JSON."""

from __future__ import annotations

import asyncio
import json
import os
import socket

from apigateway.daemon.handover import HandoverError, WireMessage

MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # enough for an endpoint list of about ten thousand hosts
MAX_DESCRIPTORS = 64  # per message: those of the listeners and of the lock
READ_SIZE_BYTES = 65_536
# Timeout of messages that the peer can send immediately: the first message and the reply to `go`.
REPLY_TIMEOUT_S = 5.0


class HandoverChannel:
    """A connection that carries messages, each as a line of JSON."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""  # received bytes not yet returned as a message
        sock.setblocking(False)

    async def send(self, message: WireMessage, descriptors: list[int] | None = None) -> None:
        """Send a message, optionally with file descriptors.

        Raises:
            HandoverError: The peer has disconnected.
        """
        data = json.dumps(message).encode() + b"\n"
        try:
            if descriptors:  # sent with the first message, which is short and fits the socket buffer
                sent = socket.send_fds(self.sock, [data], descriptors)
                data = data[sent:]
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
        except OSError as err:
            raise _disconnected(err) from err

    async def receive(self, timeout_s: float) -> WireMessage:
        """Return the next message.

        Raises:
            HandoverError: No message arrived in time, the peer disconnected, or the message is malformed.
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
            raise HandoverError("malformed message") from err
        if not isinstance(message, dict):
            raise HandoverError("malformed message")
        return message

    async def receive_with_descriptors(self, timeout_s: float) -> tuple[WireMessage, list[int]]:
        """Return the next message and the file descriptors received with it.

        Raises:
            HandoverError: See `receive`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_readable()
            data, descriptors, _, _ = socket.recv_fds(self.sock, READ_SIZE_BYTES, MAX_DESCRIPTORS)
        except TimeoutError as err:
            raise _timed_out(timeout_s) from err
        except OSError as err:
            raise _disconnected(err) from err
        for descriptor in descriptors:  # received ones would be inherited by child processes
            os.set_inheritable(descriptor, False)
        self._buffer += data
        return await self.receive(timeout_s), list(descriptors)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    async def _fill_buffer_to_line_end(self) -> None:
        loop = asyncio.get_running_loop()
        while b"\n" not in self._buffer:
            data = await loop.sock_recv(self.sock, READ_SIZE_BYTES)
            if not data:
                raise HandoverError("the peer disconnected")
            self._buffer += data
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise HandoverError("message exceeds the size limit")

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
    return HandoverError(f"the peer disconnected ({err.strerror})")


def _timed_out(timeout_s: float) -> HandoverError:
    return HandoverError(f"no message received within {timeout_s:.0f} s")
