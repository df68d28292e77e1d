"""What the daemon's modules need of each other's collaborators, one Protocol each.

For annotations only: imported under TYPE_CHECKING, so that a running gateway does not load it.
"""

from __future__ import annotations

import socket
from typing import Any, Protocol

from apigateway.core import interfaces
from apigateway.upstream.address import Address


class Frontend(Protocol):
    """One listener of a client protocol, with its connections."""

    address: Address
    port: int

    def update_admission(self) -> None:
        """Take up the core's admission controller, which was set or removed."""

    def set_tokens(self, tokens: Any) -> None:
        """Use these tokens of checks from now on; None: none are used."""

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Limit its connections, and the bytes of incomplete commands on all of them."""

    def announce_shutdown(self) -> None:
        """Hear that a graceful shutdown has begun."""

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Accept connections, on this socket if there is one."""

    def stop_accepting(self) -> None:
        """Accept no new connections; the present ones go on."""

    def start_draining(self) -> None:
        """Close the listener, and each connection once its commands are answered."""

    async def wait_settled(self, timeout: float) -> None:
        """Wait at most so long until commands that were received in part are complete."""

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted."""

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether an answer is not written to the end."""

    async def wait_disconnected(self) -> None:
        """Wait until the last connection has ended."""

    def close(self) -> None:
        """Close all connections at once."""


class EndpointSource(interfaces.EndpointSource, Protocol):
    """A source of the endpoint list that can be replaced by another."""

    @property
    def watching(self) -> object:
        """Whether it watches the list."""

    async def close(self) -> None:
        """End what is under way."""
