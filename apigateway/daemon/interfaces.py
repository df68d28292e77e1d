"""Define the interfaces of frontends and endpoint sources that the daemon's modules use.

For annotations only: imported under TYPE_CHECKING, so that a running gateway does not load this module.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import Any, Protocol

from apigateway.core import interfaces
from apigateway.core.memory_pressure import PressureStage
from apigateway.upstream.address import Address


class Frontend(Protocol):
    """One listener of a client protocol, with its connections."""

    address: Address
    port: int

    def update_admission(self) -> None:
        """Use the core's current admission controller, after it was set or removed."""

    def set_tokens(self, tokens: Any) -> None:
        """Replace the quota tokens; None to use none."""

    def set_memory_stage(self, stage: PressureStage, excess_bytes: int) -> None:
        """Act as the stage of the process's memory says; see `core/memory_pressure.py`."""

    def describe_holders(self) -> Sequence[str]:
        """Return a few words on each kind of object that holds memory, largest first."""

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Limit the number of connections, and the total bytes of incomplete commands on them."""

    def announce_shutdown(self) -> None:
        """Handle the start of a graceful shutdown."""

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Start accepting connections, on the given socket if there is one."""

    def stop_accepting(self) -> None:
        """Stop accepting connections; the existing ones stay open."""

    def start_draining(self) -> None:
        """Close the listener, and close each connection once its commands are answered."""

    async def wait_settled(self, timeout: float) -> None:
        """Wait until partially received commands are complete, at most `timeout` seconds."""

    @property
    def has_pending_connections(self) -> bool:
        """Whether connections wait to be accepted."""

    @property
    def pending_connection_count(self) -> int:
        """How many connections wait to be accepted."""

    @property
    def has_unread_requests(self) -> bool:
        """Whether a connection has received bytes that wait to be read or parsed."""

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a response has not been written completely."""

    async def wait_disconnected(self) -> None:
        """Wait until the last connection is closed."""

    def close(self) -> None:
        """Close all connections immediately."""


class EndpointSource(interfaces.EndpointSource, Protocol):
    """A source of the endpoint list that can be replaced at a reload."""

    @property
    def watching(self) -> object:
        """Truthy while the source watches the list."""

    async def close(self) -> None:
        """Stop the watch and close the connections."""
