"""What a client connection needs from its server and from whoever handles its commands.

For annotations only: imported under TYPE_CHECKING, so that a running gateway does not load this module.
"""

from __future__ import annotations

from typing import Protocol

from apigateway.core.admission import AdmissionController
from apigateway.core.input_scheduler import InputScheduler
from apigateway.core.loop_lag import LoopLag
from apigateway.frontends.resp.activity_log import ActivityLog
from apigateway.frontends.resp.client_connection import ClientConnection
from apigateway.frontends.resp.response_slot import ResponseSlot


class CommandHandler(Protocol):
    """Handles the commands of connections."""

    def on_command(self, slot: ResponseSlot, command: object) -> bool:
        """Handle a command and send its response to `slot`; return whether it is a request."""

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Handle a client that disconnected before its response."""

    def restore_token(self, slot: ResponseSlot) -> None:
        """Make the token of a rejected request redeemable again."""


class ConnectionOwner(Protocol):
    """What a connection needs from its server."""

    handler: CommandHandler
    admission: AdmissionController | None
    input_scheduler: InputScheduler
    loop_lag: LoopLag
    activity: ActivityLog

    @property
    def max_connection_bytes(self) -> float:
        """The memory for one connection's commands and responses."""

    idle_since: dict[ClientConnection, float]
    unfinished_since: dict[ClientConnection, float]

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a new connection."""

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no pending command."""

    def on_closing(self, connection: ClientConnection) -> None:
        """Record that a connection has written its last byte or is writing it."""

    def on_write_blocked(self, connection: ClientConnection) -> None:
        """Record that the write buffer is full because the client does not read."""

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """Record that the client reads again."""

    def has_memory(self, size: int) -> bool:
        """Return whether clients may use `size` bytes more."""

    def count_memory(self, size: int) -> None:
        """Add to the memory that connections use, or subtract from it."""

    def on_read_paused(self, connection: ClientConnection) -> None:
        """Record that a connection is not read, so that a disconnect must be polled for."""

    def update_partial_bytes(self, connection: ClientConnection, size: int) -> bool:
        """Update the total of partial command bytes; return False if it exceeds the limit."""
