"""What a client of a gRPC connection did: the events of `server_session.py`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UnaryCall:
    """A unary call has come whole."""

    stream_id: int
    path: str
    message: bytes
    timeout: float | None  # seconds; None: the client set none


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A call of a path that streams has begun."""

    stream_id: int
    path: str


@dataclass(frozen=True, slots=True)
class StreamMessage:
    """A message came on a call that was `StreamOpened`."""

    stream_id: int
    message: bytes


@dataclass(frozen=True, slots=True)
class StreamHalfClosed:
    """The client will send no more messages on a call that was `StreamOpened`."""

    stream_id: int


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The client cancelled a call, or the call ended by an error: nobody waits for its response."""

    stream_id: int


SessionEvent = UnaryCall | StreamOpened | StreamMessage | StreamHalfClosed | CallCancelled
