"""The five rules, judged from a ledger's records alone.

What a rule counts is told with its verdict: a rule of which nothing was seen is not called kept. The rules
are those of the platform; `The rules on sockets` of its protocol page gives their margins.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from apigateway.emulators.ledger_records import (
    LIMIT_MARGIN_S,
    UNKNOWN_CLASS_RULES,
    AnswerKind,
    Attempt,
    AttemptEnd,
    AttemptsById,
    ClassRules,
    ColdStart,
    HostState,
    RecordedRequest,
    Records,
    RuleLimits,
)

CEILING_MARGIN_S = 0.15  # of its rate, by which a ceiling's slack is wider on sockets
ROUNDING = 1e-9  # of sums of work and of units
RULES = ("no request lost", "no effect twice", "drains kept", "cold hosts", "ceilings kept")


@dataclass(frozen=True, slots=True)
class Verdict:
    """What was found of one rule.

    Attributes:
        checked: Cases in which the rule could have been broken.
        breaches: What broke it.
    """

    rule: str
    checked: int
    breaches: tuple[str, ...]

    @property
    def kept(self) -> bool:
        """Whether nothing broke it."""
        return not self.breaches

    def __str__(self) -> str:
        if self.breaches:
            state = "BROKEN"
        elif self.checked:
            state = "kept"
        else:
            state = "not seen"
        return f"{self.rule}: {state} ({self.checked} looked at)"


class Findings(NamedTuple):
    """What a rule's check has found."""

    checked: int
    breaches: list[str]


class CeilingUse(NamedTuple):
    """What a customer left of its ceiling.

    Attributes:
        least: The least units that were ever in its bucket; below 0 where the ceiling was passed.
        slack: By how many units it may be passed.
    """

    least: float
    slack: float


class Spending(NamedTuple):
    """Units that a customer has taken from its ceiling; in the order of time."""

    at: float
    units: float
    plan: str


def check_rules(records: Records, terms: RuleLimits) -> tuple[Verdict, ...]:
    """Return one verdict for each rule, in the order of `RULES`."""
    by_id = records.attempts_by_id()
    findings = (
        find_lost_requests(records, by_id),
        find_repeated_effects(records, terms, by_id),
        find_broken_drains(records, terms),
        find_overloaded_starts(records, terms),
        find_passed_ceilings(records, terms, by_id),
    )
    return tuple(
        Verdict(rule, found.checked, tuple(found.breaches))
        for rule, found in zip(RULES, findings, strict=True)
    )


# No request lost


def find_lost_requests(records: Records, by_id: AttemptsById) -> Findings:
    """Find requests without exactly one true answer in time, and answers that nobody had asked for."""
    breaches = [
        f"{answer.gateway}: an answer that nobody had asked for" for answer in records.unsolicited_answers
    ]
    checked = 0
    for request in records.requests.values():
        if not request.answers and records.is_excused(request):
            continue
        checked += 1
        if len(request.answers) != 1:
            breaches.append(f"{request.name}: {len(request.answers)} answers")
        else:
            breaches += _find_wrong_answer(request, by_id.get(request.id, ()))
    return Findings(checked, breaches)


def _find_wrong_answer(request: RecordedRequest, attempts: Sequence[Attempt]) -> Iterator[str]:
    answer = request.answers[0]
    late = answer.at - request.sent_at - request.timeout_s
    if answer.at > request.sent_at + request.timeout_s + LIMIT_MARGIN_S:
        yield f"{request.name}: answered {late:.3f} s after its client's time"
    made = [attempt.value for attempt in attempts if attempt.end_kind == AttemptEnd.ANSWERED]
    if answer.kind == AnswerKind.SERVED and answer.value not in made:
        yield f"{request.name}: served with what no host made for it"
    for attempt in attempts:
        if attempt.first_byte_at > answer.at + LIMIT_MARGIN_S:
            late = attempt.first_byte_at - answer.at
            yield f"{request.name}: sent to {attempt.host} {late:.3f} s after its answer"


# No effect twice


def find_repeated_effects(records: Records, terms: RuleLimits, by_id: AttemptsById) -> Findings:
    """Find attempts beside or after others that forbid them, and refusals of what may have run."""
    breaches: list[str] = []
    for request_id, attempts in by_id.items():
        kind = terms.classes.get(attempts[0].service_class, UNKNOWN_CLASS_RULES)
        for number, attempt in enumerate(attempts):
            breaches += _find_forbidden_attempt(kind, attempts[:number], attempt)
        breaches += _find_false_refusal(kind, records.requests.get(request_id), attempts)
    return Findings(len(by_id), breaches)


def _find_forbidden_attempt(kind: ClassRules, earlier: Sequence[Attempt], later: Attempt) -> Iterator[str]:
    for attempt in earlier:
        if attempt.ended_at > later.last_byte_at + LIMIT_MARGIN_S:
            yield f"{later.name}: at {later.host} while out at {attempt.host}"
    executed = [attempt for attempt in earlier if attempt.may_have_run]
    if not executed:
        return
    first = executed[0]
    if kind.effect == "unsafe":
        yield f"{later.name}: at {later.host} though it may have run at {first.host}"
    elif kind.effect == "keyed":
        if later.first_byte_at > first.last_byte_at + kind.deduplication_window_s + LIMIT_MARGIN_S:
            yield f"{later.name}: at {later.host} after its repeats are forgotten"
        if any(not _share_memory(kind.deduplication_scope, attempt, later) for attempt in executed):
            yield f"{later.name}: at {later.host}, outside the group that drops repeats"


def _share_memory(scope: str, one: Attempt, other: Attempt) -> bool:
    """Return whether two hosts know of each other's requests."""
    match scope:
        case "all":
            return True
        case "zone":
            return one.zone == other.zone
        case _:
            return one.cell == other.cell


def _find_false_refusal(
    kind: ClassRules, request: RecordedRequest | None, attempts: Sequence[Attempt]
) -> Iterator[str]:
    """Find a refusal, after which clients try again, of a request whose repeat may do harm."""
    if request is None or not any(answer.kind == AnswerKind.REFUSED for answer in request.answers):
        return
    is_harmless = kind.effect == "safe" or (kind.effect == "keyed" and kind.deduplication_scope == "all")
    if not is_harmless and any(attempt.may_have_run for attempt in attempts):
        yield f"{attempts[0].name}: refused though it may have run"


# Drains kept


def find_broken_drains(records: Records, terms: RuleLimits) -> Findings:
    """Find attempts at hosts past the grace after their gateway was told that they drain or are gone."""
    checked = sum(told.state != "up" for history in records.host_states.values() for told in history)
    breaches = []
    for attempt in records.attempts:
        request = records.requests.get(attempt.id)
        if request is None:
            continue
        history = records.host_states.get((request.gateway, attempt.host), [])
        since = _draining_since(history, attempt.first_byte_at)
        if attempt.first_byte_at > since + terms.drain_grace_s + LIMIT_MARGIN_S:
            late = attempt.first_byte_at - since
            breaches.append(f"{attempt.name}: at {attempt.host} {late:.2f} s after its gateway was told")
    return Findings(checked, breaches)


def _draining_since(history: Sequence[HostState], now: float) -> float:
    """Return since when a gateway knows that a host drains or is gone; infinite if it is up."""
    since = math.inf
    for told in history:
        if told.at <= now:
            since = math.inf if told.state == "up" else min(since, told.at)
    return since


# Cold hosts


def find_overloaded_starts(records: Records, terms: RuleLimits) -> Findings:
    """Find hosts that were sent more, in any `fall_time` after a cold start, than they bear."""
    breaches: list[str] = []
    for start in records.cold_starts:
        breaches += _find_overload(records, terms, start)
    return Findings(len(records.cold_starts), breaches)


def _find_overload(records: Records, terms: RuleLimits, start: ColdStart) -> list[str]:
    """Find the first overload of a start. One more request of the largest kind is chance, not a fault."""
    later_starts = [
        other.at for other in records.cold_starts if other.host == start.host and other.at > start.at
    ]
    until = min([start.at + start.warm_up_s, *later_starts])
    sent = [
        attempt
        for attempt in records.attempts
        if attempt.host == start.host and start.at <= attempt.last_byte_at < until
    ]
    largest = max((attempt.work_s for attempt in sent), default=0.0)
    for number, last in enumerate(sent):
        window_start = max(start.at, last.last_byte_at - terms.overload_window_s)
        work = sum(attempt.work_s for attempt in sent[: number + 1] if attempt.last_byte_at > window_start)
        capacity = start.work_until(window_start + terms.overload_window_s) - start.work_until(window_start)
        allowed = terms.overload_ratio * capacity + largest
        if work > allowed + ROUNDING:
            window = f"within {terms.overload_window_s} s"
            return [f"{start.host}: {work:.2f} s of work {window}, at most {allowed:.2f}"]
    return []


# Ceilings kept


def find_passed_ceilings(records: Records, terms: RuleLimits, by_id: AttemptsById) -> Findings:
    """Find customers that used more than their ceiling and its slack."""
    uses = ceiling_uses(records, terms, by_id)
    breaches = [
        f"{customer}: {-use.least:.1f} units beyond its ceiling, {use.slack:.1f} allowed"
        for customer, use in uses.items()
        if use.least < -use.slack - ROUNDING
    ]
    return Findings(len(uses), breaches)


def ceiling_uses(records: Records, terms: RuleLimits, by_id: AttemptsById) -> dict[str, CeilingUse]:
    """Return what each customer under a ceiling left of it.

    The bucket of each starts full. A request takes its units with its first attempt, a check when it is
    granted.
    """
    spendings: dict[str, list[Spending]] = defaultdict(list)
    for request_id, attempts in by_id.items():
        request = records.requests.get(request_id)
        if (
            request is not None
            and request.plan in terms.ceilings
            and request_id not in records.prepaid_requests
        ):
            spending = Spending(attempts[0].last_byte_at, request.units, request.plan)
            spendings[request.customer].append(spending)
    for grant in records.grants:
        if grant.plan in terms.ceilings:
            spendings[grant.customer].append(Spending(grant.at, grant.units, grant.plan))
    return {customer: _ceiling_use(terms, sorted(own)) for customer, own in spendings.items()}


def _ceiling_use(terms: RuleLimits, spendings: Sequence[Spending]) -> CeilingUse:
    """Return what a customer's spendings, in the order of time, left of its ceiling."""
    ceiling = terms.ceilings[spendings[0].plan]
    largest = max(spending.units for spending in spendings)
    slack = max(ceiling.slack * ceiling.burst, largest) + CEILING_MARGIN_S * ceiling.rate
    level = ceiling.burst
    least = ceiling.burst
    updated_at = spendings[0].at
    for spending in spendings:
        refilled = min(ceiling.burst, level + (spending.at - updated_at) * ceiling.rate)
        level = refilled - spending.units
        least = min(least, level)
        updated_at = spending.at
    return CeilingUse(least, slack)
