"""A connection to a host, which carries at most one attempt at a time.

Hosts send replies in order. With several attempts on a connection a slow reply would delay those behind it,
and the cancellation of one attempt, which closes the connection, would end them all.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Iterator
from typing import Protocol, cast

from apigateway.messages import AttemptResult
from apigateway.upstream.attempt import Attempt, apply_reply
from apigateway.upstream.framing import NO_MESSAGE, Framing, FramingError
from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    @property
    def idle_policy(self) -> IdleConnectionPolicy:
        """Policy that learns from resets how long a connection may be idle."""

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after its attempt has ended."""

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is being closed."""

    def count_memory(self, size: int) -> None:
        """Add to the memory of partial replies, or subtract from it."""

    def on_closing(self, connection: Connection) -> None:
        """Record that a connection's descriptor stays open until `on_closed`."""

    def on_closed(self, connection: Connection) -> None:
        """Record that a connection's descriptor is closed."""


class Connection(asyncio.Protocol):
    """The asyncio protocol of a connection: sends an attempt's payload and reads the reply."""

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self._idle_policy = pool.idle_policy
        self.framing = Framing()
        self.attempt: Attempt | None = None
        self.is_written = True  # whether the socket accepted every byte
        self.idle_since = 0.0  # monotonic s; 0 on a new connection
        self.idle_time = 0.0  # s before the current attempt; 0 on a new connection
        self.has_response_data = False  # whether any byte of the current attempt's reply has arrived
        self._counted_bytes = 0  # of a partial reply
        self.transport: asyncio.Transport | None = None
        self.family = 0
        self.descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and its socket's family and descriptor."""
        self.transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        self.family = sock.family
        self.descriptor = sock.fileno()
        # With a limit of 0, pause_writing is called as soon as the socket does not accept every byte.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Record that the socket has not accepted every byte yet."""
        self.is_written = False

    def resume_writing(self) -> None:
        """Record that the socket has accepted every byte."""
        self.is_written = True

    def is_reusable(self) -> bool:
        """Return whether the connection is open and there is nothing to read.

        Bytes that follow a reply must not be read as the reply to the next attempt.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        with self._temporary_socket() as sock:
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:
                pass
        return False

    def start(self, attempt: Attempt) -> None:
        """Send the attempt's payload; the next message received is its reply."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        self.idle_time = attempt.started_at - self.idle_since if self.idle_since else 0.0
        self.has_response_data = False
        self.transport.write(attempt.payload)
        attempt.payload = b""  # the transport keeps what the socket has not accepted
        attempt.encode = None
        if self.transport.is_closing():  # the write failed at once, so the socket accepted nothing
            self.is_written = False

    def data_received(self, data: bytes) -> None:
        """Read the reply, and end the attempt once the reply is complete."""
        attempt = self.attempt
        if attempt is None:  # an unexpected reply
            self.close()
            return
        self.has_response_data = True
        self.framing.feed(data)
        try:
            reply = self.framing.next_message()
            self._count_memory()
            if reply is NO_MESSAGE:
                return
            result = apply_reply(attempt, reply)
        except FramingError:  # the request has run, and the start of the next reply is unknown
            self.close()
            return
        except Exception:  # otherwise the attempt would end only at its timeout
            log.exception("failed to process the reply of a host")
            self.close()
            return
        self.attempt = None
        self._idle_policy.record(self.idle_time, False)
        if self.framing.buffer:  # surplus bytes, which would be read as the next reply
            self.close()
        else:
            self.pool.release(self)
        attempt.end(result)

    def _count_memory(self) -> None:
        held_bytes = self.framing.capacity_bytes
        if held_bytes != self._counted_bytes:
            self.pool.count_memory(held_bytes - self._counted_bytes)
            self._counted_bytes = held_bytes

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that waits for its reply."""
        self.close()
        self.framing.clear()
        self._count_memory()
        self.pool.on_closed(self)

    def close(self) -> None:
        """Close the connection; the socket is shut down at once, before another attempt can be sent."""
        attempt = self.attempt
        self.attempt = None
        self.pool.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            with self._temporary_socket() as sock, contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
            self.pool.on_closing(self)
        if attempt is not None:
            if not self.has_response_data:  # a partial reply shows that the host received the request
                self._idle_policy.record(self.idle_time, True)
            attempt.end(AttemptResult.RESET if self.is_written else AttemptResult.CONNECT_FAILED)

    @contextlib.contextmanager
    def _temporary_socket(self) -> Iterator[socket.socket]:
        """Yield a socket object for the open transport's descriptor, for one use.

        It is not stored: uvloop drops a transport whose connect is cancelled without calling connection_lost.
        A stored socket object would then close a descriptor that has been reused.
        """
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, self.descriptor)
        try:
            yield sock
        finally:
            sock.detach()
