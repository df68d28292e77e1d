"""Hand the listening sockets, the lock and the endpoint list of a running gateway to a new process.

Both processes exchange messages over a Unix socket, each a line of JSON:

    successor                               predecessor
    {"take": 1}                     ->
                                    <-      {"listeners": [...]}  + descriptors (SCM_RIGHTS)
                                    <-      {"known": list}
    (builds everything, checks that it could serve)
    {"ready": true}                 ->
                                            stops accepting; its ceilings are no longer refilled
                                    <-      {"go": true, "known": list}
    (accepts)
    {"serving": true}               ->
                                            completes its requests in flight, exits

Each side limits the time of each wait. If the connection closes before `serving`, the predecessor continues
to serve and the successor exits. Exactly one of them is then left, and at every moment one of them held the
listening sockets with the kernel's queue of connections.

This module defines the messages and errors. handover_predecessor.py and handover_successor.py implement the
two sides, handover_channel.py the connection between them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

# A gateway's endpoint list in its stored form, or a supervisor's number of workers and first in-flight
# region.
PredecessorState = dict[str, Any]
# A message in its wire form, a JSON object. It must not change, since different versions of the program
# exchange it.
WireMessage = dict[str, Any]

TAKE_OVER_VERSION = 1  # version of the protocol


class HandoverError(Exception):
    """The peer disconnected, sent an unexpected message or timed out."""


class HandoverInProgressError(HandoverError):
    """Another successor is taking over."""


class HandoverOffer(NamedTuple):
    """Everything that a predecessor passes to its successor.

    Attributes:
        listeners: Addresses of the listening sockets.
        descriptors: The socket of each listener in the same order, then the lock.
        state: The predecessor's state.
    """

    listeners: list[str]
    descriptors: list[int]
    state: PredecessorState


@dataclass(frozen=True, slots=True)
class TakeOverRequest:
    """The successor's request for sockets, lock and state."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"take": TAKE_OVER_VERSION}

    @staticmethod
    def matches(message: WireMessage) -> bool:
        """Return whether a wire message is a take-over request."""
        return bool(message.get("take") == TAKE_OVER_VERSION)


@dataclass(frozen=True, slots=True)
class TakeOverRejected:
    """The predecessor's rejection: another successor is taking over, or has taken over."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"busy": True}


@dataclass(frozen=True, slots=True)
class ListenersMessage:
    """The predecessor's listeners; their sockets and the lock are sent with the message."""

    listeners: list[str]

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"listeners": self.listeners}

    @classmethod
    def from_wire(cls, message: WireMessage, descriptor_count: int) -> ListenersMessage:
        """Parse the reply to a TakeOverRequest, received with `descriptor_count` descriptors.

        Raises:
            HandoverInProgressError: The reply is a TakeOverRejected.
            HandoverError: The listeners or some descriptors are missing.
        """
        if message.get("busy"):
            raise HandoverInProgressError("another successor is taking over")
        listeners = message.get("listeners")
        if not isinstance(listeners, list) or descriptor_count != len(listeners) + 1:  # one more for the lock
            raise HandoverError("not all sockets were received")
        return cls(listeners)


@dataclass(frozen=True, slots=True)
class StateMessage:
    """The predecessor's state."""

    state: PredecessorState

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"known": self.state}

    @classmethod
    def from_wire(cls, message: WireMessage) -> StateMessage:
        """Parse the wire form; a state that is not a JSON object is read as empty."""
        return cls(_parse_state(message))


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """The successor is ready to serve."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"ready": True}

    @classmethod
    def from_wire(cls, message: WireMessage) -> ReadyMessage:
        """Parse the wire form.

        Raises:
            HandoverError: The message is of another type.
        """
        if not message.get("ready"):
            raise HandoverError("expected `ready` from the successor, received another message")
        return cls()


@dataclass(frozen=True, slots=True)
class StoppedAcceptingMessage:
    """The predecessor has stopped accepting; carries its latest state."""

    state: PredecessorState

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"go": True, "known": self.state}

    @classmethod
    def from_wire(cls, message: WireMessage) -> StoppedAcceptingMessage:
        """Parse the wire form.

        Raises:
            HandoverError: The message is of another type.
        """
        if not message.get("go"):
            raise HandoverError("expected `go` from the predecessor, received another message")
        return cls(_parse_state(message))


@dataclass(frozen=True, slots=True)
class ServingMessage:
    """The successor accepts connections."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"serving": True}

    @classmethod
    def from_wire(cls, message: WireMessage) -> ServingMessage:
        """Parse the wire form.

        Raises:
            HandoverError: The message is of another type.
        """
        if not message.get("serving"):
            raise HandoverError("expected `serving` from the successor, received another message")
        return cls()


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """The command line's request for a status by its name; the reply is the status itself."""

    name: str

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"ask": self.name}

    @staticmethod
    def requested_name(message: WireMessage) -> Any:
        """Return the name of the requested status; None if the message is not a status request."""
        return message.get("ask")


def _parse_state(message: WireMessage) -> PredecessorState:
    state = message.get("known")
    return state if isinstance(state, dict) else {}
