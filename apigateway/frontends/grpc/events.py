"""Events that `server_session.py` reports for a gRPC connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UnaryCall:
    """A unary call was received completely."""

    stream_id: int
    path: str
    message: bytes
    timeout: float | None  # seconds; None if the client set none


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A call to a streaming method has started."""

    stream_id: int
    path: str


@dataclass(frozen=True, slots=True)
class StreamMessage:
    """A message was received on a streaming call."""

    stream_id: int
    message: bytes


@dataclass(frozen=True, slots=True)
class StreamHalfClosed:
    """The client will send no more messages on a streaming call."""

    stream_id: int


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The client cancelled a call or the call failed: no response is expected."""

    stream_id: int


SessionEvent = UnaryCall | StreamOpened | StreamMessage | StreamHalfClosed | CallCancelled
