"""The record of one accepted request, from its admission to the end of its last attempt."""

from __future__ import annotations

from typing import Any

from apigateway.core.interfaces import (
    NOT_REGISTERED,
    RequestPlugins,
    ResponseSink,
    UpstreamAttempt,
    UpstreamRequest,
)


class NoUpstreamRequest:
    """What endpoints are sent for a quota check: nothing."""

    body_size = 0  # bytes

    def encode(self, remaining: float) -> bytes:
        """Refuse: a quota check is answered by the decision module alone."""
        raise AssertionError("a check goes to no host")


NO_UPSTREAM_REQUEST = NoUpstreamRequest()


class InFlightRequest:
    """An accepted request: where its answer goes, what endpoints are sent, and what is outstanding for it.

    `deadline` is in seconds of `time.monotonic`.
    """

    __slots__ = (
        "request_id",
        "sink",
        "upstream_request",
        "frontend",
        "deadline",
        "deadline_timer",
        "attempt_count",
        "active_attempts",
        "is_finished",
        "plugins",
        "registry_place",
        "customer",
        "pending_check",
    )

    def __init__(
        self,
        request_id: str,
        sink: ResponseSink,
        upstream_request: UpstreamRequest,
        frontend: object,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.sink = sink
        self.upstream_request = upstream_request
        self.frontend = frontend
        self.deadline = deadline
        self.deadline_timer: Any = None
        self.attempt_count = 0  # attempts that the decision module asked for, sent or not
        self.active_attempts: dict[int, UpstreamAttempt] = {}  # by their number
        self.is_finished = False  # the final answer was given, or nobody is there to hear one
        self.plugins: RequestPlugins | None = None
        self.registry_place = NOT_REGISTERED  # for `InFlightRegistry.release`
        self.customer = ""
        self.pending_check: Any = None  # the external rate limiter's handle, for `cancel`
