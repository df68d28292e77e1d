"""What plug-ins see, what they may propose and what a gateway calls on them, whatever they are written in."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol


class PluginKind(enum.StrEnum):
    """How a plug-in is written. The values are part of statuses."""

    RULES = "rules"
    WASM = "wasm"


class Phase(enum.StrEnum):
    """When a plug-in is called. The values are part of the rules, of settings and of statuses."""

    REQUEST = "request"  # a request was taken, before the decision module is given it
    ATTEMPT = "attempt"  # an attempt is about to be sent to an endpoint
    ANSWER = "answer"  # the request is over
    TICK = "tick"  # some time has passed; there is no request


class Outcome(enum.StrEnum):
    """How a request ended. The values are part of the ABI, of the rules and of records."""

    COMPLETED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "gone"  # the client went away: nobody was answered


class Verb(enum.StrEnum):
    """What a plug-in may propose. The values are part of the ABI and of the rules."""

    TAG = "tag"
    REJECT = "refuse"
    ROUTE = "route"


class FailureReason(enum.StrEnum):
    """Why a call gave nothing that can be used. The values are part of statuses and log lines."""

    FUEL = "fuel"  # it executed more instructions than its budget has
    TIME = "time"  # it ran longer than its budget has
    MEMORY = "memory"  # it reached outside its memory, or for more than it may have
    STACK = "stack"
    TRAP = "trap"
    NONSENSE = "nonsense"  # what it returned cannot be read
    ERROR = "error"
    SELF_TEST = "self-test"


class BudgetPolicy(enum.StrEnum):
    """What becomes of a request that a plug-in could not be asked about. The values are settings."""

    SKIP = "skip"  # the request goes on without it
    REJECT = "refuse"


class Proposal(NamedTuple):
    """What a plug-in asks for: (tag, key, value), (refuse, seconds, "") or (route, name, "").

    `verb` is the plug-in's own text, so that it need not be a Verb.
    """

    verb: str
    argument: str = ""
    value: str = ""


class PluginError(Exception):
    """A call of a plug-in that gave nothing that can be used. The message says more, for the log."""

    def __init__(self, reason: FailureReason, text: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason}: {text}" if text else reason)


@dataclass(slots=True)
class RequestView:
    """One request as plug-ins see it; in the phase TICK only `now` has a meaning.

    Attributes:
        remaining: Seconds until the client gives up.
        now: Unix time of this call in seconds.
        endpoint_id: Of the attempt that is to be sent.
        attempt: Its number, from 0; in the phase ANSWER how many there were.
        outcome: An Outcome, empty until the request is over.
        elapsed: Seconds since the request was taken.
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
    """What one plug-in may use. Times in seconds, sizes in bytes.

    Attributes:
        fuel: Instructions of a call.
        call_time: Of a call.
        cpu_share: Of a core, counted over `cpu_share_window`.
        key_value_bytes: Of its key-value store.
        log_lines: In a second.
        failure_threshold: Failures in a row that open its circuit breaker.
        open_time: Until an open breaker lets a trial call through; doubles with each failed trial.
        when_exceeded: What becomes of a request that it could not be asked about.
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
        """Return what it proposes. Raises PluginError and nothing else."""

    def self_test(self) -> None:
        """Run its own self-test, if it brings one. Raises PluginError."""

    def reset(self) -> None:
        """Forget all that it did so far."""

    def save_state(self) -> bytes | None:
        """Return what it hands to its successor, None for nothing. Raises PluginError."""

    def load_state(self, state: bytes) -> bool:
        """Take over its predecessor's state; return False if it takes none. Raises PluginError."""

    def counters(self) -> dict[str, float]:
        """Return its own counters by name."""

    def status(self) -> dict[str, Any]:
        """Return what it holds, for operators."""

    def close(self) -> None:
        """Free what it holds. It is not called any more."""
