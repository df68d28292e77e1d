"""Interfaces between a gRPC connection and the methods that it serves."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class OpenCall(Protocol):
    """An accepted call that has no status yet."""

    def on_cancelled(self) -> None:
        """Handle the cancellation of the call: no response is expected."""


class UnaryResponder(Protocol):
    """Receives the response of a unary call. Exactly one of its methods is called, once."""

    def respond(self, message: bytes) -> None:
        """Respond with a message and status OK."""

    def fail(self, status: int, text: str) -> None:
        """Respond with a gRPC status other than OK."""


class StreamResponder(Protocol):
    """Sends the server's messages of a streaming call."""

    def send(self, message: bytes) -> None:
        """Send a message."""

    def end(self, status: int, text: str = "") -> None:
        """End the call with a gRPC status."""


class StreamHandler(OpenCall, Protocol):
    """Handles the client's messages of a streaming call."""

    def on_message(self, message: bytes) -> None:
        """Handle a message from the client."""

    def on_half_closed(self) -> None:
        """Handle the end of the client's messages."""


# Arguments: the message, the timeout in seconds if set, and the responder. Returns the call, which is
# notified of a cancellation, or None if the call was answered at once.
UnaryMethod = Callable[[bytes, float | None, UnaryResponder], OpenCall | None]
StreamingMethod = Callable[[StreamResponder], StreamHandler]
