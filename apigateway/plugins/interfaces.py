"""The interface of a plug-in of any kind: its input, its proposals, its budget and its methods."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol


class PluginKind(enum.StrEnum):
    """How a plug-in is written. The values are part of status reports."""

    RULES = "rules"
    WASM = "wasm"


class Phase(enum.StrEnum):
    """When a plug-in is called. The values are part of rules, settings and status reports."""

    REQUEST = "request"  # a request was accepted; the decision module has not seen it yet
    ATTEMPT = "attempt"  # an attempt is about to be sent to an endpoint
    ANSWER = "answer"  # the request has finished
    TICK = "tick"  # periodic call without a request


class Outcome(enum.StrEnum):
    """How a request ended. The values are part of rules and request records."""

    COMPLETED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "gone"  # the client disconnected before the response


class Verb(enum.StrEnum):
    """What a plug-in may propose. The values are part of the ABI and of rules."""

    TAG = "tag"
    REJECT = "refuse"
    ROUTE = "route"


class FailureReason(enum.StrEnum):
    """Why a call failed. The values are part of status reports and log lines."""

    FUEL = "fuel"  # it executed more instructions than its budget allows
    TIME = "time"  # it ran longer than its budget allows
    MEMORY = "memory"  # it accessed an address out of bounds, or requested more than its budget
    STACK = "stack"
    TRAP = "trap"
    INVALID_DATA = "nonsense"  # its input does not fit, or its output cannot be decoded
    ERROR = "error"
    SELF_TEST = "self-test"


class BudgetPolicy(enum.StrEnum):
    """What happens to a request if a plug-in could not process it. The values are part of settings."""

    SKIP = "skip"  # the request continues without the plug-in
    REJECT = "refuse"


class Proposal(NamedTuple):
    """A proposal of a plug-in: (tag, key, value), (refuse, seconds, "") or (route, name, "").

    `verb` is text from the plug-in and is not necessarily a Verb.
    """

    verb: str
    argument: str = ""
    value: str = ""


class PluginError(Exception):
    """A call of a plug-in failed. The message has the details, for the log."""

    def __init__(self, reason: FailureReason, text: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason}: {text}" if text else reason)


@dataclass(slots=True)
class RequestView:
    """One request as plug-ins see it; in the phase TICK only `now` is set.

    Attributes:
        remaining: Seconds until the client's deadline.
        now: Unix time of this call in seconds.
        endpoint_id: Endpoint of the attempt that is about to be sent.
        attempt: Number of that attempt, from 0; in the phase ANSWER the number of attempts.
        outcome: An Outcome; empty until the request has finished.
        elapsed: Seconds since the request was accepted.
    """

    request_id: str = ""
    customer: str = ""
    plan: str = ""
    service_class: str = ""
    units: float = 0.0
    remaining: float = 0.0
    now: float = 0.0
    is_write: bool = False
    is_retry: bool = False
    tags: dict[str, str] = field(default_factory=dict)
    route: str = ""
    endpoint_id: str = ""
    attempt: int = 0
    outcome: str = ""
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class Budget:
    """Resource limits of one plug-in. Times in seconds, sizes in bytes.

    Attributes:
        fuel: Instructions per call.
        call_time: Wall time per call.
        memory_bytes: Size of a module's memory.
        cpu_share: Share of a core, measured over `cpu_share_window`.
        key_value_bytes: Size of its key-value store.
        log_lines: Log lines per second.
        failure_threshold: Consecutive failures that open its circuit breaker.
        open_time: Time until an open breaker allows a trial call; doubles with each failed trial.
        max_open_time: Upper bound of `open_time`.
        when_exceeded: What happens to a request that the plug-in could not process.
    """

    fuel: int = 200_000
    call_time: float = 0.01
    memory_bytes: int = 4 * 1024 * 1024
    cpu_share: float = 0.1
    cpu_share_window: float = 10.0
    key_value_bytes: int = 64 * 1024
    log_lines: float = 1.0
    failure_threshold: int = 5
    open_time: float = 5.0
    max_open_time: float = 300.0
    when_exceeded: BudgetPolicy = BudgetPolicy.SKIP


class Plugin(Protocol):
    """One loaded plug-in."""

    kind: PluginKind
    phases: frozenset[Phase]

    def call(self, phase: Phase, view: RequestView) -> list[Proposal]:
        """Return the plug-in's proposals. Raises PluginError."""

    def self_test(self) -> None:
        """Run the plug-in's own self-test, if it has one. Raises PluginError."""

    def reset(self) -> None:
        """Discard all state from earlier calls."""

    def save_state(self) -> bytes | None:
        """Return the state for the next version; None if there is none. Raises PluginError."""

    def load_state(self, state: bytes) -> bool:
        """Load the previous version's state; return False if it was not loaded. Raises PluginError."""

    def counters(self) -> dict[str, float]:
        """Return the plug-in's own counters by name."""

    def status(self) -> dict[str, Any]:
        """Return the plug-in's part of the status report."""

    def close(self) -> None:
        """Release its resources. The plug-in is not used afterwards."""
