"""What a ledger writes down: requests, attempts, and what happened to gateways and hosts.

Times are seconds of the ledger's clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

LIMIT_MARGIN_S = 0.05  # each time limit is longer by this on sockets


@dataclass(frozen=True, slots=True)
class ClassRules:
    """A class of requests.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        deduplication_scope: Of keyed ones: the hosts that discard a repeat: "all", "zone" or "cell".
        deduplication_window_s: Of keyed ones: for how many seconds they do.
    """

    effect: str
    deduplication_scope: str = "all"
    deduplication_window_s: float = 0.0


UNKNOWN_CLASS_RULES = ClassRules("unsafe")  # a class that the terms do not name is judged by the strictest


@dataclass(frozen=True, slots=True)
class Ceiling:
    """What customers of a plan may use at most, over all gateways."""

    rate: float  # units a second
    burst: float  # units
    slack: float = 0.1  # part of the burst


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """What the rules are judged by.

    Attributes:
        classes: By the names of classes.
        ceilings: By plan.
        drain_grace_s: Seconds after which nothing more may be sent to a draining host.
        overload_ratio: A host that starts cold bears so many times what it can do ...
        overload_window_s: ... in so many seconds.
    """

    classes: dict[str, ClassRules]
    ceilings: dict[str, Ceiling] = field(default_factory=dict)
    drain_grace_s: float = 2.0
    overload_ratio: float = 2.0
    overload_window_s: float = 2.0


class AnswerKind(StrEnum):
    """What a client is told."""

    SERVED = "served"
    REFUSED = "refused"  # it was not executed; trying again is harmless
    FAILED = "failed"


class Outcome(StrEnum):
    """What became of a request that was not answered."""

    LOST = "lost"
    WITH_GATEWAY = "with gateway"  # its gateway was killed while it held the request


class AttemptEnd(StrEnum):
    """How an attempt ended, as seen on the host's socket."""

    ACTIVE = ""  # still out
    ANSWERED = "answered"
    BUSY = "busy"  # the host said that it will not execute it
    ERROR = "error"
    MALFORMED = "spoilt"
    TRUNCATED = "half"
    CLOSED = "closed"


class RecordedAnswer(NamedTuple):
    """An answer that a client got."""

    at: float
    kind: str  # of `AnswerKind`
    value: bytes


@dataclass(slots=True)
class RecordedRequest:
    """One request as its client sees it.

    Attributes:
        sent_at: When its last byte was written.
        timeout_s: Seconds that its client waits.
        disconnected_at: When its connection ended without an answer.
    """

    id: str
    gateway: str
    sent_at: float
    timeout_s: float
    customer: str
    plan: str
    service_class: str
    units: float
    answers: list[RecordedAnswer] = field(default_factory=list)
    disconnected_at: float = math.nan

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.service_class} {self.id} at {self.gateway}"


@dataclass(slots=True)
class Attempt:
    """One message at a host.

    Attributes:
        first_byte_at: When its first byte came.
        last_byte_at: When its last byte came.
        work_s: Seconds of one core at full capacity.
        ended_at: When it ended.
        end_kind: How it ended, of `AttemptEnd`.
        value: What the host answered.
    """

    id: str
    host: str
    service_class: str
    cell: int
    zone: str
    first_byte_at: float
    last_byte_at: float
    work_s: float
    ended_at: float = math.inf
    end_kind: str = AttemptEnd.ACTIVE
    value: bytes = b""

    @property
    def may_have_run(self) -> bool:
        """Whether the host may have executed it."""
        return self.end_kind != AttemptEnd.BUSY

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.service_class} {self.id}"


class HostState(NamedTuple):
    """A host's state as discovery wrote it to a gateway: up, draining or removed."""

    at: float
    state: str


class ColdStart(NamedTuple):
    """A host that has started cold."""

    at: float
    host: str
    cores: int
    start_share: float  # of its cores that it has at the start
    warm_up_s: float  # until it has all of them

    def work_until(self, now: float) -> float:
        """Return the core seconds that the host can have done from its start to `now`."""
        age = min(max(0.0, now - self.at), self.warm_up_s)
        warm = max(0.0, now - self.at - self.warm_up_s)
        return self.cores * (
            self.start_share * age + (1 - self.start_share) * age**2 / 2 / self.warm_up_s + warm
        )


class UnsolicitedAnswer(NamedTuple):
    """An answer that nobody had asked for."""

    at: float
    gateway: str


class Grant(NamedTuple):
    """A check that was granted."""

    at: float
    customer: str
    plan: str
    units: float


class GatewayAndHost(NamedTuple):
    """Names a gateway and a host."""

    gateway: str
    host: str


AttemptsById = Mapping[str, Sequence[Attempt]]  # by the requests' ids


class Records:
    """All that a ledger has written down.

    Attributes:
        host_states: What discovery told each gateway of each host.
        gateway_kills: When a gateway was killed, by its name.
        gateway_starts: When it listened, likewise.
        prepaid_requests: Ids of requests that came with the token of a check, which was counted.
    """

    def __init__(self) -> None:
        self.requests: dict[str, RecordedRequest] = {}
        self.attempts: list[Attempt] = []
        self.host_states: dict[tuple[str, str], list[HostState]] = defaultdict(list)
        self.gateway_kills: dict[str, list[float]] = defaultdict(list)
        self.gateway_starts: dict[str, list[float]] = defaultdict(list)
        self.cold_starts: list[ColdStart] = []
        self.unsolicited_answers: list[UnsolicitedAnswer] = []
        self.grants: list[Grant] = []
        self.prepaid_requests: set[str] = set()

    def attempts_by_id(self) -> dict[str, list[Attempt]]:
        """Return the attempts of each request in the order in which they came."""
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.last_byte_at):
            by_id[attempt.id].append(attempt)
        return by_id

    def is_excused(self, request: RecordedRequest) -> bool:
        """Return whether a request needs no answer, since its gateway was killed.

        That is so if it held the request then, or was dead when it was asked: a client may write to a
        connection before it hears of its end, above all where many are killed at once.
        """
        until = (
            request.sent_at + request.timeout_s
            if math.isnan(request.disconnected_at)
            else request.disconnected_at
        )
        deaths = self.gateway_kills[request.gateway]
        if any(request.sent_at - LIMIT_MARGIN_S <= death <= until + LIMIT_MARGIN_S for death in deaths):
            return True
        last_death = max((death for death in deaths if death <= request.sent_at), default=None)
        if last_death is None:
            return False
        return not any(last_death < birth < request.sent_at for birth in self.gateway_starts[request.gateway])
