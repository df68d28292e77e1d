"""The record of one accepted request, from its admission to the end of its last attempt."""

from __future__ import annotations

from typing import Any

from apigateway.core.interfaces import (
    RequestPlugins,
    ResponseSink,
    TimerHandle,
    UpstreamAttempt,
    UpstreamRequest,
)

# In place of a registry's place, which is 0 or more: none was asked for.
NOT_REGISTERED = -3


class NoUpstreamRequest:
    """What endpoints are sent for a quota check: nothing."""

    body_size = 0  # bytes

    def encode(self, remaining: float) -> bytes:
        """Raise: a quota check is answered by the decision module alone."""
        raise AssertionError("a check goes to no host")


NO_UPSTREAM_REQUEST = NoUpstreamRequest()


class InFlightRequest:
    """An accepted request: where its answer goes, what endpoints are sent, and what is outstanding for it.

    Attributes:
        request_id: Unique among the requests in flight.
        sink: Where its final answer goes.
        upstream_request: What endpoints are sent for it.
        frontend: Whose capacity it uses.
        deadline: By which the decision module is to be done, in seconds of `time.monotonic`.
        registry_place: For `InFlightRegistry.release`; NOT_REGISTERED if it is in no registry.
        customer: Who asks.
        deadline_timer: Of `DeadlineGuard`; None until it is started.
        attempt_count: Attempts that the decision module asked for, sent or not.
        active_attempts: Those that have not ended, by their number.
        is_finished: Whether the final answer was given, or its client has disconnected.
        plugins: Its way through the plug-ins; None where there are none.
        pending_check: The external rate limiter's handle while it is asked, for `cancel`.
    """

    __slots__ = (
        "request_id",
        "sink",
        "upstream_request",
        "frontend",
        "deadline",
        "registry_place",
        "customer",
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
        registry_place: int,
        customer: str,
    ) -> None:
        self.request_id = request_id
        self.sink = sink
        self.upstream_request = upstream_request
        self.frontend = frontend
        self.deadline = deadline
        self.registry_place = registry_place
        self.customer = customer
        self.deadline_timer: TimerHandle | None = None
        self.attempt_count = 0
        self.active_attempts: dict[int, UpstreamAttempt] = {}
        self.is_finished = False
        self.plugins: RequestPlugins | None = None
        self.pending_check: Any = None
