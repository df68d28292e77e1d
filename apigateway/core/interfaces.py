"""The interfaces of the core's collaborators, one Protocol each, and the types that they exchange.

The core depends on frontends, endpoints, the counter and membership only through these interfaces. All
durations are in seconds. All calls are made on the event loop's thread and must not block it. Unless stated
otherwise, a collaborator must not raise; it reports failures through its callback.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from apigateway import messages
from apigateway.core.outcomes import RequestOutcome

Address = tuple[str, int]  # IP address, port
Addresses = Mapping[str, Address]  # by endpoint id

# Called with the counter key, the result, the total and the elapsed seconds.
CounterCallback = Callable[[int, messages.CounterCallResult, float, float], None]

# Called with whether a request is allowed and, if it is not, the seconds until it may be retried.
DecisionCallback = Callable[[bool, float], None]


class ResponseSink(Protocol):
    """Receives the final response of one request; a frontend creates one sink per request.

    Exactly one of `complete`, `reject` and `fail` is called, once, during `RequestDispatcher.submit` or
    later; none is called if the client disconnected before. If one of them raises, the error is logged and
    has no effect on the request. Only for a request that was not accepted for lack of capacity does `submit`
    propagate it.
    """

    token: Any  # the core's record of the request, for `RequestDispatcher.on_client_disconnected`

    def is_client_connected(self) -> bool:
        """Return whether the client is still there, even if its disconnect has not been reported yet.

        Called before each attempt is sent.
        """

    def complete(self, value: bytes) -> None:
        """Respond with the value that an endpoint returned for this request."""

    def reject(self, retry_after: float) -> None:
        """Respond that the request has not run and may be retried safely.

        `retry_after` is the number of seconds to wait before a retry, 0 if unknown.
        """

    def fail(self) -> None:
        """Respond that the request failed and may have run."""


class QuotaCheckSink(ResponseSink, Protocol):
    """Receives the final response of a quota check.

    Exactly one of `grant`, `deny`, `reject` (the gateway has no capacity) and `fail` is called, once, under
    the conditions described in `ResponseSink`.
    """

    def grant(self, granted: messages.QuotaGranted) -> None:
        """Respond that the units are granted."""

    def deny(self, denied: messages.QuotaDenied) -> None:
        """Respond that the units are denied."""


class UpstreamRequest(Protocol):
    """Encodes the message for endpoints; a frontend creates one per request."""

    size_bytes: int  # of the memory for clients that the request uses; constant

    def encode(self, remaining: float) -> bytes:
        """Return the complete message of one attempt with a timeout of `remaining` seconds.

        Called once for each attempt that is sent. If it raises, that attempt is not sent, and the deadline
        guard fails the request.
        """


class UpstreamAttempt(Protocol):
    """One message to one endpoint, and its result.

    Before the attempt has ended only `endpoint_id`, `tag` and `is_written` are read.
    """

    endpoint_id: str
    result: messages.AttemptResult
    value: bytes  # returned by the endpoint; empty unless the result is `ok`
    metered_use: int  # see `messages.AttemptOutcome`
    load_report: dict[str, float]
    tag: Any  # set by the caller, not interpreted here
    # Set by the caller: encodes the message after a wait; returns None if nobody waits for the reply.
    encode: Callable[[float], bytes | None] | None

    @property
    def is_written(self) -> bool:
        """Whether the last byte was written, after which the request may have run."""

    def elapsed(self) -> float:
        """Return the seconds since the attempt was created; called when the attempt ends."""


class UpstreamPool(Protocol):
    """Connections to the endpoints.

    `send` and `abandon` are called only with attempts that `create_attempt` of the same pool returned.
    """

    def create_attempt(
        self, endpoint_id: str, payload: bytes, on_ended: Callable[[UpstreamAttempt], None], tag: Any
    ) -> UpstreamAttempt:
        """Return an attempt that has not been sent.

        `on_ended` must be called with the attempt exactly once, when `result` is known, and never before
        `send` has returned. If the endpoint is unknown, the result is `connect_failed`.
        """

    def send(self, attempt: Any, timeout: float) -> None:
        """Send an attempt with a timeout of `timeout` seconds, above 0. Called once for each attempt."""

    def abandon(self, attempt: Any, result: messages.AttemptResult) -> None:
        """End an attempt at once, with `connect_failed` if its last byte was not written, else `result`.

        Calls `on_ended` before it returns. Does nothing if the attempt has already ended.
        """

    def check_health(self, endpoint_id: str, on_ended: Callable[[UpstreamAttempt], None]) -> None:
        """Start a health check; `on_ended` must be called exactly once, with its attempt."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint; does nothing for an unknown endpoint."""

    def update_endpoint(self, endpoint_id: str, address: Address | None) -> None:
        """Set the address of an endpoint, which may be unknown so far.

        With None, no new attempts are sent to the endpoint, and attempts that wait for a connection to it end
        with `connect_failed`.
        """

    def known_endpoints(self) -> set[str]:
        """Return the ids of all endpoints that have an address."""


class QuotaCounter(Protocol):
    """Client of the quota counter that all gateways share."""

    def add(self, counter_key: int, amount: float, lifetime: float, on_counted: CounterCallback) -> None:
        """Add `amount` to a total that the counter keeps for `lifetime` seconds.

        `on_counted` must be called exactly once, and never before `add` has returned, even if the counter
        cannot be reached or does not reply.
        """


class EndpointSource(Protocol):
    """Source of the endpoint list.

    It calls `RequestDispatcher.on_endpoint_list` with each list that it accepts, and
    `on_endpoint_list_failed` if it cannot get a list.
    """

    @property
    def version(self) -> int:
        """The version of the list that it reported last."""

    def watch(self, is_on: bool) -> None:
        """Start or stop watching the list; a call that changes nothing is allowed."""

    def fetch(self) -> None:
        """Fetch the list once; may be called while another fetch is in progress."""


class RequestPlugins(Protocol):
    """State of one request in the plug-in chain; exceptions are logged and have no other effect."""

    def on_attempt(self, endpoint_id: str) -> None:
        """Notify the plug-ins of an attempt that is about to be sent.

        The attempt is not sent if the request's deadline passes during this call.
        """

    def on_end(self, outcome: RequestOutcome) -> None:
        """Notify the plug-ins once, after the final response.

        `outcome` is COMPLETED, REJECTED, FAILED or, if the client left before a response, DISCONNECTED.
        """


class PluginChain(Protocol):
    """The operators' plug-ins; the chain enforces the rules on what a plug-in may change or reject."""

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestPlugins, messages.Request | messages.RejectedByPlugin]:
        """Return the event to dispatch to the decision module for a request.

        Called once for each accepted request except quota checks. If it raises, the unchanged request is
        dispatched.
        """


class ExternalRateLimiter(Protocol):
    """Rate limiter outside of the gateway that may reject requests before the decision module sees them.

    It cannot allow a request that the decision module rejects.
    """

    def applies_to(self, request: messages.Request) -> bool:
        """Return whether a request must be checked.

        Called once for each accepted request that no plug-in rejected, except quota checks.
        """

    def check(self, request: messages.Request, remaining: float, on_decided: DecisionCallback) -> Any:
        """Check a request with `remaining` seconds left; return a handle of the check, None if decided.

        `on_decided` must be called once, during this call or later. If this raises, the request is allowed.
        """

    def cancel(self, pending_check: Any) -> None:
        """Cancel the check of a finished request; `on_decided` is not called afterwards."""

    def expire(self, pending_check: Any) -> None:
        """End a check whose request's deadline has passed, as if its timeout had expired.

        Its own timeout has passed too, but may wait for the sockets to be polled.
        """


class InFlightRegistry(Protocol):
    """Registry of the writes in flight in all workers that share this gateway's address."""

    def acquire(self, request_id: str, remaining: float) -> int:
        """Register a write; return its slot, 0 or more, for `release`, or an `AcquireFailure`.

        Called for a write that the gateway has capacity for, before any other work is done for it.
        `remaining` is the time until the client's timeout.
        """

    def is_held(self, request_id: str) -> bool:
        """Return whether any worker holds a write. Called before a write is rejected for lack of capacity."""

    def release(self, slot: int) -> None:
        """Release a slot. Called once, when the write is finished and its last attempt has ended."""


class TimerHandle(Protocol):
    """Handle of a scheduled timer."""

    def cancel(self) -> None:
        """Cancel the timer; does nothing if its callback has been called."""


class Scheduler(Protocol):
    """The part of the event loop that schedules callbacks."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call `callback` after `delay` seconds; callers tolerate that it is called slightly early."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Call `callback` in the next iteration of the event loop."""


class DecisionModule(Protocol):
    """The decision module, which reads no clock and does no I/O."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Handle an event at Unix time `now`; return the actions to carry out, in order.

        Called with one event at a time; `now` never decreases. If it raises, the request that the event
        belongs to, if any, fails, and `ClientDisconnected` for that request is the next event.
        """
