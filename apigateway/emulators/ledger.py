"""What really passed on the sockets, written down at clients and hosts, and the five rules judged from that
alone.

It knows nothing of the gateway's code. Times are seconds of one monotonic clock (all stand-ins and clients of
a ledger run in one process). What a rule counts is told with its verdict: a rule of which nothing was seen is
not called kept. The rules: the platform's brief, `The rules on sockets` of its protocol page for their
margins.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

MARGIN = 0.05  # s that each time limit is longer on sockets
CEILING_MARGIN = 0.15  # s of its rate by which a ceiling's slack is wider on sockets
RULES = ("no request lost", "no effect twice", "drains kept", "cold hosts", "ceilings kept")


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests: effect safe, keyed or unsafe; for keyed ones the scope (all, zone, cell) that
    drops repeats, and for how many seconds."""

    effect: str
    scope: str = "all"
    memory: float = 0.0


UNKNOWN = Kind("unsafe")  # a class that the terms do not name is judged by the strictest


@dataclass(frozen=True, slots=True)
class Ceiling:
    rate: float  # units a second
    burst: float  # units
    slack: float = 0.1  # part of the burst


@dataclass(frozen=True, slots=True)
class Terms:
    kinds: dict[str, Kind]
    ceilings: dict[str, Ceiling] = field(default_factory=dict)  # by plan
    drain_grace: float = 2.0
    fall_multiple: float = 2.0
    fall_time: float = 2.0


@dataclass(slots=True)
class Try:
    """One request as its client sees it."""

    id: str
    gateway: str
    asked: float
    wait: float  # s that its client waits
    customer: str
    plan: str
    cls: str
    units: float
    # when, served refused failed, value
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)
    broken: float = math.nan  # when its connection ended without an answer


@dataclass(slots=True)
class Attempt:
    """One message at a host. `how` it ended: answered, busy, error, spoilt, half, closed; empty: still
    out."""

    id: str
    host: str
    cls: str
    cell: int
    zone: str
    first: float  # first byte
    last: float
    work: float  # s of one core at full capacity
    end: float = math.inf
    how: str = ""
    value: bytes = b""

    @property
    def may_have_run(self) -> bool:
        return self.how != "busy"


@dataclass(frozen=True, slots=True)
class Verdict:
    rule: str
    checked: int  # cases in which the rule could have been broken
    breaches: tuple[str, ...]

    @property
    def kept(self) -> bool:
        return not self.breaches

    def __str__(self) -> str:
        state = "BROKEN" if self.breaches else "kept" if self.checked else "not seen"
        return f"{self.rule}: {state} ({self.checked} looked at)"


class Ledger:
    def __init__(self, terms: Terms, clock: Callable[[], float] = time.monotonic) -> None:
        self.terms, self.clock = terms, clock
        self.tries: dict[str, Try] = {}
        self.attempts: list[Attempt] = []
        self.tellings: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)  # gateway, host
        self.deaths: dict[str, list[float]] = defaultdict(list)  # by gateway
        self.births: dict[str, list[float]] = defaultdict(list)  # by gateway
        self.starts: list[tuple[float, str, int, float, float]] = []
        self.surplus: list[tuple[float, str]] = []  # answers that nobody had asked for
        self.grants: list[tuple[float, str, str, float]] = []  # checks: when, customer, plan, units
        self.paid: set[str] = set()  # requests that came with the token of a check, which was counted

    # Clients

    def asked(
        self, id: str, gateway: str, wait: float, customer: str, plan: str, cls: str, units: float
    ) -> None:
        """The request's last byte is written. Asked again on a new connection it stays one request."""
        if id in self.tries:
            self.tries[id].broken = math.nan
        else:
            self.tries[id] = Try(id, gateway, self.clock(), wait, customer, plan, cls, units)

    def answered(self, id: str, kind: str, value: bytes = b"") -> None:
        self.tries[id].answers.append((self.clock(), kind, value))

    def broke_off(self, id: str) -> None:
        self.tries[id].broken = self.clock()

    def unasked(self, gateway: str) -> None:
        self.surplus.append((self.clock(), gateway))

    def granted(self, customer: str, plan: str, units: float) -> None:
        """A check was told so."""
        self.grants.append((self.clock(), customer, plan, units))

    # Gateways, hosts, discovery

    def died(self, gateway: str) -> None:
        """Killed outright: what it held is for its clients to ask again."""
        self.deaths[gateway].append(self.clock())

    def listens(self, gateway: str) -> None:
        """It is there, for the first time or again."""
        self.births[gateway].append(self.clock())

    def arrived(self, host: str, id: str, cls: str, cell: int, zone: str, first: float, work: float) -> int:
        """An attempt's last byte is there; its first came at `first`. Returns its number."""
        self.attempts.append(Attempt(id, host, cls, cell, zone, first, self.clock(), work))
        return len(self.attempts) - 1

    def ended(self, number: int, how: str, value: bytes = b"") -> None:
        attempt = self.attempts[number]
        attempt.end, attempt.how, attempt.value = self.clock(), how, value

    def told(self, gateway: str, host: str, state: str) -> None:
        """Discovery has written this host's state to a gateway: up, draining or removed."""
        told = self.tellings[gateway, host]
        if not told or told[-1][1] != state:
            told.append((self.clock(), state))

    def started(self, host: str, cores: int, share: float, seconds: float) -> None:
        """A host has started cold: `share` of its `cores` now, all of them evenly within `seconds`."""
        self.starts.append((self.clock(), host, cores, share, seconds))

    # Judgement

    def judge(self) -> tuple[Verdict, ...]:
        """Once all is over: one verdict a rule, in the order of RULES."""
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda a: a.last):
            by_id[attempt.id].append(attempt)
        parts = (self.lost(by_id), self.twice(by_id), self.drains(), self.cold(), self.ceilings(by_id))
        return tuple(
            Verdict(rule, checked, tuple(breaches))
            for rule, (checked, breaches) in zip(RULES, parts, strict=True)
        )

    def excused(self, t: Try) -> bool:
        """Its gateway was killed while it held the request, or was dead when it was asked: a client may write
        to a connection before it hears of its end, above all where many are killed at once."""
        until = t.broken if not math.isnan(t.broken) else t.asked + t.wait
        deaths = self.deaths[t.gateway]
        if any(t.asked - MARGIN <= death <= until + MARGIN for death in deaths):
            return True
        last = max((death for death in deaths if death <= t.asked), default=None)
        return last is not None and not any(last < birth < t.asked for birth in self.births[t.gateway])

    def lost(self, by_id: dict[str, list[Attempt]]) -> tuple[int, list[str]]:
        bad = [f"{gateway}: an answer that nobody had asked for" for _, gateway in self.surplus]
        checked = 0
        for t in self.tries.values():
            if not t.answers and self.excused(t):
                continue
            checked += 1
            name = f"{t.cls} {t.id} at {t.gateway}"
            if len(t.answers) != 1:
                bad.append(f"{name}: {len(t.answers)} answers")
                continue
            when, kind, value = t.answers[0]
            if when > t.asked + t.wait + MARGIN:
                bad.append(f"{name}: answered {when - t.asked - t.wait:.3f} s after its client's time")
            tries = by_id.get(t.id, ())
            if kind == "served" and value not in [a.value for a in tries if a.how == "answered"]:
                bad.append(f"{name}: served with what no host made for it")
            bad += [
                f"{name}: sent to {a.host} {a.first - when:.3f} s after its answer"
                for a in tries
                if a.first > when + MARGIN
            ]
        return checked, bad

    def twice(self, by_id: dict[str, list[Attempt]]) -> tuple[int, list[str]]:
        bad = []
        for id, tries in by_id.items():
            kind = self.terms.kinds.get(tries[0].cls, UNKNOWN)
            for n, later in enumerate(tries):
                for earlier in tries[:n]:
                    if earlier.end > later.last + MARGIN:
                        bad.append(f"{later.cls} {id}: at {later.host} while out at {earlier.host}")
                ran = [a for a in tries[:n] if a.may_have_run]
                if ran and kind.effect == "unsafe":
                    bad.append(f"{later.cls} {id}: at {later.host} though it may have run at {ran[0].host}")
                elif ran and kind.effect == "keyed":
                    if later.first > ran[0].last + kind.memory + MARGIN:
                        bad.append(f"{later.cls} {id}: at {later.host} after its repeats are forgotten")
                    if any(not self.same_group(kind.scope, a, later) for a in ran):
                        bad.append(f"{later.cls} {id}: at {later.host}, outside the group that drops repeats")
            t = self.tries.get(id)
            promised = t is not None and any(k == "refused" for _, k, _ in t.answers)
            harmless = kind.effect == "safe" or (kind.effect, kind.scope) == ("keyed", "all")
            if promised and not harmless and any(a.may_have_run for a in tries):
                bad.append(f"{tries[0].cls} {id}: refused though it may have run")
        return len(by_id), bad

    @staticmethod
    def same_group(scope: str, one: Attempt, other: Attempt) -> bool:
        return scope == "all" or (one.zone == other.zone if scope == "zone" else one.cell == other.cell)

    def drains(self) -> tuple[int, list[str]]:
        """Sends to a host that was told to drain or to be gone and not to be up again, past the grace."""
        checked, bad = 0, []
        checked = sum(state != "up" for told in self.tellings.values() for _, state in told)
        for a in self.attempts:
            t = self.tries.get(a.id)
            told = self.tellings.get((t.gateway, a.host), []) if t else []
            since = math.inf
            for when, state in told:
                if when <= a.first:
                    since = math.inf if state == "up" else min(since, when)
            if a.first > since + self.terms.drain_grace + MARGIN:
                bad.append(f"{a.cls} {a.id}: at {a.host} {a.first - since:.2f} s after its gateway was told")
        return checked, bad

    def cold(self) -> tuple[int, list[str]]:
        """Work sent within any `fall_time` after a start, against what the host could do in that time. One
        more request of the largest kind is chance, not a fault."""
        terms, bad = self.terms, []
        for start, host, cores, share, seconds in self.starts:
            ends = [at for at, other, *_ in self.starts if other == host and at > start]
            until = min([start + seconds, *ends])
            sent = [a for a in self.attempts if a.host == host and start <= a.last < until]
            largest = max((a.work for a in sent), default=0.0)

            def could(
                t: float,
                start: float = start,
                share: float = share,
                seconds: float = seconds,
                cores: int = cores,
            ) -> float:
                """Seconds of work that the host can have done from its start to `t`."""
                age = min(max(0.0, t - start), seconds)
                warm = max(0.0, t - start - seconds)
                return cores * (share * age + (1 - share) * age**2 / 2 / seconds + warm)

            for n, last in enumerate(sent):
                began = max(start, last.last - terms.fall_time)
                work = sum(a.work for a in sent[: n + 1] if a.last > began)
                most = terms.fall_multiple * (could(began + terms.fall_time) - could(began)) + largest
                if work > most + 1e-9:
                    bad.append(f"{host}: {work:.2f} s of work within {terms.fall_time} s, at most {most:.2f}")
                    break
        return len(self.starts), bad

    def ceilings(self, by_id: dict[str, list[Attempt]]) -> tuple[int, list[str]]:
        """The store of each customer under a ceiling starts full. A request takes its units with its first
        attempt, a check when it is granted."""
        stores = self.stores(by_id)
        bad = [
            f"{customer}: {-store:.1f} units beyond its ceiling, {slack:.1f} allowed"
            for customer, (store, slack) in stores.items()
            if store < -slack - 1e-9
        ]
        return len(stores), bad

    def stores(self, by_id: dict[str, list[Attempt]]) -> dict[str, tuple[float, float]]:
        """The least that was ever in the store of each customer under a ceiling, below 0 where it was passed,
        and by how much it may be."""
        spent: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for id, tries in by_id.items():
            t = self.tries.get(id)
            if t is not None and t.plan in self.terms.ceilings and id not in self.paid:
                spent[t.customer].append((tries[0].last, t.units, t.plan))
        for when, customer, plan, units in self.grants:
            if plan in self.terms.ceilings:
                spent[customer].append((when, units, plan))
        found = {}
        for customer, all_of_it in spent.items():
            all_of_it.sort()
            ceiling = self.terms.ceilings[all_of_it[0][2]]
            largest = max(units for _, units, _ in all_of_it)
            slack = max(ceiling.slack * ceiling.burst, largest) + CEILING_MARGIN * ceiling.rate
            store = least = ceiling.burst
            at = all_of_it[0][0]
            for when, units, _ in all_of_it:
                store = min(ceiling.burst, store + (when - at) * ceiling.rate) - units
                at, least = when, min(least, store)
            found[customer] = least, slack
        return found

    # Figures

    def outcomes(self) -> dict[tuple[str, str, str], int]:
        """Requests by plan, class and outcome: served, refused, failed, lost, or held by a gateway that was
        killed (`with gateway`)."""
        counts: dict[tuple[str, str, str], int] = defaultdict(int)
        for t in self.tries.values():
            kind = t.answers[0][1] if t.answers else "with gateway" if self.excused(t) else "lost"
            counts[t.plan, t.cls, kind] += 1
        return dict(counts)


def report(verdicts: Iterable[Verdict]) -> str:
    lines = []
    for verdict in verdicts:
        lines.append(str(verdict))
        lines += [f"    {text}" for text in verdict.breaches[:5]]
        if len(verdict.breaches) > 5:
            lines.append(f"    and {len(verdict.breaches) - 5} more")
    return "\n".join(lines)
