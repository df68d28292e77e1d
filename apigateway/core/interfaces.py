"""What the core is given: one Protocol a collaborator, and the types that pass between them.

Nothing else is known here of frontends, endpoints, the counter or membership. All durations are in seconds.
All calls are made on the event loop's thread, and none may block it. Where nothing is said of exceptions the
collaborator may raise none: what it cannot do it reports by its callback.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from apigateway import messages
from apigateway.core.outcomes import RequestOutcome

Address = tuple[str, int]  # IP address, port
Addresses = Mapping[str, Address]  # by endpoint id

# Called with the counter's key, the result, the total, and the seconds it took.
CounterCallback = Callable[[int, messages.CounterCallResult, float, float], None]

# Called with whether a request may go on, and else the seconds until it may be retried.
DecisionCallback = Callable[[bool, float], None]


class ResponseSink(Protocol):
    """Where one request's final answer goes; a frontend makes one for each request.

    Exactly one of `complete`, `reject` and `fail` is called, once, from within `RequestDispatcher.submit` or
    later; none if the client disconnected before. What one of them raises is logged and changes nothing for
    the request, but where it was not accepted for want of capacity: there it comes out of `submit`.
    """

    token: Any  # the core's own record of the request, for `RequestDispatcher.on_client_disconnected`

    def complete(self, value: bytes) -> None:
        """Answer with the value as an endpoint gave it for this request."""

    def reject(self, retry_after: float) -> None:
        """Answer that trying again is harmless, after `retry_after` seconds; 0 where nothing is known."""

    def fail(self) -> None:
        """Answer that it may have run."""


class QuotaCheckSink(ResponseSink, Protocol):
    """Where a quota check's answer goes.

    Exactly one of `grant`, `deny`, `reject` (there is no capacity here) and `fail` is called, once, on the
    terms of `ResponseSink`.
    """

    def grant(self, granted: messages.QuotaGranted) -> None:
        """Answer that the units are granted."""

    def deny(self, denied: messages.QuotaDenied) -> None:
        """Answer that the units are denied."""


class UpstreamRequest(Protocol):
    """What an endpoint is sent for a request; a frontend makes one for each request."""

    body_size: int  # bytes that it holds of the memory for bodies; does not change

    def encode(self, remaining: float) -> bytes:
        """Return the complete message of one attempt that is waited for `remaining` seconds.

        Called once for each attempt that is sent. If it raises, that attempt is not sent, and the deadline
        guard answers the request.
        """


class UpstreamAttempt(Protocol):
    """One message to one endpoint, and what came of it.

    All but `endpoint_id` and `tag` is read once the attempt has ended; `is_written` also before.
    """

    endpoint_id: str
    result: messages.AttemptResult
    value: bytes  # the endpoint's; empty unless the result is `ok`
    metered_use: int  # as `messages.AttemptOutcome` has it
    load_report: dict[str, float]
    tag: Any  # the caller's own

    @property
    def is_written(self) -> bool:
        """Whether the last byte was written: from then on the request may have run."""

    def elapsed(self) -> float:
        """Return the seconds since it was sent, or those it took."""


class UpstreamPool(Protocol):
    """Connections to the endpoints.

    `send` and `abandon` are given attempts of this pool's `create_attempt` only.
    """

    def create_attempt(
        self, endpoint_id: str, payload: bytes, on_ended: Callable[[UpstreamAttempt], None], tag: Any
    ) -> UpstreamAttempt:
        """Return an attempt that has not begun.

        `on_ended` is to be called with it exactly once, when `result` is known, and never before `send` has
        returned. The endpoint may be one that is not known (any more): then the result is `connect_failed`.
        """

    def send(self, attempt: Any, timeout: float) -> None:
        """Begin an attempt that is waited for `timeout` seconds, which are above 0. Called once for each."""

    def abandon(self, attempt: Any, result: messages.AttemptResult) -> None:
        """End an attempt at once, with `connect_failed` if its last byte was not written, else `result`.

        `on_ended` is called before this returns. Does nothing if the attempt has ended.
        """

    def check_health(self, endpoint_id: str, on_ended: Callable[[UpstreamAttempt], None]) -> None:
        """Start a health check; `on_ended` is to be called exactly once, with its attempt."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that carry nothing; it may be one that is not known."""

    def update_endpoint(self, endpoint_id: str, address: Address | None) -> None:
        """Set where an endpoint is; it may be one that is not known.

        None: nothing new goes there from now on, and attempts that wait for a connection to it end with
        `connect_failed`.
        """

    def known_endpoints(self) -> set[str]:
        """Return the ids of the endpoints that have an address."""


class QuotaCounter(Protocol):
    """The client of the quota counter that all gateways share."""

    def add(self, counter_key: int, amount: float, lifetime: float, on_counted: CounterCallback) -> None:
        """Add to a counter that lives `lifetime` seconds. Called when the decision module asks for it.

        `on_counted` is to be called exactly once and never before this has returned, also if the counter
        cannot be reached or gives no answer.
        """


class EndpointSource(Protocol):
    """Where the endpoint list comes from.

    It calls `RequestDispatcher.on_endpoint_list` with each list that it takes for true, and
    `on_endpoint_list_failed` where a list could not be had.
    """

    @property
    def version(self) -> int:
        """The version of the list that it last gave."""

    def watch(self, is_on: bool) -> None:
        """Start or stop watching the list; may be called again with what holds already."""

    def fetch(self) -> None:
        """Ask for the list once; may be called while another call is under way."""


class RequestPlugins(Protocol):
    """One request's way through the plug-ins; what it raises is logged and changes nothing."""

    def on_attempt(self, endpoint_id: str) -> None:
        """Notify of an attempt about to be sent, unless this takes all the time that its client has."""

    def on_end(self, outcome: RequestOutcome) -> None:
        """Notify of the final answer, once, after it was given.

        COMPLETED, REJECTED or FAILED; or DISCONNECTED: nobody was there.
        """


class PluginChain(Protocol):
    """Operators' plug-ins. They change or reject a request only as the rules allow, which they see to."""

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestPlugins, messages.Request | messages.RejectedByPlugin]:
        """Return the event that the decision module is given for a request.

        Called once for each request that was accepted, quota checks excepted. If it raises, the decision
        module is given the request as it was.
        """


class ExternalRateLimiter(Protocol):
    """A service that is asked about some requests before the decision module is given them.

    It can only tighten.
    """

    def applies_to(self, request: messages.Request) -> bool:
        """Tell whether the service is to be asked about a request.

        Called once for each request that was accepted and that no plug-in rejected, quota checks excepted.
        """

    def check(self, request: messages.Request, remaining: float, on_decided: DecisionCallback) -> Any:
        """Ask about a request that has `remaining` seconds; return a handle for `cancel`, None if decided.

        `on_decided` is to be called once, from within this call or later. If this raises, the request goes
        on.
        """

    def cancel(self, pending_check: Any) -> None:
        """Give up a check whose request is over: `on_decided` is not called any more."""


class InFlightRegistry(Protocol):
    """Writes in flight at this gateway and at those that clients cannot tell from it."""

    def acquire(self, request_id: str, remaining: float) -> int:
        """Return a place for `release`, of 0 or more; else an `AcquireFailure`.

        Called before anything is done for a write that the gateway has capacity for. `remaining` is the time
        to the deadline of its client.
        """

    def is_held(self, request_id: str) -> bool:
        """Tell whether anyone holds a write. Called before one that was not accepted is rejected."""

    def release(self, place: int) -> None:
        """Release what `acquire` gave. Called once, when nothing is in flight for the write any more."""


class TimerHandle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Do not call; does nothing if it was called already."""


class Scheduler(Protocol):
    """The event loop's timers, and nothing more of it."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call after `delay` seconds; a little less is allowed for."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Call in the loop's next turn."""


class DecisionModule(Protocol):
    """The decision module: no clock, no I/O."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Return the actions that an event at Unix time `now` asks for, in the order to carry them out.

        Called with one event at a time; `now` never goes back. If it raises, the request that the event is
        about, if any, is failed, and its end (`ClientDisconnected`) is the next event.
        """
