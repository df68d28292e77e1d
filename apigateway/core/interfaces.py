"""What the core is given: one Protocol a collaborator, and the types that pass between them.

Nothing else is known here of frontends, endpoints, the counter or membership. All durations are in seconds.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from apigateway import messages

Address = tuple[str, int]
Addresses = Mapping[str, Address]  # by endpoint id

# Called with the counter's key, the result (of messages.COUNT_RESULTS), the total, and the seconds it took.
CounterCallback = Callable[[int, str, float, float], None]

# What `InFlightRegistry.acquire` returns in place of a place, and what stands for "none was asked for".
HELD_ELSEWHERE = -1
REGISTRY_FULL = -2
NOT_REGISTERED = -3


class RequestOutcome(enum.StrEnum):
    """How a request ended. The values are part of the plug-ins' ABI and of records: they do not change."""

    COMPLETED = "served"  # with an endpoint's value
    REJECTED = "refused"  # it has not run, and trying again is harmless
    FAILED = "failed"  # it may have run
    GRANTED = "granted"  # a quota check
    DENIED = "denied"  # a quota check
    DISCONNECTED = "gone"  # the client went away: nobody was answered


class AttemptResult(enum.StrEnum):
    """How an attempt ended, as far as the core tells results apart; the values are of `messages.RESULTS`."""

    OK = "ok"  # the endpoint gave a value
    CONNECT_FAILED = "connect_failed"  # its last byte was not written: the endpoint has not run it
    CANCELLED = "cancelled"  # abandoned after it was written: it may have run
    MOOT = "moot"  # not sent, which says nothing of the endpoint


class ResponseSink(Protocol):
    """Where one request's final answer goes. Exactly one of the three calls is made, once."""

    token: Any  # the core's own record of the request, for `RequestDispatcher.on_client_disconnected`

    def complete(self, value: bytes) -> None:
        """Answer with the value as an endpoint gave it for this request."""

    def reject(self, retry_after: float) -> None:
        """Answer that trying again is harmless, after `retry_after` seconds; 0 where nothing is known."""

    def fail(self) -> None:
        """Answer that it may have run."""


class QuotaCheckSink(ResponseSink, Protocol):
    """Where a quota check's answer goes: one of `grant`, `deny`, `reject` (no capacity here) and `fail`,
    once."""

    def grant(self, granted: messages.QuotaGranted) -> None:
        """Answer that the units are granted."""

    def deny(self, denied: messages.QuotaDenied) -> None:
        """Answer that the units are denied."""


class UpstreamRequest(Protocol):
    """What an endpoint is sent for a request."""

    body_size: int  # bytes that it holds of the memory for bodies

    def encode(self, remaining: float) -> bytes:
        """Return the whole message of one attempt that is waited for `remaining` seconds."""


class UpstreamAttempt(Protocol):
    """One message to one endpoint. The `on_ended` of `UpstreamPool.create_attempt` is called once, when
    `result` is known."""

    endpoint_id: str
    result: str  # of messages.RESULTS
    value: bytes
    metered_use: int
    load_report: dict[str, float]
    tag: Any  # the caller's own

    @property
    def is_written(self) -> bool:
        """Whether the last byte was written: from then on the request may have run."""

    def elapsed(self) -> float:
        """Return the seconds since it was sent, or those it took."""


class UpstreamPool(Protocol):
    """Connections to the endpoints."""

    def create_attempt(
        self, endpoint_id: str, payload: bytes, on_ended: Callable[[Any], None], tag: Any
    ) -> Any:
        """Return an attempt that has not begun. `on_ended` is never called before `send` has returned."""

    def send(self, attempt: Any, timeout: float) -> None:
        """Begin an attempt that is waited for `timeout` seconds."""

    def abandon(self, attempt: Any, result: str) -> None:
        """End it at once, with `connect_failed` if its last byte was not written, else with `result`."""

    def check_health(self, endpoint_id: str, on_ended: Callable[[Any], None]) -> None:
        """Start a health check; `on_ended` is called once, with its attempt."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that carry nothing."""

    def update_endpoint(self, endpoint_id: str, address: Address | None) -> None:
        """Take in where an endpoint is; None: nothing new goes there from now on, nor what waits for a
        connection."""

    def known_endpoints(self) -> set[str]:
        """Return the ids of the endpoints that have an address."""


class QuotaCounter(Protocol):
    """The client of the quota counter that all gateways share."""

    def add(self, counter_key: int, amount: float, lifetime: float, on_counted: CounterCallback) -> None:
        """Add to a counter that lives `lifetime` seconds.

        `on_counted` is called once and never before this returned.
        """


class EndpointSource(Protocol):
    """Where the endpoint list comes from. It calls `RequestDispatcher.on_endpoint_list` and
    `on_endpoint_list_failed`."""

    @property
    def version(self) -> int:
        """The version of the list that it last gave."""

    def watch(self, is_on: bool) -> None:
        """Start or stop watching the list."""

    def fetch(self) -> None:
        """Ask for the list once."""


class RequestPlugins(Protocol):
    """One request's way through the plug-ins."""

    def on_attempt(self, endpoint_id: str) -> None:
        """Hear of an attempt that is about to be sent."""

    def on_end(self, outcome: RequestOutcome) -> None:
        """Hear of the final answer, once.

        COMPLETED, REJECTED or FAILED; or DISCONNECTED: nobody was there.
        """


class PluginChain(Protocol):
    """Operators' plug-ins. What they say is within the rules already; the core asks, and takes no other
    word."""

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestPlugins, messages.Request | messages.RejectedByPlugin]:
        """Return what the decision module is to hear of a request, before it does."""


class ExternalRateLimiter(Protocol):
    """A service that is asked about some requests before the decision module hears of them. It can only
    tighten."""

    def applies_to(self, request: messages.Request) -> bool:
        """Tell whether the service is to be asked about a request."""

    def check(
        self, request: messages.Request, remaining: float, on_decided: Callable[[bool, float], None]
    ) -> Any:
        """Ask about a request that has `remaining` seconds; return a handle for `cancel`, None if decided.

        `on_decided` is called once, with whether the request may go on, else the seconds until it may come
        again.
        """

    def cancel(self, pending_check: Any) -> None:
        """Give up a check whose request is over: `on_decided` is not called any more."""


class InFlightRegistry(Protocol):
    """Writes in flight at this gateway and at those that clients cannot tell from it."""

    def acquire(self, request_id: str, remaining: float) -> int:
        """Return a place for `release`, of 0 or more.

        HELD_ELSEWHERE: another has it, or had it when it died. REGISTRY_FULL: there is no capacity.
        """

    def is_held(self, request_id: str) -> bool:
        """Tell whether anyone holds it."""

    def release(self, place: int) -> None:
        """Release what `acquire` gave."""


class TimerHandle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Do not call, unless it was called already."""


class Scheduler(Protocol):
    """The event loop's timers, and nothing more of it."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call after `delay` seconds."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Call in the loop's next turn."""


class DecisionModule(Protocol):
    """The decision module: no clock, no I/O."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Return the actions that an event at Unix time `now` asks for."""
