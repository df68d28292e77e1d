"""Hand the listening sockets, the lock and the endpoint list of a running gateway to a new process.

Both processes talk over a Unix socket, one line of JSON a message:

    successor                               predecessor
    {"take": 1}                     ->
                                    <-      {"listeners": [...]}  + descriptors (SCM_RIGHTS)
                                    <-      {"known": list}
    (builds everything, checks that it could serve)
    {"ready": true}                 ->
                                            stops accepting; its rate ceilings fill no further
                                    <-      {"go": true, "known": list}
    (accepts)
    {"serving": true}               ->
                                            completes its requests in flight, exits

Each side bounds each wait. If the connection ends before `serving`, the predecessor goes on as before and the
successor exits: exactly one of them is left, and the kernel's queue of connections was held by one of them
throughout.

Here are the messages and errors. handover_predecessor.py and handover_successor.py have the two sides,
handover_channel.py the connection between them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

# An endpoint list in its stored form, or what a supervisor says of its workers.
KnownEndpoints = dict[str, Any]
# A message in its wire form, a JSON object. Successive versions of the program talk by it: it must stay.
WireMessage = dict[str, Any]

TAKE_OVER_VERSION = 1  # of the protocol


class HandoverError(Exception):
    """The peer disconnected, sent something unexpected or took too long."""


class HandoverInProgressError(HandoverError):
    """Another successor is taking over."""


class HandoverOffer(NamedTuple):
    """What a predecessor passes on.

    Attributes:
        listeners: Addresses of the listening sockets.
        descriptors: One for each listener in the same order, then the lock's.
        known: The predecessor's endpoints.
    """

    listeners: list[str]
    descriptors: list[int]
    known: KnownEndpoints


@dataclass(frozen=True, slots=True)
class TakeOverRequest:
    """A successor asks for everything."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"take": TAKE_OVER_VERSION}

    @staticmethod
    def is_sent_by(message: WireMessage) -> bool:
        """Return whether a wire message is this one."""
        return bool(message.get("take") == TAKE_OVER_VERSION)


@dataclass(frozen=True, slots=True)
class TakeOverRejected:
    """Another successor is taking over, or has."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"busy": True}


@dataclass(frozen=True, slots=True)
class ListenersMessage:
    """The predecessor's listeners; their sockets and the lock come with the message."""

    listeners: list[str]

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"listeners": self.listeners}

    @classmethod
    def from_wire(cls, message: WireMessage, descriptor_count: int) -> ListenersMessage:
        """Read the answer to a TakeOverRequest, with which so many descriptors came.

        Raises:
            HandoverInProgressError: It is a TakeOverRejected.
            HandoverError: Descriptors are missing.
        """
        if message.get("busy"):
            raise HandoverInProgressError("another successor is taking over")
        listeners = message.get("listeners")
        if not isinstance(listeners, list) or descriptor_count != len(listeners) + 1:  # and the lock
            raise HandoverError("the sockets did not all come")
        return cls(listeners)


@dataclass(frozen=True, slots=True)
class KnownMessage:
    """The predecessor's endpoints."""

    known: KnownEndpoints

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"known": self.known}

    @classmethod
    def from_wire(cls, message: WireMessage) -> KnownMessage:
        """Read it; what is no object counts as nothing known."""
        return cls(_known_of(message))


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """The successor could serve."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"ready": True}

    @classmethod
    def from_wire(cls, message: WireMessage) -> ReadyMessage:
        """Read it.

        Raises:
            HandoverError: It is another message.
        """
        if not message.get("ready"):
            raise HandoverError("the successor did not get ready")
        return cls()


@dataclass(frozen=True, slots=True)
class GoMessage:
    """The predecessor has stopped accepting; with its last endpoints."""

    known: KnownEndpoints

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"go": True, "known": self.known}

    @classmethod
    def from_wire(cls, message: WireMessage) -> GoMessage:
        """Read it.

        Raises:
            HandoverError: It is another message.
        """
        if not message.get("go"):
            raise HandoverError("no word to go")
        return cls(_known_of(message))


@dataclass(frozen=True, slots=True)
class ServingMessage:
    """The successor accepts."""

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"serving": True}

    @classmethod
    def from_wire(cls, message: WireMessage) -> ServingMessage:
        """Read it.

        Raises:
            HandoverError: It is another message.
        """
        if not message.get("serving"):
            raise HandoverError("the successor does not serve")
        return cls()


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """The command line asks for the status of that name; the answer is the status itself."""

    name: str

    def to_wire(self) -> WireMessage:
        """Return the wire form."""
        return {"ask": self.name}

    @staticmethod
    def name_of(message: WireMessage) -> Any:
        """Return the status that a wire message asks for; None: it asks for none."""
        return message.get("ask")


def _known_of(message: WireMessage) -> KnownEndpoints:
    known = message.get("known")
    return known if isinstance(known, dict) else {}
