"""What really passed on the sockets, written down at clients and hosts, and the rules judged from that alone.

It knows nothing of the gateway's code. Times are seconds of one monotonic clock: all emulators and clients of
a ledger run in one process.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

from apigateway.emulators.ledger_records import (
    Attempt,
    AttemptsById,
    Ceiling,
    ColdStart,
    Grant,
    Kind,
    Outcome,
    RecordedAnswer,
    Records,
    SurplusAnswer,
    Terms,
    ToldState,
    Try,
)
from apigateway.emulators.ledger_rules import RULES, CeilingUse, Verdict, ceiling_uses, judge

__all__ = ["RULES", "Attempt", "Ceiling", "Kind", "Ledger", "Terms", "Try", "Verdict", "report"]

MAX_SHOWN_BREACHES = 5  # of a rule, in a report


class Ledger(Records):
    """Takes notes for clients, hosts and discovery, and judges them once all is over."""

    def __init__(self, terms: Terms, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.terms = terms
        self.clock = clock

    # Clients

    def asked(
        self, id: str, gateway: str, wait: float, customer: str, plan: str, cls: str, units: float
    ) -> None:
        """Note that a request's last byte is written. Sent again on a new connection it stays one request."""
        if id in self.tries:
            self.tries[id].broken = math.nan
        else:
            self.tries[id] = Try(id, gateway, self.clock(), wait, customer, plan, cls, units)

    def answered(self, id: str, kind: str, value: bytes = b"") -> None:
        """Note a request's answer; `kind` is one of `AnswerKind`."""
        self.tries[id].answers.append(RecordedAnswer(self.clock(), kind, value))

    def broke_off(self, id: str) -> None:
        """Note that a request's connection ended without an answer."""
        self.tries[id].broken = self.clock()

    def unasked(self, gateway: str) -> None:
        """Note an answer that nobody had asked for."""
        self.surplus.append(SurplusAnswer(self.clock(), gateway))

    def granted(self, customer: str, plan: str, units: float) -> None:
        """Note that a check was granted."""
        self.grants.append(Grant(self.clock(), customer, plan, units))

    # Gateways, hosts, discovery

    def died(self, gateway: str) -> None:
        """Note that a gateway was killed outright: what it held is for its clients to ask again."""
        self.deaths[gateway].append(self.clock())

    def listens(self, gateway: str) -> None:
        """Note that a gateway is there, for the first time or again."""
        self.births[gateway].append(self.clock())

    def arrived(self, host: str, id: str, cls: str, cell: int, zone: str, first: float, work: float) -> int:
        """Note that an attempt's last byte is there; its first one came at `first`.

        Returns:
            The attempt's number, for `ended`.
        """
        self.attempts.append(Attempt(id, host, cls, cell, zone, first, self.clock(), work))
        return len(self.attempts) - 1

    def ended(self, number: int, how: str, value: bytes = b"") -> None:
        """Note the end of an attempt; `how` is one of `AttemptEnd`."""
        attempt = self.attempts[number]
        attempt.end = self.clock()
        attempt.how = how
        attempt.value = value

    def told(self, gateway: str, host: str, state: str) -> None:
        """Note that discovery has written a host's state to a gateway: up, draining or removed."""
        history = self.tellings[gateway, host]
        if not history or history[-1].state != state:
            history.append(ToldState(self.clock(), state))

    def started(self, host: str, cores: int, share: float, seconds: float) -> None:
        """Note a cold start: `share` of its `cores` now, all of them evenly within `seconds`."""
        self.starts.append(ColdStart(self.clock(), host, cores, share, seconds))

    # Judgement

    def judge(self) -> tuple[Verdict, ...]:
        """Return one verdict for each rule, in the order of `RULES`; due once all is over."""
        return judge(self, self.terms)

    def stores(self, by_id: AttemptsById) -> dict[str, CeilingUse]:
        """Return what each customer under a ceiling left of it."""
        return ceiling_uses(self, self.terms, by_id)

    def outcomes(self) -> dict[tuple[str, str, str], int]:
        """Return how many requests had each outcome, by plan, class and outcome.

        An outcome is an `AnswerKind`, or an `Outcome` for requests without an answer.
        """
        counts: dict[tuple[str, str, str], int] = defaultdict(int)
        for request in self.tries.values():
            if request.answers:
                outcome = request.answers[0].kind
            else:
                outcome = Outcome.WITH_GATEWAY if self.excused(request) else Outcome.LOST
            counts[request.plan, request.cls, outcome] += 1
        return dict(counts)


def report(verdicts: Iterable[Verdict]) -> str:
    """Return verdicts as text, each with its first breaches."""
    lines = []
    for verdict in verdicts:
        lines.append(str(verdict))
        lines += [f"    {breach}" for breach in verdict.breaches[:MAX_SHOWN_BREACHES]]
        if len(verdict.breaches) > MAX_SHOWN_BREACHES:
            lines.append(f"    and {len(verdict.breaches) - MAX_SHOWN_BREACHES} more")
    return "\n".join(lines)
