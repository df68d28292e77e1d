"""One connection to a host, with at most one attempt on it at a time.

Answers come in order, so a stuck one would hold up those behind it, and giving one up costs the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Iterator
from typing import Protocol, cast

from apigateway.messages import AttemptResult
from apigateway.upstream.attempt import Attempt, read_reply
from apigateway.upstream.framing import NO_MESSAGE, Framing, FramingError
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    @property
    def idle_policy(self) -> IdleConnectionPolicy:
        """What learns from resets how long a connection may be idle."""

    def release(self, connection: Connection) -> None:
        """Take back a connection whose attempt has ended."""

    def discard(self, connection: Connection) -> None:
        """Forget a connection that has ended."""


class Connection(asyncio.Protocol):
    """The protocol of one connection: sends an attempt's payload and reads its answer."""

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self._idle_policy = pool.idle_policy
        self.framing = Framing()
        self.attempt: Attempt | None = None
        self.is_written = True  # whether the socket took every byte
        self.idle_since = 0.0  # monotonic s; 0 on a new connection
        self.idle_time = 0.0  # s before the current attempt; 0 on a new connection
        self.has_response_data = False  # whether any byte of the current attempt's answer came
        self.transport: asyncio.Transport | None = None
        self.family = 0
        self.descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and note its socket's family and descriptor."""
        self.transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        self.family = sock.family
        self.descriptor = sock.fileno()
        # With no room above the socket, pause_writing tells at once that it did not take every byte.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Note that the socket has not taken every byte yet."""
        self.is_written = False

    def resume_writing(self) -> None:
        """Note that the socket has taken every byte."""
        self.is_written = True

    def is_reusable(self) -> bool:
        """Tell whether nothing is to be read, not even the end: what follows an answer is never the next."""
        if self.transport is None or self.transport.is_closing():
            return False
        with self._borrowed_socket() as sock:
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:
                pass
        return False

    def start(self, attempt: Attempt) -> None:
        """Send the attempt's payload; its answer is the next message."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        self.idle_time = attempt.started - self.idle_since if self.idle_since else 0.0
        self.has_response_data = False
        self.transport.write(attempt.payload)
        if self.transport.is_closing():  # the write failed at once, so the socket took nothing
            self.is_written = False

    def data_received(self, data: bytes) -> None:
        """Read the answer, and end its attempt once it is whole."""
        attempt = self.attempt
        if attempt is None:  # an answer that nobody waits for
            self.close()
            return
        self.has_response_data = True
        self.framing.feed(data)
        try:
            reply = self.framing.next_message()
            if reply is NO_MESSAGE:
                return
            result = read_reply(attempt, reply)
        except FramingError:  # the request has run, and where the next answer would begin is not known
            self.close()
            return
        except Exception:  # nobody else would end this attempt before its time is up
            log.exception("an answer could not be read")
            self.close()
            return
        self.attempt = None
        self._idle_policy.record(self.idle_time, False)
        if self.framing.buffer:  # more than belongs to this answer: the next would be read from it
            self.close()
        else:
            self.pool.release(self)
        attempt.end(result)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that waits for an answer."""
        self.close()

    def close(self) -> None:
        """End the connection now: the socket is shut at once, before another attempt can be sent."""
        attempt = self.attempt
        self.attempt = None
        self.pool.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            with self._borrowed_socket() as sock, contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None:
            if not self.has_response_data:  # an answer that breaks off shows that the request got there
                self._idle_policy.record(self.idle_time, True)
            attempt.end(AttemptResult.RESET if self.is_written else AttemptResult.CONNECT_FAILED)

    @contextlib.contextmanager
    def _borrowed_socket(self) -> Iterator[socket.socket]:
        """Give the open transport's socket for one call.

        It is not kept: uvloop drops a transport whose connect is called off without connection_lost, and a
        socket left over would close another's descriptor.
        """
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, self.descriptor)
        try:
            yield sock
        finally:
            sock.detach()
