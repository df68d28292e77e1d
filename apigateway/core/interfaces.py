"""What the core is given: the shapes of fronts, hosts, counter and membership. Nothing else is known here."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from apigateway import messages

Address = tuple[str, int]
Counted = Callable[[int, str, float, float], None]  # name, result (of COUNT_RESULTS), total, elapsed in s


class Place(Protocol):
    """Where one request's final answer goes. Exactly one of the three calls is made, once."""

    token: Any  # the core's own record of the request, for `Core.gone`

    def served(self, value: bytes) -> None:
        """The value as a host gave it for this request."""

    def refused(self, wait: float) -> None:
        """Trying again is harmless; `wait` in seconds until it may help, 0 where nothing is known."""

    def failed(self) -> None:
        """It may have run."""


class CheckPlace(Place, Protocol):
    """Where a check's answer goes: one of `granted`, `denied`, `refused` (no room here) and `failed`,
    once."""

    def granted(self, told: messages.QuotaGranted) -> None: ...

    def denied(self, told: messages.QuotaDenied) -> None: ...


class Order(Protocol):
    """What a host is sent for a request."""

    size: int  # bytes that it holds of the memory for bodies

    def payload(self, left: float) -> bytes:
        """The whole message of one attempt that is waited for `left` seconds."""


class Attempt(Protocol):
    """One message to one host. `done` of `Hosts.attempt` hears of it once, when `result` is known."""

    host: str
    result: str  # of interface.RESULTS
    value: bytes
    used: int
    report: dict[str, float]
    tag: Any

    @property
    def written(self) -> bool:
        """Whether the last byte was written: from then on the request may have run."""

    def elapsed(self) -> float: ...


class Hosts(Protocol):
    def attempt(self, host: str, payload: bytes, done: Callable[[Any], None], tag: Any) -> Any:
        """An attempt that has not begun. `done` is never called before `send` has returned."""

    def send(self, attempt: Any, timeout: float) -> None: ...

    def give_up(self, attempt: Any, result: str) -> None:
        """Ends it at once, with `connect_failed` if its last byte was not written, else with `result`."""

    def probe(self, host: str, done: Callable[[Any], None]) -> None: ...

    def close_idle(self, host: str) -> None: ...

    def listed(self, host: str, address: Address | None) -> None:
        """Where a host is; None: nothing new goes to it from now on, nor what waits for a connection."""

    def known(self) -> set[str]: ...


class Counter(Protocol):
    def add(self, name: int, amount: float, lifetime: float, done: Counted) -> None:
        """`done` is called once and never before this returned. `lifetime` in seconds."""


class Membership(Protocol):
    """Where the list of hosts comes from. It tells `Core.listed` and `Core.list_failed`."""

    @property
    def version(self) -> int: ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Hooked(Protocol):
    """One request's way through the plug-ins."""

    def sending(self, host: str) -> None:
        """An attempt is about to be sent there."""

    def ended(self, outcome: str) -> None:
        """Its one final answer was given: served, refused or failed; or gone, nobody was there. Called
        once."""


class Hooks(Protocol):
    """Operators' plug-ins. What they say is within the rules already; the core asks, and takes no other
    word."""

    def taken(self, request: messages.Request) -> tuple[Hooked, messages.Request | messages.RejectedByPlugin]:
        """Before the module hears of a request: what it is to hear."""


class Outer(Protocol):
    """A service that is asked about some requests before the module hears of them. It can only tighten."""

    def wanted(self, request: messages.Request) -> bool: ...

    def ask(self, request: messages.Request, left: float, decided: Callable[[bool, float], None]) -> Any:
        """`left`: s that the request has. `decided` is called once, with whether it may go on, else the
        seconds until it may come again. What it returns is for `call_off`; None: it is decided already."""

    def call_off(self, asked: Any) -> None:
        """The request is over: `decided` is not called any more."""


class Marks(Protocol):
    """Writes in work at this gateway and at those that clients cannot tell from it."""

    def mark(self, id: str, left: float) -> int:
        """A place for `clear`; below 0: -1 another has it, or had it when it died; -2 there is no room."""

    def held(self, id: str) -> bool:
        """Whether a mark of anyone stands for it."""

    def clear(self, place: int) -> None: ...


class Scheduler(Protocol):
    """The loop's timers, and nothing more of it."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any: ...

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any: ...


class Module(Protocol):
    """The decision module: no clock, no I/O."""

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]: ...


Addresses = Mapping[str, Address]
