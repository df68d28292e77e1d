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
class Kind:
    """A class of requests.

    Attributes:
        effect: "safe", "keyed" or "unsafe".
        scope: Of keyed ones: the hosts that discard a repeat: "all", "zone" or "cell".
        memory: Of keyed ones: for how many seconds they do.
    """

    effect: str
    scope: str = "all"
    memory: float = 0.0


UNKNOWN = Kind("unsafe")  # a class that the terms do not name is judged by the strictest


@dataclass(frozen=True, slots=True)
class Ceiling:
    """What customers of a plan may use at most, over all gateways."""

    rate: float  # units a second
    burst: float  # units
    slack: float = 0.1  # part of the burst


@dataclass(frozen=True, slots=True)
class Terms:
    """What the rules are judged by.

    Attributes:
        kinds: By the names of classes.
        ceilings: By plan.
        drain_grace: Seconds after which nothing more may be sent to a draining host.
        fall_multiple: A host that starts cold bears so many times what it can do ...
        fall_time: ... in so many seconds.
    """

    kinds: dict[str, Kind]
    ceilings: dict[str, Ceiling] = field(default_factory=dict)
    drain_grace: float = 2.0
    fall_multiple: float = 2.0
    fall_time: float = 2.0


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
    SPOILT = "spoilt"
    HALF = "half"
    CLOSED = "closed"


class RecordedAnswer(NamedTuple):
    """An answer that a client got."""

    at: float
    kind: str  # of `AnswerKind`
    value: bytes


@dataclass(slots=True)
class Try:
    """One request as its client sees it.

    Attributes:
        asked: When its last byte was written.
        wait: Seconds that its client waits.
        broken: When its connection ended without an answer.
    """

    id: str
    gateway: str
    asked: float
    wait: float
    customer: str
    plan: str
    cls: str
    units: float
    answers: list[RecordedAnswer] = field(default_factory=list)
    broken: float = math.nan

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.cls} {self.id} at {self.gateway}"


@dataclass(slots=True)
class Attempt:
    """One message at a host.

    Attributes:
        first: When its first byte came.
        last: When its last byte came.
        work: Seconds of one core at full capacity.
        end: When it ended.
        how: How it ended, of `AttemptEnd`.
        value: What the host answered.
    """

    id: str
    host: str
    cls: str
    cell: int
    zone: str
    first: float
    last: float
    work: float
    end: float = math.inf
    how: str = AttemptEnd.ACTIVE
    value: bytes = b""

    @property
    def may_have_run(self) -> bool:
        """Whether the host may have executed it."""
        return self.how != AttemptEnd.BUSY

    @property
    def name(self) -> str:
        """The request's name in a breach."""
        return f"{self.cls} {self.id}"


class ToldState(NamedTuple):
    """A host's state as discovery wrote it to a gateway: up, draining or removed."""

    at: float
    state: str


class ColdStart(NamedTuple):
    """A host that has started cold."""

    at: float
    host: str
    cores: int
    share: float  # of its cores that it has at the start
    seconds: float  # until it has all of them

    def work_until(self, now: float) -> float:
        """Return the core seconds that the host can have done from its start to `now`."""
        age = min(max(0.0, now - self.at), self.seconds)
        warm = max(0.0, now - self.at - self.seconds)
        return self.cores * (self.share * age + (1 - self.share) * age**2 / 2 / self.seconds + warm)


class SurplusAnswer(NamedTuple):
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
        tellings: What discovery told each gateway of each host.
        deaths: When a gateway was killed, by its name.
        births: When it listened, likewise.
        paid: Ids of requests that came with the token of a check, which was counted.
    """

    def __init__(self) -> None:
        self.tries: dict[str, Try] = {}
        self.attempts: list[Attempt] = []
        self.tellings: dict[tuple[str, str], list[ToldState]] = defaultdict(list)
        self.deaths: dict[str, list[float]] = defaultdict(list)
        self.births: dict[str, list[float]] = defaultdict(list)
        self.starts: list[ColdStart] = []
        self.surplus: list[SurplusAnswer] = []
        self.grants: list[Grant] = []
        self.paid: set[str] = set()

    def attempts_by_id(self) -> dict[str, list[Attempt]]:
        """Return the attempts of each request in the order in which they came."""
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.last):
            by_id[attempt.id].append(attempt)
        return by_id

    def excused(self, request: Try) -> bool:
        """Return whether a request needs no answer, since its gateway was killed.

        That is so if it held the request then, or was dead when it was asked: a client may write to a
        connection before it hears of its end, above all where many are killed at once.
        """
        until = request.asked + request.wait if math.isnan(request.broken) else request.broken
        deaths = self.deaths[request.gateway]
        if any(request.asked - LIMIT_MARGIN_S <= death <= until + LIMIT_MARGIN_S for death in deaths):
            return True
        last_death = max((death for death in deaths if death <= request.asked), default=None)
        if last_death is None:
            return False
        return not any(last_death < birth < request.asked for birth in self.births[request.gateway])
