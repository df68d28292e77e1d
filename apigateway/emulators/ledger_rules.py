"""The platform's five rules, checked against a ledger's records alone.

A verdict says how many cases were checked, and a rule without any case does not count as kept. The section
`The rules on sockets` of the platform's protocol page gives the margins.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from apigateway.emulators.ceiling_use import find_exceeded_ceilings
from apigateway.emulators.ledger_findings import Findings
from apigateway.emulators.ledger_records import (
    LIMIT_MARGIN_S,
    UNKNOWN_CLASS_RULES,
    AnswerKind,
    Attempt,
    AttemptsById,
    ClassRules,
    ColdStart,
    HostState,
    RecordedRequest,
    Records,
    RuleLimits,
)
from apigateway.emulators.lost_requests import Delays, find_lost_requests

ROUNDING = 1e-9  # tolerance for sums of work
RULES = ("no request lost", "no effect twice", "drains kept", "cold hosts", "ceilings kept")


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of checking one rule.

    Attributes:
        checked: The number of cases in which the rule could have been broken.
        breaches: One line for each breach.
    """

    rule: str
    checked: int
    breaches: tuple[str, ...]

    @property
    def kept(self) -> bool:
        """Whether there is no breach."""
        return not self.breaches

    def __str__(self) -> str:
        if self.breaches:
            state = "BROKEN"
        elif self.checked:
            state = "kept"
        else:
            state = "not seen"
        return f"{self.rule}: {state} ({self.checked} checked)"


def check_rules(records: Records, limits: RuleLimits, delays: Delays | None = None) -> tuple[Verdict, ...]:
    """Return one verdict for each rule, in the order of `RULES`.

    `delays` are shown beside lost and late requests, and tell the time of answers that were read together.
    """
    by_id = records.attempts_by_id()
    findings = (
        find_lost_requests(records, by_id, delays),
        find_duplicate_executions(records, limits, by_id, delays),
        find_late_drain_attempts(records, limits),
        find_overloaded_cold_starts(records, limits),
        find_exceeded_ceilings(records, limits, by_id),
    )
    return tuple(
        Verdict(rule, found.checked, tuple(found.breaches))
        for rule, found in zip(RULES, findings, strict=True)
    )


# No effect twice


def find_duplicate_executions(
    records: Records, limits: RuleLimits, by_id: AttemptsById, delays: Delays | None = None
) -> Findings:
    """Find attempts that earlier ones forbid, and refusals of requests that may have been executed."""
    breaches: list[str] = []
    for request_id, attempts in by_id.items():
        rules = limits.classes.get(attempts[0].service_class, UNKNOWN_CLASS_RULES)
        for number, attempt in enumerate(attempts):
            breaches += _find_parallel_attempts(attempts[:number], attempt, delays)
            breaches += _find_forbidden_attempt(rules, attempts[:number], attempt)
        breaches += _find_unsafe_refusal(rules, records.requests.get(request_id), attempts)
    return Findings(len(by_id), breaches)


def _find_parallel_attempts(
    earlier: Sequence[Attempt], later: Attempt, delays: Delays | None
) -> Iterator[str]:
    for attempt in earlier:
        left_s = attempt.ended_at - later.last_byte_at
        if left_s > LIMIT_MARGIN_S:
            begun_s = later.last_byte_at - attempt.last_byte_at
            trace = f"begun {begun_s:.3f} s before, {attempt.end_kind or 'open'} {left_s:.3f} s later"
            if delays is not None:
                trace += f", {delays.describe(later.last_byte_at, attempt.ended_at)}"
            yield f"{later.name}: sent to {later.host} during its attempt at {attempt.host} ({trace})"


def _find_forbidden_attempt(rules: ClassRules, earlier: Sequence[Attempt], later: Attempt) -> Iterator[str]:
    executed = [attempt for attempt in earlier if attempt.may_have_executed]
    if not executed:
        return
    first = executed[0]
    if rules.effect == "unsafe":
        yield f"{later.name}: sent to {later.host} though {first.host} may have executed it"
    elif rules.effect == "keyed":
        if later.first_byte_at > first.last_byte_at + rules.deduplication_window_s + LIMIT_MARGIN_S:
            yield f"{later.name}: sent to {later.host} after the deduplication window"
        if any(not _share_memory(rules.deduplication_scope, attempt, later) for attempt in executed):
            yield f"{later.name}: sent to {later.host}, outside the deduplication scope"


def _share_memory(scope: str, one: Attempt, other: Attempt) -> bool:
    """Return whether the hosts of two attempts share their deduplication memory."""
    match scope:
        case "all":
            return True
        case "zone":
            return one.zone == other.zone
        case _:
            return one.cell == other.cell


def _find_unsafe_refusal(
    rules: ClassRules, request: RecordedRequest | None, attempts: Sequence[Attempt]
) -> Iterator[str]:
    """Find a refusal, after which clients retry, of a request that may not be executed twice."""
    if request is None or not any(answer.kind == AnswerKind.REFUSED for answer in request.answers):
        return
    is_harmless = rules.effect == "safe" or (rules.effect == "keyed" and rules.deduplication_scope == "all")
    if not is_harmless and any(attempt.may_have_executed for attempt in attempts):
        yield f"{attempts[0].name}: refused though it may have been executed"


# Drains kept


def find_late_drain_attempts(records: Records, limits: RuleLimits) -> Findings:
    """Find attempts sent after the grace time to hosts that discovery had reported as draining or removed."""
    checked = sum(entry.state != "up" for history in records.host_states.values() for entry in history)
    breaches = []
    for attempt in records.attempts:
        request = records.requests.get(attempt.id)
        if request is None:
            continue
        history = records.host_states.get((request.gateway, attempt.host), [])
        since = _draining_since(history, attempt.first_byte_at)
        if attempt.first_byte_at > since + limits.drain_grace_s + LIMIT_MARGIN_S:
            late_s = attempt.first_byte_at - since
            breaches.append(
                f"{attempt.name}: sent to {attempt.host} {late_s:.2f} s "
                "after its gateway learned of the drain"
            )
    return Findings(checked, breaches)


def _draining_since(history: Sequence[HostState], now: float) -> float:
    """Return since when a gateway has known a host as draining or removed; infinite if it is up."""
    since = math.inf
    for entry in history:
        if entry.at <= now:
            since = math.inf if entry.state == "up" else min(since, entry.at)
    return since


# Cold hosts


def find_overloaded_cold_starts(records: Records, limits: RuleLimits) -> Findings:
    """Find hosts that were sent too much work in any `overload_window_s` after a cold start."""
    breaches: list[str] = []
    for start in records.cold_starts:
        breaches += _find_overload(records, limits, start)
    return Findings(len(records.cold_starts), breaches)


def _find_overload(records: Records, limits: RuleLimits, start: ColdStart) -> list[str]:
    """Find the first overload after a start; one more request of the largest size is allowed as chance."""
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
        window_start = max(start.at, last.last_byte_at - limits.overload_window_s)
        work = sum(attempt.work_s for attempt in sent[: number + 1] if attempt.last_byte_at > window_start)
        capacity = start.work_until(window_start + limits.overload_window_s) - start.work_until(window_start)
        allowed = limits.overload_ratio * capacity + largest
        if work > allowed + ROUNDING:
            window = f"within {limits.overload_window_s} s"
            return [f"{start.host}: {work:.2f} s of work {window}, at most {allowed:.2f}"]
    return []
