"""A pipelined connection to the counter that reconnects whenever it is lost."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import cast

from apigateway.counter import wire
from apigateway.counter.pending_call import PendingCall
from apigateway.event_loop import timeout_after_poll
from apigateway.messages import CounterCallResult
from apigateway.upstream.address import Address

PING_KEY = -1  # counter key of a ping; real keys are never negative

_TOTAL_REPLY_WORDS = 2  # "ok" and the total
_KEEP_ALIVE_INTERVAL_S = 2.0  # time without a call after which a ping, which is free, is sent
_CONNECT_TIMEOUT_S = 1.0
_MIN_BACKOFF_S = 0.05  # between attempts to connect; doubles with each failure
_MAX_BACKOFF_S = 1.0  # a connection that lasted at least as long resets the backoff
_MAX_LOGGED_BYTES = 80  # of a malformed reply

_log = logging.getLogger(__name__)


class CounterConnection(asyncio.Protocol):
    """A connection on which calls are pipelined and answered in order.

    From its creation until it is closed it reconnects by itself, with exponential backoff.

    Attributes:
        transport: The socket's transport; None while not connected.
        pending_calls: Calls that were written and have no reply, oldest first.
        reconnect_task: Runs until the connection is closed permanently.
    """

    def __init__(
        self, address: Address, on_connected: Callable[[CounterConnection], None], reply_timeout: float
    ) -> None:
        """Start to connect.

        Args:
            address: Address of the counter.
            on_connected: Called each time the connection has been established.
            reply_timeout: Seconds after which a connection with an overdue reply is aborted.
        """
        self.transport: asyncio.Transport | None = None
        self.pending_calls: deque[PendingCall] = deque()
        self._address = address
        self._on_connected = on_connected
        self._reply_timeout = reply_timeout
        self._is_retired = False  # replaced: closes after the last pending reply
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_used_at = 0.0  # on the monotonic clock
        self._disconnected = asyncio.Event()
        self.reconnect_task = asyncio.get_running_loop().create_task(self._keep_connected())

    @property
    def is_connected(self) -> bool:
        """Whether the socket is open."""
        return self.transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the state of the previous connection and report that this one is established."""
        # A cast, because uvloop's transports do not derive from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, pause_writing is called as soon as the socket does not accept a whole call.
        self.transport.set_write_buffer_limits(high=0)
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_used_at = monotonic()
        self._on_connected(self)

    def pause_writing(self) -> None:
        """Stop accepting calls, because the socket's buffer is full."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Accept calls again."""
        self._is_write_blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish all pending calls with `TIMEOUT`: each was written, so its amount may have been added."""
        self.transport = None
        lost_calls = self.pending_calls
        self.pending_calls = deque()
        for call in lost_calls:
            call.finish(CounterCallResult.TIMEOUT)
        self._disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Finish the calls whose replies are complete."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._handle_reply(line.split()):
                self._on_malformed_reply(line)
                return
        if len(self._partial_line) > wire.MAX_REPLY_BYTES:
            self._on_malformed_reply(self._partial_line)
        elif self._is_retired and not self.pending_calls:
            self.close()

    def write(self, call: PendingCall, command: bytes) -> bool:
        """Write a command and expect its reply; return False if nothing was written."""
        if self.transport is None or self._is_write_blocked or self.transport.is_closing():
            return False
        self.pending_calls.append(call)
        self._last_used_at = call.started_at
        self.transport.write(command)
        return True

    def check_liveness(self) -> None:
        """Abort the connection if a reply is overdue, and ping the counter if the connection is idle."""
        now = monotonic()
        if self.pending_calls:
            if now - self.pending_calls[0].started_at > self._reply_timeout:
                # A machine that disappears sends nothing, so its connections would stay open forever.
                _log.warning("counter: no reply for %.1f s, reconnecting", self._reply_timeout)
                self._abort()
        elif not self._is_retired and now - self._last_used_at > _KEEP_ALIVE_INTERVAL_S:
            self.write(PendingCall(PING_KEY, None), wire.PING_COMMAND)

    def retire(self) -> None:
        """Close the connection as soon as its pending calls have their replies."""
        self._is_retired = True
        if not self.pending_calls:
            self.close()

    def close(self) -> None:
        """Close the connection immediately and permanently."""
        self.reconnect_task.cancel()
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _handle_reply(self, words: list[bytes]) -> bool:
        """Finish the oldest call with its reply; return False if the reply is not valid for that call."""
        if not self.pending_calls or not words:
            return False
        verb = words[0]
        is_ping = self.pending_calls[0].counter_key == PING_KEY
        if (verb == wire.REPLY_PONG) != is_ping:
            return False
        if verb == wire.REPLY_OK and len(words) == _TOTAL_REPLY_WORDS:
            return self._handle_total(words[1])
        if verb in wire.REPLY_REJECTIONS:
            self.pending_calls.popleft().finish(CounterCallResult.REJECTED)
            return True
        if is_ping:
            self.pending_calls.popleft().finish(CounterCallResult.OK)
            return True
        return False

    def _handle_total(self, text: bytes) -> bool:
        total = wire.parse_total(text)
        if total is None:
            return False
        self.pending_calls.popleft().finish(CounterCallResult.OK, total)
        return True

    def _on_malformed_reply(self, reply: bytes) -> None:
        """Abort the connection after a malformed reply.

        The amount of the oldest call was added. The replies that follow cannot be assigned to calls.
        """
        _log.warning("counter: malformed reply %r", reply[:_MAX_LOGGED_BYTES])
        if self.pending_calls and self.pending_calls[0].counter_key != PING_KEY:
            self.pending_calls.popleft().finish(CounterCallResult.MALFORMED_REPLY)
        self._abort()

    async def _keep_connected(self) -> None:
        backoff = _MIN_BACKOFF_S
        while not self._is_retired:
            connected_for = await self._connect_until_lost()
            if connected_for >= _MAX_BACKOFF_S:
                backoff = _MIN_BACKOFF_S
                continue
            # The connection was refused, or accepted and closed again soon.
            await asyncio.sleep(backoff)
            backoff = min(_MAX_BACKOFF_S, 2 * backoff)

    async def _connect_until_lost(self) -> float:
        """Connect once and wait until the connection is lost; return its duration in s, 0 on failure."""
        self._disconnected.clear()
        host, port = self._address
        try:
            async with timeout_after_poll(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            return 0.0
        connected_at = monotonic()
        await self._disconnected.wait()
        return monotonic() - connected_at
