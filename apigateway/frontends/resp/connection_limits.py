"""Which connections give way when descriptors or memory run short.

A connection that has an accepted request without a response never does, unless its client does not read.
"""

from __future__ import annotations

from collections import Counter
from itertools import islice
from time import monotonic
from typing import TYPE_CHECKING

from apigateway.core.memory_pressure import PressureStage
from apigateway.frontends.resp.activity_log import BYTES_PER_MIB, CloseReason

if TYPE_CHECKING:
    from apigateway.frontends.resp.client_connection import ClientConnection
    from apigateway.frontends.resp.server import RespServer

# Idle or unfinished connections, the oldest first, that are considered when one must give way.
MAX_EVICTION_CANDIDATES = 64
# A command that is unfinished for longer gives way to a new connection. Sound clients send theirs at once.
MIN_UNFINISHED_S = 0.5
# A client that has not read for longer gives way under memory pressure.
MIN_UNREAD_S = 0.5
# Closing a connection that holds less is of no use.
MIN_HELD_BYTES = 4096
# Holders that are named in the log.
MAX_HOLDERS = 10


class ConnectionLimits:
    """Chooses and closes connections of one server.

    Args:
        server: The server.
    """

    def __init__(self, server: RespServer) -> None:
        self._server = server
        self.stage = PressureStage.NORMAL

    # Descriptors

    def evict(self) -> bool:
        """Close a connection for a new one; return whether one was closed.

        It is one that is closing already, else the one that holds most of those whose command has been
        unfinished for a while, else the one that has been idle longest.
        """
        if (connection := self._first_closing()) is not None:
            connection.transport.abort()
        elif (connection := self._largest_unfinished(monotonic() - MIN_UNFINISHED_S)) is not None:
            connection.fail_unfinished(CloseReason.UNFINISHED)
            connection.transport.close()
        elif (connection := self._longest_idle()) is not None:
            self._server.activity.on_closed(connection, CloseReason.EVICTED)
            connection.transport.close()
            connection.is_closing = True
        return connection is not None

    def _first_closing(self) -> ClientConnection | None:
        closing = self._server.closing_since
        return next((one for one in closing if not one.transport.is_closing()), None)

    def _longest_idle(self) -> ClientConnection | None:
        for connection in islice(self._server.idle_since, MAX_EVICTION_CANDIDATES):
            is_ending = connection.transport.is_closing() or connection.is_deferred
            if not is_ending and not connection.partial_bytes and not connection.has_unread_data():
                return connection
        return None

    # Memory

    def set_stage(self, stage: PressureStage, excess_bytes: int) -> None:
        """Act as the stage of the process's memory says."""
        self.stage = stage
        self._server.set_accepting(stage < PressureStage.REJECT)
        if stage >= PressureStage.CLOSE_LARGEST:
            self._close_largest(excess_bytes)
        if stage >= PressureStage.CLOSE_IDLE:
            self._close_idle()

    def make_room(self, connection: ClientConnection) -> bool:
        """Close larger unfinished commands for a partial one, while they exceed their limit together."""
        server = self._server
        while server.partial_bytes > server.max_partial_bytes:
            largest = self._largest_unfinished(monotonic())
            if largest is None or largest is connection or largest.partial_bytes < connection.partial_bytes:
                return False
            largest.fail_unfinished(CloseReason.PARTIAL_COMMAND_MEMORY)
        return True

    def describe_holders(self) -> list[str]:
        """Return a few words on each kind of object that holds memory, largest first."""
        held = Counter[str]()
        for connection in self._server.connections:
            held["received"] += connection.framing.capacity_bytes
            held["requests"] += connection.request_bytes
            held["responses"] += connection.response_bytes
            held["unread by clients"] += connection.transport.get_write_buffer_size()
        texts = [f"{len(self._server.connections)} connections"]
        texts += [f"{size / BYTES_PER_MIB:.1f} MiB {kind}" for kind, size in held.most_common(MAX_HOLDERS)]
        return texts

    def _largest_unfinished(self, begun_before: float) -> ClientConnection | None:
        """Return the connection with the largest partial command, of those longest unfinished."""
        if not self._server.partial_bytes:
            return None
        candidates = islice(self._server.unfinished_since.items(), MAX_EVICTION_CANDIDATES)  # oldest first
        unfinished = [
            connection
            for connection, since in candidates
            if since <= begun_before and connection in self._server.idle_since and not connection.is_deferred
        ]
        open_ones = (connection for connection in unfinished if not connection.transport.is_closing())
        return max(open_ones, key=lambda connection: connection.partial_bytes, default=None)

    def _close_largest(self, excess_bytes: int) -> None:
        """Close unfinished commands and connections that are not read, largest first, to free some bytes."""
        unread_before = monotonic() - MIN_UNREAD_S
        blocked = self._server.write_blocked_since
        candidates = [one for one in self._server.idle_since if one.partial_bytes and not one.is_deferred]
        candidates += [one for one, since in blocked.items() if since < unread_before]
        candidates.sort(key=lambda connection: connection.held_bytes, reverse=True)
        for connection in candidates:
            if excess_bytes <= 0 or connection.held_bytes < MIN_HELD_BYTES:
                return
            if connection.transport.is_closing():
                continue
            excess_bytes -= connection.held_bytes
            if connection in blocked:
                self._server.activity.on_closed(connection, CloseReason.MEMORY)
                connection.transport.abort()
            else:
                connection.fail_unfinished(CloseReason.MEMORY)

    def _close_idle(self) -> None:
        """Close the connections without an accepted request."""
        for connection in list(self._server.idle_since):
            if not (connection.transport.is_closing() or connection.pending_slots or connection.is_deferred):
                self._server.activity.on_closed(connection, CloseReason.MEMORY)
                connection.transport.close()
                connection.is_closing = True
