"""One pipelined connection to the counter, which reconnects whenever it is lost."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import cast

from apigateway.counter import wire
from apigateway.counter.pending_call import PendingCall
from apigateway.messages import CounterCallResult
from apigateway.upstream.address import Address

PING_KEY = -1  # in place of a counter key, which is never negative

_TOTAL_REPLY_WORDS = 2  # "OK" and the total
_KEEP_ALIVE_INTERVAL = 2.0  # s without a call after which a ping, which costs nothing, keeps it open
_CONNECT_TIMEOUT = 1.0  # s
_MIN_BACKOFF = 0.05  # s between attempts to connect; doubles with each failure
_MAX_BACKOFF = 1.0  # s; also how long a connection must last to reset the backoff
_MAX_LOGGED_BYTES = 80  # of a reply that could not be read

_log = logging.getLogger(__name__)


class CounterConnection(asyncio.Protocol):
    """A connection on which calls are pipelined and answered in their order.

    It connects on its own from its creation until it is closed, with a growing backoff.

    Attributes:
        transport: The socket's transport; None while not connected.
        pending_calls: Calls that were written and not answered, oldest first.
        reconnect_task: Runs until the connection is closed for good.
    """

    def __init__(
        self, address: Address, on_connected: Callable[[CounterConnection], None], reply_timeout: float
    ) -> None:
        """Start to connect.

        Args:
            address: Where the counter listens.
            on_connected: Called each time the connection has been made.
            reply_timeout: Seconds without a reply that is due after which the connection is held dead.
        """
        self.transport: asyncio.Transport | None = None
        self.pending_calls: deque[PendingCall] = deque()
        self._address = address
        self._on_connected = on_connected
        self._reply_timeout = reply_timeout
        self._is_retired = False  # replaced by another: closes with the last reply that it waits for
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_used_at = 0.0  # on the monotonic clock
        self._lost = asyncio.Event()
        self.reconnect_task = asyncio.get_running_loop().create_task(self._keep_connected())

    @property
    def is_connected(self) -> bool:
        """Whether the socket is open."""
        return self.transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the state of the connection before and report that it is up."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has no base in common with asyncio's
        # pause_writing then tells at once that the socket did not take a whole call.
        self.transport.set_write_buffer_limits(high=0)
        self._partial_line = b""
        self._is_write_blocked = False
        self._last_used_at = monotonic()
        self._on_connected(self)

    def pause_writing(self) -> None:
        """Take no more calls: the socket's buffer is full."""
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Take calls again."""
        self._is_write_blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish all pending calls with `TIMEOUT`: they were written, so each may have been added."""
        self.transport = None
        lost_calls = self.pending_calls
        self.pending_calls = deque()
        for call in lost_calls:
            call.finish(CounterCallResult.TIMEOUT)
        self._lost.set()

    def data_received(self, data: bytes) -> None:
        """Finish the calls whose replies have come in full."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._handle_reply(line.split()):
                self._on_unreadable_reply(line)
                return
        if len(self._partial_line) > wire.MAX_REPLY_BYTES:
            self._on_unreadable_reply(self._partial_line)
        elif self._is_retired and not self.pending_calls:
            self.close()

    def write(self, call: PendingCall, command: bytes) -> bool:
        """Write a command and wait for its reply; return False if nothing of it was written."""
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
                # A machine that vanished says nothing, and its connections stay open for good.
                _log.warning("counter: no answer for %.1f s, connecting again", self._reply_timeout)
                self._abort()
        elif not self._is_retired and now - self._last_used_at > _KEEP_ALIVE_INTERVAL:
            self.write(PendingCall(PING_KEY, None), wire.PING_COMMAND)

    def retire(self) -> None:
        """Close the connection as soon as its pending calls are answered."""
        self._is_retired = True
        if not self.pending_calls:
            self.close()

    def close(self) -> None:
        """Close the connection at once and for good."""
        self.reconnect_task.cancel()
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _handle_reply(self, words: list[bytes]) -> bool:
        """Finish the oldest call with its reply; return False if that is no reply to it."""
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

    def _on_unreadable_reply(self, reply: bytes) -> None:
        """Abort the connection: the call was added, and the replies behind it can't be told apart."""
        _log.warning("counter: unexpected answer %r", reply[:_MAX_LOGGED_BYTES])
        if self.pending_calls and self.pending_calls[0].counter_key != PING_KEY:
            self.pending_calls.popleft().finish(CounterCallResult.MALFORMED_REPLY)
        self._abort()

    async def _keep_connected(self) -> None:
        backoff = _MIN_BACKOFF
        while not self._is_retired:
            connected_for = await self._connect_until_lost()
            if connected_for >= _MAX_BACKOFF:
                backoff = _MIN_BACKOFF
                continue
            # Not accepted, or accepted and closed again: no reason to hurry.
            await asyncio.sleep(backoff)
            backoff = min(_MAX_BACKOFF, 2 * backoff)

    async def _connect_until_lost(self) -> float:
        """Connect once and wait for the loss; return the seconds between them, 0 if it did not connect."""
        self._lost.clear()
        host, port = self._address
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            return 0.0
        connected_at = monotonic()
        await self._lost.wait()
        return monotonic() - connected_at
