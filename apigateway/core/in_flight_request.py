"""The state of one accepted request, from its admission to the end of its last attempt."""

from __future__ import annotations

from typing import Any

from apigateway.core.interfaces import (
    RequestPlugins,
    ResponseSink,
    TimerHandle,
    UpstreamAttempt,
    UpstreamRequest,
)

# `registry_slot` of a request that is not in the registry; slots are 0 or more.
NOT_REGISTERED = -3


class NoUpstreamRequest:
    """The upstream request of a quota check and of a finished request: nothing is sent."""

    size_bytes = 0  # bytes

    def encode(self, remaining: float) -> bytes:
        """Raise, because there is nothing to send to an endpoint."""
        raise AssertionError("a quota check or a finished request is never sent to an endpoint")


NO_UPSTREAM_REQUEST = NoUpstreamRequest()


class NoSink:
    """The sink of a finished request: nobody waits for a response."""

    token: Any = None

    def is_client_connected(self) -> bool:
        """Return that nobody waits."""
        return False

    def complete(self, value: bytes) -> None:
        """Raise, because the response has been sent."""
        raise AssertionError("a finished request has no further response")

    def reject(self, retry_after: float) -> None:
        """Raise, because the response has been sent."""
        raise AssertionError("a finished request has no further response")

    def fail(self) -> None:
        """Raise, because the response has been sent."""
        raise AssertionError("a finished request has no further response")


NO_SINK = NoSink()


class InFlightRequest:
    """An accepted request that is not finished or has active attempts.

    Attributes:
        request_id: Unique among the requests in flight.
        sink: Receives the final response; `NO_SINK` once finished.
        upstream_request: Encodes the message that is sent to endpoints; without its body once finished.
        frontend: Frontend whose capacity the request uses.
        deadline: Time by which the decision module must have decided, on the clock of `time.monotonic`.
        registry_slot: Slot in the in-flight registry; NOT_REGISTERED if the request has none.
        customer: Customer that sent the request.
        is_write: Whether it may not simply run twice.
        deadline_timer: Timer of `DeadlineGuard`; None until it is started.
        may_have_run: Whether an endpoint may have run it.
        is_client_disconnected: Whether it finished without a response, because its client disconnected.
        attempt_count: Attempts that the decision module asked for, including those that were not sent.
        active_attempts: Attempts that have not ended, by their number.
        is_finished: Whether the final response was sent or the client has disconnected.
        plugins: State of the request in the plug-in chain; None without plug-ins.
        pending_check: Handle of the pending external rate limit check, for `ExternalRateLimiter.cancel`.
    """

    __slots__ = (
        "request_id",
        "sink",
        "upstream_request",
        "frontend",
        "deadline",
        "registry_slot",
        "customer",
        "is_write",
        "may_have_run",
        "is_client_disconnected",
        "deadline_timer",
        "attempt_count",
        "active_attempts",
        "is_finished",
        "plugins",
        "pending_check",
    )

    def __init__(
        self,
        request_id: str,
        sink: ResponseSink,
        upstream_request: UpstreamRequest,
        frontend: object,
        deadline: float,
        registry_slot: int,
        customer: str,
        is_write: bool = False,
    ) -> None:
        self.request_id = request_id
        self.sink = sink
        self.upstream_request = upstream_request
        self.frontend = frontend
        self.deadline = deadline
        self.registry_slot = registry_slot
        self.customer = customer
        self.is_write = is_write
        self.may_have_run = False
        self.is_client_disconnected = False
        self.deadline_timer: TimerHandle | None = None
        self.attempt_count = 0
        self.active_attempts: dict[int, UpstreamAttempt] = {}
        self.is_finished = False
        self.plugins: RequestPlugins | None = None
        self.pending_check: Any = None
