"""What a gRPC connection and the methods that it serves know of each other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class OpenCall(Protocol):
    """A call that was taken and has no status yet."""

    def on_cancelled(self) -> None:
        """Take in that nobody waits for a response any more."""


class UnaryResponder(Protocol):
    """Where a unary call's response goes. One of the two is called, once."""

    def respond(self, message: bytes) -> None:
        """Answer with a message."""

    def fail(self, status: int, text: str) -> None:
        """Answer with a gRPC status other than OK."""


class StreamResponder(Protocol):
    """The server's side of a call that streams."""

    def send(self, message: bytes) -> None:
        """Send a message."""

    def end(self, status: int, text: str = "") -> None:
        """End the call with a gRPC status."""


class StreamHandler(OpenCall, Protocol):
    """What answers a call that streams."""

    def on_message(self, message: bytes) -> None:
        """Take a message of the client."""

    def on_half_closed(self) -> None:
        """Take in that the client will send no more messages."""


# A unary call: its message, its timeout in seconds if it has one, and where the response goes. Returns the
# call, to be told if it is cancelled; None if it was answered at once.
UnaryMethod = Callable[[bytes, float | None, UnaryResponder], OpenCall | None]
StreamingMethod = Callable[[StreamResponder], StreamHandler]
