"""Requests that a simulated gateway has accepted, and their attempts."""

from __future__ import annotations

from typing import Protocol

from apigateway import messages
from apigateway.simulation.host import SimulatedHost
from apigateway.simulation.results import ResponseOutcome
from apigateway.simulation.shared_processor import HostTask


class ResponseListener(Protocol):
    """The client of a request."""

    def on_attempt_received(self, attempt: Attempt) -> None:
        """Handle that the last byte of an attempt has reached its host."""

    def on_response(self, outcome: ResponseOutcome, retry_after: float) -> None:
        """Handle the answer, called once; `retry_after` is a rejection's Retry-After in seconds, or 0."""


class InFlightRequest:
    """A request that a gateway has accepted and that has active attempts or no answer yet.

    Attributes:
        work: Core seconds that it takes on a host.
        deadline: Time at which active attempts time out.
        attempts: All attempts so far, by number.
        active_attempts: Attempts that have not ended, by number.
    """

    __slots__ = ("active_attempts", "attempts", "deadline", "is_answered", "listener", "request_id", "work")

    def __init__(
        self, request: messages.Request, work: float, deadline: float, listener: ResponseListener
    ) -> None:
        self.request_id = request.request_id
        self.work = work
        self.deadline = deadline
        self.listener = listener
        self.is_answered = False
        self.attempts: list[Attempt] = []
        self.active_attempts: dict[int, Attempt] = {}

    def create_attempt(self, endpoint_id: str, now: float) -> Attempt:
        """Create an attempt at an endpoint."""
        attempt = Attempt(self, len(self.attempts), endpoint_id, now)
        self.attempts.append(attempt)
        self.active_attempts[attempt.number] = attempt
        return attempt

    def respond(self, outcome: ResponseOutcome, retry_after: float = 0.0) -> None:
        """Answer the client, unless it was answered before."""
        if not self.is_answered:
            self.is_answered = True
            self.listener.on_response(outcome, retry_after)


class Attempt:
    """An attempt at a host.

    Attributes:
        host: The host; None if none has the id of the endpoint or it refused the connection.
        task: The task at the host, once the attempt has arrived.
        is_over: Whether the gateway knows its outcome or has abandoned it.
        is_received: Whether its last byte has reached the host.
        is_rejected: Whether the host has rejected it without executing it.
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
        """Return whether the host may execute it or have executed it."""
        return self.is_received and not self.is_rejected
