"""One RESP2 client connection: it reads commands and writes responses in the order of the commands.

A connection is busy (it has pending commands), idle (it has none, but may have received part of one) or
closing (its last byte is written or being written, and the client has not closed it yet). `server.py` limits
the number of connections and how long they stay idle or closing.
"""

from __future__ import annotations

import asyncio
from collections import deque
from time import monotonic
from typing import TYPE_CHECKING, cast

from apigateway.core.input_scheduler import BULK_COST_FACTOR, ConnectionInput
from apigateway.frontends.read_buffer import READ_BUFFER, READ_BYTES
from apigateway.frontends.resp.activity_log import CloseReason
from apigateway.frontends.resp.arrival_times import ArrivalTimes
from apigateway.frontends.resp.response_slot import FAILED_RESPONSE, ResponseSlot
from apigateway.upstream import socket_state
from apigateway.upstream.framing import NO_MESSAGE, Framing, FramingError

if TYPE_CHECKING:
    from apigateway.frontends.resp.interfaces import ConnectionOwner

# Commands of one connection without a response. At this limit the connection is not read.
MAX_PENDING_COMMANDS = 512
# Bytes that wait for a client to read them before the connection counts as blocked.
WRITE_BUFFER_BYTES = 16 * 1024
# Responses are passed to the transport in batches of this size.
WRITE_BATCH_BYTES = 64 * 1024
# Bytes that are read and dropped after a framing error, because closing with unread input resets the
# connection. A client that sends more wastes CPU and is aborted.
MAX_DROPPED_BYTES = 256 * 1024

PROTOCOL_ERROR_RESPONSE = b"-ERR protocol error\r\n"
PARTIAL_COMMANDS_LIMIT_RESPONSE = b"-ERR too much in work\r\n"
PARTIAL_COMMAND_TIMEOUT_RESPONSE = b"-ERR command not finished in time\r\n"


class ClientConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one client connection.

    Args:
        server: The server that accepted it.
        queued_since: When it may have come, at the earliest, with its first data.
    """

    def __init__(self, server: ConnectionOwner, queued_since: float) -> None:
        self.server = server
        self.number = 0  # set by the server, from 1
        self.peer = ""  # the client's address
        self.transport: asyncio.Transport
        self.framing = Framing()
        self.pending_slots: deque[ResponseSlot] = deque()
        self.partial_bytes = 0  # of a partial command, as last counted by the server
        self.request_bytes = 0  # of pending commands without a response
        self.response_bytes = 0  # of responses that are not passed to the transport
        self.counted_bytes = 0  # of the memory for clients, received bytes and responses
        self.dropped_bytes = 0  # received after a framing error
        self.arrivals = ArrivalTimes(server.loop_lag, queued_since)
        self.is_closing = False  # it closes once no command is pending
        self.is_framing_lost = False  # no further input can be parsed
        self.is_half_closed = False  # the sending side is closed, and nothing more is read
        self.is_write_blocked = False
        self.is_read_paused = False
        self.input = ConnectionInput(self._handle_input)
        self.is_deferred = False  # complete commands may wait in the buffer
        self.is_reading_commands = False
        self.has_unflushed_responses = False  # responses that were set while reading commands

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.arrivals.may_have_unread = self.has_unread_data()
        self.server.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and cancel its pending commands."""
        self.server.on_disconnected(self)
        self.framing.clear()
        self.cancel_pending()
        self.input.close()

    def eof_received(self) -> None:
        """Cancel the pending commands, and drop those that are deferred: the client has disconnected.

        Unread responses may keep the connection open for longer.
        """
        self.framing.clear()
        self.cancel_pending()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which limits how much is read at once."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read, and handle it now or once it is this connection's turn."""
        if self.is_framing_lost:
            self.dropped_bytes += nbytes
            if self.dropped_bytes > MAX_DROPPED_BYTES:
                self.server.activity.on_closed(self, CloseReason.INPUT_AFTER_ERROR)
                self.transport.abort()
            return
        self.framing.feed(READ_BUFFER[:nbytes])
        scheduler = self.server.input_scheduler
        sock = self.transport.get_extra_info("socket")
        self.arrivals.on_read(scheduler.clock(), nbytes == READ_BYTES, sock)
        scheduler.handle(self.input)
        if self.input.is_queued and not self.is_deferred:
            self._defer()

    def waited_s(self) -> float:
        """Return how long the commands that are being handled may have waited."""
        return self.server.input_scheduler.clock() - self.arrivals.arrived_at

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its responses."""
        self.is_write_blocked = True
        self.server.on_write_blocked(self)
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading from a client that reads its responses again."""
        self.is_write_blocked = False
        self.server.on_write_resumed(self)
        self.flush()
        self._resume_input()
        self._update_reading()

    # Commands

    def _handle_input(self, until: float) -> bool:
        """Pass complete commands to the handler until a time; return whether some wait for another turn."""
        if self.is_framing_lost or self.is_half_closed or self.transport.is_closing():
            self.is_deferred = False
            return False
        self.is_reading_commands = True  # responses set meanwhile are written together
        self.is_deferred = True
        try:
            self.is_deferred = self._read_commands(until)
        except FramingError:
            self.is_deferred = False
            self.is_reading_commands = False  # the error is written with the responses before it, then closed
            self.has_unflushed_responses = False
            self._fail_connection(PROTOCOL_ERROR_RESPONSE, CloseReason.PROTOCOL_ERROR)
            return False
        finally:
            self._end_reading_commands()
        if not self.server.update_partial_bytes(self, len(self.framing.buffer)):
            self.is_deferred = False
            self._fail_connection(PARTIAL_COMMANDS_LIMIT_RESPONSE, CloseReason.PARTIAL_COMMAND_MEMORY)
            return False
        self._count_memory()
        if not self.pending_slots and not self.is_deferred:
            self._on_all_answered()
        self._update_reading()
        return self.is_deferred and self._can_read_commands()

    def _on_all_answered(self) -> None:
        """Restart the idle timeout, and close a closing connection, unless part of a command has arrived."""
        if self.framing.buffer:
            self.server.idle_since.setdefault(self, monotonic())
        elif self.is_closing or self not in self.server.idle_since:
            self.flush()

    def _read_commands(self, until: float) -> bool:
        """Read commands until a time, and return whether some may be left. Raises FramingError."""
        clock = self.server.input_scheduler.clock
        self.input.cost_factor = BULK_COST_FACTOR if self.arrivals.is_backlogged else 1.0
        command_count = 0
        while self._can_read_commands():
            available_bytes = len(self.framing.buffer)
            command = self.framing.next_message()
            if command is NO_MESSAGE:
                if not command_count:  # a part of a command asks for no work
                    self.input.cost_factor = BULK_COST_FACTOR
                return False
            command_count += 1
            slot = ResponseSlot(self, available_bytes - len(self.framing.buffer))
            self.request_bytes += slot.size_bytes
            self.pending_slots.append(slot)
            self.server.idle_since.pop(self, None)
            self.server.unfinished_since.pop(self, None)  # what is left is of another command
            if not self.server.handler.on_command(slot, command):
                self.input.cost_factor = BULK_COST_FACTOR
            if not self.framing.buffer:
                return False
            if clock() >= until:
                return True
        return True

    def _can_read_commands(self) -> bool:
        """Return whether the client reads its responses, and its pending commands are within the limits."""
        return (
            not self.is_write_blocked
            and len(self.pending_slots) < MAX_PENDING_COMMANDS
            and self.request_bytes + self.response_bytes <= self.server.max_connection_bytes
        )

    def _resume_input(self) -> None:
        """Have the deferred commands handled, if what they waited for has happened."""
        if self.is_deferred and self._can_read_commands():
            self.server.input_scheduler.enqueue(self.input)

    def _end_reading_commands(self) -> None:
        """Write the responses that were set while commands were read."""
        self.is_reading_commands = False
        if self.has_unflushed_responses:
            self.has_unflushed_responses = False
            self.flush()

    def _defer(self) -> None:
        """Stop reading until the commands in the buffer have been handled."""
        self.is_deferred = True
        self.server.update_partial_bytes(self, len(self.framing.buffer))
        self._count_memory()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while writing is blocked, input is deferred or too many commands are pending.

        A half-closed connection is not read any more, unless its input is dropped after a framing error.
        """
        is_paused = (
            self.is_write_blocked
            or self.is_deferred
            or len(self.pending_slots) >= MAX_PENDING_COMMANDS
            or (self.is_half_closed and not self.is_framing_lost)
        )
        if is_paused == self.is_read_paused or self.transport.is_closing():
            return
        self.is_read_paused = is_paused
        if is_paused:
            self.arrivals.on_reading_paused(self.server.input_scheduler.clock())
            self.transport.pause_reading()
            self.server.on_read_paused(self)
        else:
            self.arrivals.on_reading_resumed(self.transport.get_extra_info("socket"))
            self.transport.resume_reading()

    # Responses

    @property
    def held_bytes(self) -> int:
        """The memory that the client makes the gateway hold: received bytes, commands and responses."""
        return self.framing.capacity_bytes + self.request_bytes + self.response_bytes

    def can_hold_response(self, slot: ResponseSlot, size: int) -> bool:
        """Return whether a response can be written at once, or there is memory for it until it can."""
        is_next = self.pending_slots and self.pending_slots[0] is slot and not self.is_write_blocked
        return bool(is_next) or self.server.has_memory(size)

    def on_response(self, slot: ResponseSlot, size: int) -> None:
        """Count a slot's response in place of its command, and write what is next in order."""
        self.request_bytes -= slot.size_bytes
        slot.size_bytes = size
        self.response_bytes += size
        self.flush()

    def _count_memory(self) -> None:
        held_bytes = self.framing.capacity_bytes + self.response_bytes
        if held_bytes != self.counted_bytes:
            self.server.count_memory(held_bytes - self.counted_bytes)
            self.counted_bytes = held_bytes

    def _write_responses(self) -> None:
        """Write the responses that are next in order, until the transport does not take more."""
        pending = self.pending_slots
        while pending and pending[0].response is not None and not self.is_write_blocked:
            responses: list[bytes] = []
            batch_bytes = 0
            while pending and batch_bytes < WRITE_BATCH_BYTES and pending[0].response is not None:
                slot = pending.popleft()
                batch_bytes += slot.size_bytes
                assert slot.response is not None
                responses.append(slot.response)
            self.response_bytes -= batch_bytes
            if len(responses) == 1:
                self.transport.write(responses[0])
            else:
                self.transport.writelines(responses)

    def flush(self) -> None:
        """Write the responses that are next in order; close a closing connection after the last one."""
        if self.is_reading_commands:
            self.has_unflushed_responses = True
            return
        self._write_responses()
        self._count_memory()
        pending = self.pending_slots
        if not pending and not self.is_deferred:
            self.server.on_idle(self)
            if self.is_closing and not self._has_commands_to_read():
                self._close()
                return
        if self.is_read_paused:
            self._resume_input()
            self._update_reading()

    # Closing

    def cancel_pending(self) -> None:
        """Cancel all pending commands: the client has disconnected."""
        self.is_closing = True
        pending = self.pending_slots
        self.pending_slots = deque()
        self.request_bytes = 0
        self.response_bytes = 0
        self._count_memory()
        for slot in pending:
            if slot.response is None:
                self.server.handler.on_client_disconnected(slot)

    def on_idle_timeout(self) -> None:
        """Close a connection that was idle for too long, unless it has unread input."""
        if self.is_half_closed or self.transport.is_closing() or self.is_deferred or self.has_unread_data():
            return
        if self.partial_bytes:
            self._fail_connection(PARTIAL_COMMAND_TIMEOUT_RESPONSE, CloseReason.PARTIAL_COMMAND_TIMEOUT)
        else:
            self.close_when_answered()

    def close_when_answered(self) -> None:
        """Close the connection once all accepted commands are answered.

        Commands that arrive before that are served too, as are those unread in the socket, because the
        connection has accepted them. A connection with a partial command closes after the response to that
        command, or by the idle timeout if the rest does not arrive.
        """
        if self.is_half_closed:
            return
        self.is_closing = True
        is_busy_or_gone = bool(self.pending_slots) or self.transport.is_closing()
        if is_busy_or_gone or not (self.partial_bytes or self.has_unread_data()):
            self.flush()

    def _has_commands_to_read(self) -> bool:
        """Return whether a closing connection still has input to read.

        A connection with too many pending commands is not read. If all of them are answered in one event loop
        iteration, the commands that the client sent meanwhile are still in the socket. Closing would reset
        the connection, and those commands and the responses in transit would be lost. Instead the connection
        closes after the responses to those commands, or by the idle timeout.
        """
        if self.is_framing_lost or self.transport.is_closing() or not self.has_unread_data():
            return False
        self.server.idle_since[self] = monotonic()
        return True

    def has_unwritten_response(self) -> bool:
        """Return whether a response waits for the client to read earlier ones."""
        is_waiting = bool(self.pending_slots) and self.pending_slots[0].response is not None
        return is_waiting or bool(self.transport.get_write_buffer_size())

    def has_unread_commands(self) -> bool:
        """Return whether received bytes wait to be read from the socket or to be parsed."""
        if self.is_half_closed or self.is_framing_lost or self.transport.is_closing():
            return False
        return self.is_deferred or self.has_unread_data()

    def has_unread_data(self) -> bool:
        """Return whether the socket holds unread bytes."""
        return socket_state.has_unread_data(self.transport.get_extra_info("socket"))

    def is_closed_by_peer(self) -> bool:
        """Return whether the client closed the connection or its sending side, even with unread data."""
        return socket_state.is_closed_by_peer(self.transport.get_extra_info("socket"))

    def fail_unfinished(self, reason: CloseReason) -> None:
        """Fail a connection with a partial command, for a shortage of memory or descriptors."""
        self._fail_connection(PARTIAL_COMMANDS_LIMIT_RESPONSE, reason)

    def _fail_connection(self, response: bytes, reason: CloseReason) -> None:
        """Fail pending commands, send `response` and close: no further input can be parsed."""
        if self.is_half_closed:
            return
        self.server.activity.on_closed(self, reason)
        self.is_framing_lost = True
        self.is_closing = True
        self.framing.clear()
        self.server.update_partial_bytes(self, 0)
        for slot in list(self.pending_slots):
            if slot.response is None:
                slot.response = FAILED_RESPONSE  # the client must not wait for the response
                self.request_bytes -= slot.size_bytes
                slot.size_bytes = 0
                self.server.handler.on_client_disconnected(slot)
        slot = ResponseSlot(self)
        self.pending_slots.append(slot)
        slot.respond(response)

    def _close(self) -> None:
        """Close the sending side, and leave it to the client to close the connection, for a limited time.

        A client may be sending just now, or still be reading the last responses. A closed socket would answer
        what it sends with a reset, which can discard responses that it has not read.
        """
        self.server.on_closing(self)
        if self.transport.is_closing():
            return
        self.is_half_closed = True
        self.transport.write_eof()
        self._update_reading()
