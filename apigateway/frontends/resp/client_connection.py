"""One RESP2 client's connection: commands in, responses out in the order of the commands.

A connection is busy (commands are pending), idle (none is, perhaps part of one has come) or closing (its
last byte is written or being written). `server.py` limits how many there are and how long they stay idle or
closing.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from time import monotonic
from typing import TYPE_CHECKING, Any, Protocol, cast

from apigateway.upstream import socket_state
from apigateway.upstream.framing import NO_MESSAGE, Framing, FramingError, encode_bulk_string

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.frontends.grpc.tokens import Token

# Commands of one connection without a response; past that it is not read.
MAX_PENDING_COMMANDS = 512
# Bytes read and dropped behind lost framing, so that the close is no reset; a client that sends more would
# take CPU for nothing.
MAX_DROPPED_BYTES = 256 * 1024

FAILED_RESPONSE = b"-ERR failed\r\n"
BUSY_RESPONSE = b"-BUSY\r\n"
PROTOCOL_ERROR_RESPONSE = b"-ERR protocol error\r\n"
PARTIAL_COMMANDS_LIMIT_RESPONSE = b"-ERR too much in work\r\n"
PARTIAL_COMMAND_TIMEOUT_RESPONSE = b"-ERR command not finished in time\r\n"


class CommandHandler(Protocol):
    """What commands are handed to."""

    def on_command(self, slot: ResponseSlot, command: object) -> None:
        """Take a command, whose response is to go to `slot`."""

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Take in that nobody waits for a response any more."""

    def restore_token(self, slot: ResponseSlot) -> None:
        """Give a rejected request's token back."""


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    handler: CommandHandler
    admission: AdmissionController | None
    idle_since: dict[ClientConnection, float]

    def on_connected(self, connection: ClientConnection) -> None:
        """Take in a new connection."""

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Forget a connection."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Take in that a connection has no pending command."""

    def on_closing(self, connection: ClientConnection) -> None:
        """Take in that a connection's last byte is written or being written."""

    def on_write_blocked(self, connection: ClientConnection) -> None:
        """Take in that the client does not take what is written."""

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """Take in that the client takes it again."""

    def on_read_paused(self, connection: ClientConnection) -> None:
        """Take in that a connection is not read, so that its end has to be looked for."""

    def hold_partial_bytes(self, connection: ClientConnection, size: int) -> bool:
        """Count the bytes of a connection's partial command; False if all together are too many."""

    def may_defer(self, connection: ClientConnection) -> bool:
        """Tell whether there is memory for commands that were read to wait."""


class ResponseSlot:
    """The place of one command's response among those of its connection: the core's `ResponseSink`."""

    __slots__ = ("connection", "response", "token", "redeemed_token")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.response: bytes | None = None
        self.token: Any = None  # the core's record of a command that was taken
        self.redeemed_token: Token | None = None  # of a quota check, which the client showed

    def respond(self, response: bytes) -> None:
        """Set the response, if there is none, and write it when its turn comes."""
        if self.response is None:
            self.response = response
            self.connection.flush()

    def complete(self, value: bytes) -> None:
        """Answer with a host's value."""
        self.respond(encode_bulk_string(value))

    def reject(self, retry_after: float) -> None:
        """Answer that trying again is harmless, after `retry_after` seconds; 0 where nothing is known."""
        if self.redeemed_token is not None:
            self.connection.server.handler.restore_token(self)
        milliseconds = math.ceil(retry_after * 1000)
        self.respond(b"-BUSY %d\r\n" % milliseconds if milliseconds > 0 else BUSY_RESPONSE)

    def fail(self) -> None:
        """Answer that it may have run."""
        self.respond(FAILED_RESPONSE)


class ClientConnection(asyncio.Protocol):
    """The event loop's protocol of one client."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self.framing = Framing()
        self.pending_slots: deque[ResponseSlot] = deque()
        self.partial_bytes = 0  # of a partial command, as the server has counted them
        self.dropped_bytes = 0  # that came behind lost framing
        self.received_at = 0.0  # when its last bytes came, by the admission controller's clock
        self.is_closing = False  # once nothing is pending it ends
        self.is_framing_lost = False  # nothing that comes can be read any more
        self.is_write_blocked = False
        self.is_read_paused = False
        self.is_deferred = False  # commands that were read wait for a later turn of the loop
        self.is_reading_commands = False
        self.has_unflushed_responses = False  # responses that came while commands are being read

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in that the connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection has ended."""
        self.server.on_disconnected(self)
        self.abandon_pending()

    def eof_received(self) -> None:
        """Take in that the client has gone.

        Responses that it did not take may still keep the connection from its end.
        """
        self.abandon_pending()

    def data_received(self, data: bytes) -> None:
        """Read commands, or let them wait where the loop has read for long enough in this turn."""
        if self.is_framing_lost:
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_DROPPED_BYTES:
                self.transport.abort()
            return
        self.framing.feed(data)
        admission = self.server.admission
        if admission is not None:
            if self.is_deferred:
                return
            self.received_at = admission.clock()
            if admission.is_time_slice_used_up and self.server.may_defer(self):
                self._defer(admission)
                return
        self._read_commands(admission)

    def pause_writing(self) -> None:
        """Stop reading a client that takes no responses."""
        self.is_write_blocked = True
        self.server.on_write_blocked(self)
        self._update_reading()

    def resume_writing(self) -> None:
        """Read a client again that takes its responses."""
        self.is_write_blocked = False
        self.server.on_write_resumed(self)
        self._update_reading()

    # Commands

    def _read_commands(self, admission: AdmissionController | None) -> None:
        """Hand over what commands have come whole."""
        self.is_reading_commands = True  # responses that come at once are written together
        try:
            while (command := self.framing.next_message()) is not NO_MESSAGE:
                slot = ResponseSlot(self)
                self.pending_slots.append(slot)
                self.server.idle_since.pop(self, None)
                self.server.handler.on_command(slot, command)
                if (
                    admission is not None
                    and admission.is_time_slice_used_up
                    and self.framing.buffer
                    and self.server.may_defer(self)
                ):
                    self._defer(admission)
                    return
        except FramingError:
            self._end_reading_commands()
            self._fail_connection(PROTOCOL_ERROR_RESPONSE)
            return
        finally:
            self._end_reading_commands()
        if not self.server.hold_partial_bytes(self, len(self.framing.buffer)):
            self._fail_connection(PARTIAL_COMMANDS_LIMIT_RESPONSE)
            return
        self._update_reading()

    def _end_reading_commands(self) -> None:
        """Write what was answered while commands were read."""
        self.is_reading_commands = False
        if self.has_unflushed_responses:
            self.has_unflushed_responses = False
            self.flush()

    def _defer(self, admission: AdmissionController) -> None:
        """Go on with this connection in a later turn of the loop, and do not read it before."""
        self.is_deferred = True
        admission.deferred_connections.append(self._resume_deferred)
        self.server.hold_partial_bytes(self, len(self.framing.buffer))
        self._update_reading()

    def _resume_deferred(self) -> None:
        self.is_deferred = False
        if self.is_framing_lost or self.transport.is_closing():
            return
        self._read_commands(self.server.admission)
        if self.is_closing and not self.pending_slots:
            self.flush()

    def _update_reading(self) -> None:
        """Pause or resume reading: a client that takes no responses or has too much pending is not read."""
        is_paused = (
            self.is_write_blocked or self.is_deferred or len(self.pending_slots) >= MAX_PENDING_COMMANDS
        )
        if is_paused == self.is_read_paused or self.transport.is_closing():
            return
        self.is_read_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
            self.server.on_read_paused(self)
        else:
            self.transport.resume_reading()

    # Responses

    def flush(self) -> None:
        """Write the responses whose turn has come; end a closing connection behind the last."""
        if self.is_reading_commands:
            self.has_unflushed_responses = True
            return
        pending = self.pending_slots
        if len(pending) == 1 and (response := pending[0].response) is not None:  # the usual case
            pending.popleft()
            self.transport.write(response)
        elif pending and pending[0].response is not None:
            responses: list[bytes] = []
            while pending:
                response = pending[0].response
                if response is None:
                    break
                pending.popleft()
                responses.append(response)
            self.transport.writelines(responses)
        if not pending and not self.is_deferred:
            self.server.on_idle(self)
            if self.is_closing and not self._has_commands_to_read():
                self._end()
                return
        if self.is_read_paused:
            self._update_reading()

    # The end of the connection

    def abandon_pending(self) -> None:
        """Tell of every pending command that nobody waits for its response: the client went away."""
        self.is_closing = True
        pending = self.pending_slots
        self.pending_slots = deque()
        for slot in pending:
            if slot.response is None:
                self.server.handler.on_client_disconnected(slot)

    def on_idle_timeout(self) -> None:
        """Close a connection that was idle for too long, unless its client asks just now."""
        if self.transport.is_closing() or self.is_deferred or self.has_unread_data():
            return
        if self.partial_bytes:
            self._fail_connection(PARTIAL_COMMAND_TIMEOUT_RESPONSE)
        else:
            self.close_when_answered()

    def close_when_answered(self) -> None:
        """Close once all that was taken is answered.

        What still comes before that is served too: it was taken. So was what lies unread in the socket, and
        a connection with a partial command is not between two requests: it ends with that answer, or by the
        idle timeout where the rest does not come.
        """
        self.is_closing = True
        is_busy_or_gone = bool(self.pending_slots) or self.transport.is_closing()
        if is_busy_or_gone or not (self.partial_bytes or self.has_unread_data()):
            self.flush()

    def _has_commands_to_read(self) -> bool:
        """Tell whether a connection that is to end has to be read once more.

        One with too much pending is not read. When all of that is answered in one turn, what its client sent
        meanwhile is still in the socket, and a close would reset the connection: those commands would be lost
        and so would responses that are on their way. It ends with their responses, or by the idle timeout.
        """
        if self.is_framing_lost or self.transport.is_closing() or not self.has_unread_data():
            return False
        self.server.idle_since[self] = monotonic()
        return True

    def has_unread_data(self) -> bool:
        """Tell whether the socket holds bytes that were not read yet."""
        return socket_state.has_unread_data(self.transport.get_extra_info("socket"))

    def is_closed_by_peer(self) -> bool:
        """Tell whether the client has ended its sending or the connection, behind what was not read yet."""
        return socket_state.is_closed_by_peer(self.transport.get_extra_info("socket"))

    def _fail_connection(self, response: bytes) -> None:
        """Fail what is pending, answer with `response` and end: nothing that follows can be read."""
        self.is_framing_lost = True
        self.is_closing = True
        self.server.hold_partial_bytes(self, 0)
        for slot in list(self.pending_slots):
            if slot.response is None:
                slot.response = FAILED_RESPONSE  # the client is not to wait for it
                self.server.handler.on_client_disconnected(slot)
        slot = ResponseSlot(self)
        self.pending_slots.append(slot)
        slot.respond(response)

    def _end(self) -> None:
        self.server.on_closing(self)
        if self.is_framing_lost and not self.transport.is_closing():
            self.transport.write_eof()  # closing with input unread would be a reset, which can eat the error
        else:
            self.transport.close()
