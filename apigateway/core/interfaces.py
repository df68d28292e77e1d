"""What the core is given: the shapes of fronts, hosts, counter and membership. Nothing else is known here."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from apigateway import messages

Address = tuple[str, int]
CounterCallback = Callable[
    [int, str, float, float], None
]  # name, result (of COUNT_RESULTS), total, elapsed in s


class ResponseSink(Protocol):
    """Where one request's final answer goes. Exactly one of the three calls is made, once."""

    token: Any  # the core's own record of the request, for `Core.gone`

    def complete(self, value: bytes) -> None:
        """The value as a host gave it for this request."""

    def reject(self, wait: float) -> None:
        """Trying again is harmless; `wait` in seconds until it may help, 0 where nothing is known."""

    def fail(self) -> None:
        """It may have run."""


class QuotaCheckSink(ResponseSink, Protocol):
    """Where a check's answer goes: one of `granted`, `denied`, `refused` (no room here) and `failed`,
    once."""

    def grant(self, told: messages.QuotaGranted) -> None: ...

    def deny(self, told: messages.QuotaDenied) -> None: ...


class UpstreamRequest(Protocol):
    """What a host is sent for a request."""

    body_size: int  # bytes that it holds of the memory for bodies

    def encode(self, left: float) -> bytes:
        """The whole message of one attempt that is waited for `left` seconds."""


class UpstreamAttempt(Protocol):
    """One message to one host. `done` of `Hosts.attempt` hears of it once, when `result` is known."""

    endpoint_id: str
    result: str  # of interface.RESULTS
    value: bytes
    metered_use: int
    load_report: dict[str, float]
    tag: Any

    @property
    def is_written(self) -> bool:
        """Whether the last byte was written: from then on the request may have run."""

    def elapsed(self) -> float: ...


class UpstreamPool(Protocol):
    def create_attempt(self, host: str, payload: bytes, done: Callable[[Any], None], tag: Any) -> Any:
        """An attempt that has not begun. `done` is never called before `send` has returned."""

    def send(self, attempt: Any, timeout: float) -> None: ...

    def abandon(self, attempt: Any, result: str) -> None:
        """Ends it at once, with `connect_failed` if its last byte was not written, else with `result`."""

    def check_health(self, host: str, done: Callable[[Any], None]) -> None: ...

    def close_idle_connections(self, host: str) -> None: ...

    def update_endpoint(self, host: str, address: Address | None) -> None:
        """Where a host is; None: nothing new goes to it from now on, nor what waits for a connection."""

    def known_endpoints(self) -> set[str]: ...


class QuotaCounter(Protocol):
    def add(self, name: int, amount: float, lifetime: float, done: CounterCallback) -> None:
        """`done` is called once and never before this returned. `lifetime` in seconds."""


class EndpointSource(Protocol):
    """Where the list of hosts comes from. It tells `Core.listed` and `Core.list_failed`."""

    @property
    def version(self) -> int: ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class RequestPlugins(Protocol):
    """One request's way through the plug-ins."""

    def on_attempt(self, host: str) -> None:
        """An attempt is about to be sent there."""

    def on_end(self, outcome: str) -> None:
        """Its one final answer was given: served, refused or failed; or gone, nobody was there. Called
        once."""


class PluginChain(Protocol):
    """Operators' plug-ins. What they say is within the rules already; the core asks, and takes no other
    word."""

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestPlugins, messages.Request | messages.RejectedByPlugin]:
        """Before the module hears of a request: what it is to hear."""


class ExternalRateLimiter(Protocol):
    """A service that is asked about some requests before the module hears of them. It can only tighten."""

    def applies_to(self, request: messages.Request) -> bool: ...

    def check(self, request: messages.Request, left: float, decided: Callable[[bool, float], None]) -> Any:
        """`left`: s that the request has. `decided` is called once, with whether it may go on, else the
        seconds until it may come again. What it returns is for `call_off`; None: it is decided already."""

    def cancel(self, asked: Any) -> None:
        """The request is over: `decided` is not called any more."""


class InFlightRegistry(Protocol):
    """Writes in work at this gateway and at those that clients cannot tell from it."""

    def acquire(self, id: str, left: float) -> int:
        """A place for `clear`; below 0: -1 another has it, or had it when it died; -2 there is no room."""

    def is_held(self, id: str) -> bool:
        """Whether a mark of anyone stands for it."""

    def release(self, place: int) -> None: ...


class Scheduler(Protocol):
    """The loop's timers, and nothing more of it."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any: ...

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any: ...


class DecisionModule(Protocol):
    """The decision module: no clock, no I/O."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]: ...


Addresses = Mapping[str, Address]
