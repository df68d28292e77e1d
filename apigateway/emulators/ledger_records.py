"""The records of a ledger: requests, attempts, and events of gateways and hosts.

Times are in seconds of the ledger's clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

LIMIT_MARGIN_S = 0.05  # added to each time limit, for delays on sockets


@dataclass(frozen=True, slots=True)
class ClassRules:
    """How often requests of a class may be executed.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        deduplication_scope: For keyed classes, the hosts that discard duplicates: "all", "zone" or "cell".
        deduplication_window_s: For keyed classes, how long a host discards duplicates of a request.
    """

    effect: str
    deduplication_scope: str = "all"
    deduplication_window_s: float = 0.0


UNKNOWN_CLASS_RULES = ClassRules("unsafe")  # the strictest rules apply to a class without rules of its own


@dataclass(frozen=True, slots=True)
class Ceiling:
    """The most that a customer of a plan may use over all gateways."""

    rate: float  # units a second
    burst: float  # units
    slack: float = 0.1  # share of the burst


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The limits that the rules are checked against.

    Attributes:
        classes: The rules of each class, by its name.
        ceilings: The ceiling of each plan that has one, by the plan's name.
        drain_grace_s: How long attempts may still be sent to a draining host.
        overload_ratio: The most work that a cold host may be sent within `overload_window_s`, as a multiple
            of the work that it can do in that time.
        overload_window_s: The window of `overload_ratio`.
    """

    classes: dict[str, ClassRules]
    ceilings: dict[str, Ceiling] = field(default_factory=dict)
    drain_grace_s: float = 2.0
    overload_ratio: float = 2.0
    overload_window_s: float = 2.0


class AnswerKind(StrEnum):
    """The kind of answer that a client received."""

    SERVED = "served"
    REFUSED = "refused"  # not executed, so a retry is safe
    FAILED = "failed"


class Outcome(StrEnum):
    """The outcome of a request that was not answered."""

    LOST = "lost"
    WITH_GATEWAY = "with gateway"  # the gateway was killed while it handled the request


class AttemptEnd(StrEnum):
    """How an attempt ended on the host's socket."""

    ACTIVE = ""  # has not ended
    ANSWERED = "answered"
    BUSY = "busy"  # rejected by the host without executing it
    ERROR = "error"
    MALFORMED = "spoilt"
    TRUNCATED = "half"
    CLOSED = "closed"


class RecordedAnswer(NamedTuple):
    """An answer that a client received."""

    at: float  # when its last byte arrived
    kind: str  # an `AnswerKind`
    value: bytes
    read_at: float = math.nan  # when the client's event loop read it
    # Whether `at` is the time of what was read along with it: later answers, or the connection's end.
    is_merged: bool = False
    waited_s: float = 0.0  # for earlier answers on its connection, which does not count


@dataclass(slots=True)
class RecordedRequest:
    """One request as seen by its client.

    Attributes:
        sent_at: When its last byte was written.
        timeout_s: How long its client waits.
        disconnected_at: When its connection ended without an answer; NaN if it has not.
        disconnect_trace: What its client knows of that connection, for the verdict on a lost request.
        left_at: When its client left; infinite if it has not.
        is_excused_unforwarded: Whether it needs no answer if it was not forwarded.
        repeat_count: How often its client left and sent it again.
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
    disconnect_trace: str = ""
    left_at: float = math.inf
    is_excused_unforwarded: bool = False
    repeat_count: int = 0

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.service_class} {self.id} at {self.gateway}"


@dataclass(slots=True)
class Attempt:
    """One attempt as seen by its host.

    Attributes:
        first_byte_at: When its first byte arrived.
        last_byte_at: When its last byte arrived.
        work_s: Seconds of one core at full capacity.
        ended_at: When it ended; infinite if it has not.
        end_kind: How it ended, an `AttemptEnd`.
        value: The value that the host answered with.
        told_timeout_s: How long it told the host that the gateway waits; NaN if that is not known.
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
    told_timeout_s: float = math.nan

    @property
    def may_have_executed(self) -> bool:
        """Whether the host may have executed it."""
        return self.end_kind != AttemptEnd.BUSY

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.service_class} {self.id}"


class HostState(NamedTuple):
    """A host's state as discovery sent it to a gateway: up, draining or removed."""

    at: float
    state: str


class ColdStart(NamedTuple):
    """A cold start of a host."""

    at: float
    host: str
    cores: int
    start_share: float  # share of the cores that the host can use at the start
    warm_up_s: float  # until it can use all of them

    def work_until(self, now: float) -> float:
        """Return the most core seconds of work that the host can have done from its start to `now`."""
        age = min(max(0.0, now - self.at), self.warm_up_s)
        warm_s = max(0.0, now - self.at - self.warm_up_s)
        return self.cores * (
            self.start_share * age + (1 - self.start_share) * age**2 / 2 / self.warm_up_s + warm_s
        )


class UnsolicitedAnswer(NamedTuple):
    """An answer on a connection without an open request."""

    at: float
    gateway: str


class Grant(NamedTuple):
    """A quota check that was granted."""

    at: float
    customer: str
    plan: str
    units: float


class GatewayAndHost(NamedTuple):
    """The names of a gateway and a host."""

    gateway: str
    host: str


AttemptsById = Mapping[str, Sequence[Attempt]]  # by request id


class GatewayPause(NamedTuple):
    """A time in which a gateway's process was paused, so that it could neither read nor write."""

    paused_at: float
    continued_at: float


class Records:
    """All records of a ledger.

    Attributes:
        host_states: The states that discovery sent, by gateway and host.
        gateway_kills: The times at which each gateway was killed, by its name.
        gateway_starts: The times at which each gateway began to listen, by its name.
        gateway_pauses: The pauses of each gateway, by its name.
        prepaid_requests: Ids of requests that carried the token of a check. The check's units were counted.
    """

    def __init__(self) -> None:
        self.requests: dict[str, RecordedRequest] = {}
        self.attempts: list[Attempt] = []
        self.host_states: dict[tuple[str, str], list[HostState]] = defaultdict(list)
        self.gateway_kills: dict[str, list[float]] = defaultdict(list)
        self.gateway_starts: dict[str, list[float]] = defaultdict(list)
        self.gateway_pauses: dict[str, list[GatewayPause]] = defaultdict(list)
        self.cold_starts: list[ColdStart] = []
        self.unsolicited_answers: list[UnsolicitedAnswer] = []
        self.grants: list[Grant] = []
        self.prepaid_requests: set[str] = set()

    def attempts_by_id(self) -> dict[str, list[Attempt]]:
        """Return the attempts of each request in the order of their arrival."""
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.last_byte_at):
            by_id[attempt.id].append(attempt)
        return by_id

    def answer_due_at(self, request: RecordedRequest) -> float:
        """Return when a request's answer is due: at its client's timeout, unless its gateway was paused.

        A gateway reads a request that arrived in a pause at the end of it, and counts the request's time from
        then on. An answer that is due in a pause is due at the end of it.
        """
        due_at = request.sent_at + request.timeout_s
        for pause in self.gateway_pauses[request.gateway]:
            if pause.paused_at - LIMIT_MARGIN_S <= request.sent_at <= pause.continued_at:
                due_at += pause.continued_at - request.sent_at
            elif pause.paused_at <= due_at <= pause.continued_at:
                due_at = pause.continued_at
        return due_at

    def is_excused(self, request: RecordedRequest) -> bool:
        """Return whether a request needs no answer: its client has left, or its gateway was killed.

        The latter is so if the gateway was killed while it handled the request, or was not running when the
        request was sent. A client may write to a connection before it learns that the connection has ended,
        above all when many gateways are killed at once.
        """
        if request.left_at < math.inf:
            return True
        until = (
            request.sent_at + request.timeout_s
            if math.isnan(request.disconnected_at)
            else request.disconnected_at
        )
        kills = self.gateway_kills[request.gateway]
        if any(request.sent_at - LIMIT_MARGIN_S <= kill <= until + LIMIT_MARGIN_S for kill in kills):
            return True
        last_kill = max((kill for kill in kills if kill <= request.sent_at), default=None)
        if last_kill is None:
            return False
        return not any(last_kill < start < request.sent_at for start in self.gateway_starts[request.gateway])
