"""Requests that a simulated gateway has accepted, and their attempts at hosts."""

from __future__ import annotations

from typing import Protocol

from apigateway import messages
from apigateway.simulation.host import SimulatedHost
from apigateway.simulation.results import ResponseOutcome
from apigateway.simulation.shared_processor import HostTask


class ResponseListener(Protocol):
    """The client's side of a request."""

    def on_attempt_received(self, attempt: Attempt) -> None:
        """Called when the last byte of an attempt has reached its host."""

    def on_response(self, outcome: ResponseOutcome, retry_after: float) -> None:
        """Called once with the answer; `retry_after` is the wait in seconds of a rejection, or 0."""


class InFlightRequest:
    """A client's request that a gateway has accepted and whose attempts are not all over.

    Attributes:
        work: Core seconds that it costs a host.
        deadline: Time by which all attempts are ended.
        attempts: All attempts so far, by their numbers.
        active: Those that have not ended.
    """

    __slots__ = ("active", "attempts", "deadline", "is_answered", "listener", "request_id", "work")

    def __init__(
        self, request: messages.Request, work: float, deadline: float, listener: ResponseListener
    ) -> None:
        self.request_id = request.request_id
        self.work = work
        self.deadline = deadline
        self.listener = listener
        self.is_answered = False
        self.attempts: list[Attempt] = []
        self.active: dict[int, Attempt] = {}

    def new_attempt(self, endpoint_id: str, now: float) -> Attempt:
        """Add an attempt."""
        attempt = Attempt(self, len(self.attempts), endpoint_id, now)
        self.attempts.append(attempt)
        self.active[attempt.number] = attempt
        return attempt

    def respond(self, outcome: ResponseOutcome, retry_after: float = 0.0) -> None:
        """Answer the client, unless that has been done."""
        if not self.is_answered:
            self.is_answered = True
            self.listener.on_response(outcome, retry_after)


class Attempt:
    """An attempt at a host.

    Attributes:
        host: The host; None while there is none by the endpoint's id.
        task: The request at the host, once it has got there.
        is_over: Whether its outcome is known to the gateway, or no longer of interest.
        is_received: Whether its last byte has reached the host.
        is_rejected: Whether the host has said that it will not execute it.
    """

    __slots__ = (
        "endpoint_id",
        "host",
        "is_over",
        "is_received",
        "is_rejected",
        "number",
        "request",
        "started_at",
        "task",
    )

    def __init__(self, request: InFlightRequest, number: int, endpoint_id: str, started_at: float) -> None:
        self.request = request
        self.number = number
        self.endpoint_id = endpoint_id
        self.started_at = started_at
        self.host: SimulatedHost | None = None
        self.task: HostTask | None = None
        self.is_over = False
        self.is_received = False
        self.is_rejected = False

    @property
    def may_be_executed(self) -> bool:
        """Whether the host may execute it, or have done so."""
        return self.is_received and not self.is_rejected
