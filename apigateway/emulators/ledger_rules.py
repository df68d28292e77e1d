"""The platform's five rules, checked against a ledger's records alone.

A verdict says how many cases were checked, and a rule without any case does not count as kept. The section
`The rules on sockets` of the platform's protocol page gives the margins.
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
    RecordedAnswer,
    RecordedRequest,
    Records,
    RuleLimits,
)
from apigateway.emulators.loop_lag import LoopLagMonitor
from apigateway.emulators.stall_monitor import StallMonitor

CEILING_MARGIN_S = 0.15  # seconds of a ceiling's rate, added to its slack on sockets
ABSENT_CLIENT_LIMIT_S = 0.1  # after a client's close, in which an attempt may still begin
ROUNDING = 1e-9  # tolerance for sums of work and of units
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


class Delays(NamedTuple):
    """What held up clients, hosts and gateway; shown in the verdicts."""

    loop_lag: LoopLagMonitor  # of the loop that runs clients and hosts
    stalls: StallMonitor  # of the gateway's process

    def describe(self, start: float, end: float) -> str:
        """Return the longest delays of a time."""
        lag_s = self.loop_lag.longest_between(start, end)
        machine_s = self.stalls.machine.longest_between(start, end)
        process_s = self.stalls.process.longest_between(start, end)
        return (
            f"meanwhile clients' loop late by {lag_s:.3f} s, machine stalled for {machine_s:.3f} s, "
            f"gateway without CPU for {process_s:.3f} s"
        )


class Findings(NamedTuple):
    """The number of checked cases and the breaches of one rule."""

    checked: int
    breaches: list[str]


class CeilingUse(NamedTuple):
    """How far a customer used its ceiling.

    Attributes:
        least: The lowest level of the customer's bucket, in units; below 0 if the ceiling was exceeded.
        slack: The number of units by which the ceiling may be exceeded.
    """

    least: float
    slack: float


class Spending(NamedTuple):
    """Units that a customer took from its ceiling; sorts by time."""

    at: float
    units: float
    plan: str


def check_rules(records: Records, limits: RuleLimits, delays: Delays | None = None) -> tuple[Verdict, ...]:
    """Return one verdict for each rule, in the order of `RULES`; `delays` are shown beside broken ones."""
    by_id = records.attempts_by_id()
    findings = (
        find_lost_requests(records, by_id, delays),
        find_duplicate_executions(records, limits, by_id),
        find_late_drain_attempts(records, limits),
        find_overloaded_cold_starts(records, limits),
        find_exceeded_ceilings(records, limits, by_id),
    )
    return tuple(
        Verdict(rule, found.checked, tuple(found.breaches))
        for rule, found in zip(RULES, findings, strict=True)
    )


# No request lost


def find_lost_requests(records: Records, by_id: AttemptsById, delays: Delays | None = None) -> Findings:
    """Find requests without exactly one correct answer in time, and unsolicited answers."""
    breaches = [f"{answer.gateway}: an unsolicited answer" for answer in records.unsolicited_answers]
    checked = 0
    for request in records.requests.values():
        attempts = by_id.get(request.id, ())
        breaches += _find_attempts_for_absent_client(request, attempts)
        if not request.answers and records.is_excused(request):
            continue
        if not request.answers and request.is_excused_unforwarded and not attempts:
            continue
        checked += 1
        if len(request.answers) != 1:
            trace = _describe_loss(request, attempts, delays) if not request.answers else ""
            breaches.append(f"{request.name}: {len(request.answers)} answers{trace}")
        else:
            breaches += _find_wrong_answer(request, attempts, delays)
    return Findings(checked, breaches)


def _find_attempts_for_absent_client(request: RecordedRequest, attempts: Sequence[Attempt]) -> Iterator[str]:
    for attempt in attempts:
        late_s = attempt.first_byte_at - request.left_at
        if late_s > ABSENT_CLIENT_LIMIT_S + LIMIT_MARGIN_S:
            yield f"{request.name}: sent to {attempt.host} {late_s:.3f} s after its client left"


def _find_wrong_answer(
    request: RecordedRequest, attempts: Sequence[Attempt], delays: Delays | None
) -> Iterator[str]:
    answer = request.answers[0]
    late_s = _earliest_arrival(answer, delays) - request.sent_at - request.timeout_s
    if late_s > LIMIT_MARGIN_S:
        trace = _describe_lateness(request, answer, attempts, delays)
        yield f"{request.name}: answered {late_s:.3f} s after its client's timeout{trace}"
    produced_values = [attempt.value for attempt in attempts if attempt.end_kind == AttemptEnd.ANSWERED]
    if answer.kind == AnswerKind.SERVED and answer.value not in produced_values:
        yield f"{request.name}: served with a value that no host produced for it"
    for attempt in attempts:
        if attempt.first_byte_at > answer.at + LIMIT_MARGIN_S:
            late_s = attempt.first_byte_at - answer.at
            yield f"{request.name}: sent to {attempt.host} {late_s:.3f} s after its answer"


def _earliest_arrival(answer: RecordedAnswer, delays: Delays | None) -> float:
    """Return the earliest time at which an answer can have arrived.

    One that was read along with later ones, or with the end of its connection, arrived between the time since
    which the client's loop had not run and the time of that.
    """
    if delays is None or not answer.is_merged:
        return answer.at
    return delays.loop_lag.blocked_since(answer.at)


def _describe_lateness(
    request: RecordedRequest,
    answer: RecordedAnswer,
    attempts: Sequence[Attempt],
    delays: Delays | None,
) -> str:
    """Return what is known of the delays of a late answer: those of the harness, and the attempts' times."""
    parts = [f"{answer.kind}, timeout {request.timeout_s:g} s, sent at {request.sent_at:.3f}"]
    if not math.isnan(answer.read_at):
        parts.append(f"read {answer.read_at - answer.at:.3f} s after it arrived")
    if answer.is_merged:
        parts.append("more was read along with it")
    if delays is not None:
        parts.append(delays.describe(request.sent_at, answer.at))
    parts += _describe_attempts(request, attempts)
    return f" ({'; '.join(parts)})"


def _describe_loss(request: RecordedRequest, attempts: Sequence[Attempt], delays: Delays | None) -> str:
    """Return what is known of a request that got no answer: its connection's end, and its attempts."""
    parts = [f"timeout {request.timeout_s:g} s, sent at {request.sent_at:.3f}"]
    if not math.isnan(request.disconnected_at):
        parts.append(f"disconnected {request.disconnected_at - request.sent_at:.3f} s later")
        if delays is not None:
            parts.append(delays.describe(request.sent_at, request.disconnected_at))
    if request.disconnect_trace:
        parts.append(request.disconnect_trace)
    parts += _describe_attempts(request, attempts)
    return f" ({'; '.join(parts)})"


def _describe_attempts(request: RecordedRequest, attempts: Sequence[Attempt]) -> list[str]:
    return [
        f"at {attempt.host} from {attempt.last_byte_at - request.sent_at:.3f} "
        f"to {attempt.ended_at - request.sent_at:.3f} s ({attempt.end_kind or 'open'})"
        for attempt in attempts
    ]


# No effect twice


def find_duplicate_executions(records: Records, limits: RuleLimits, by_id: AttemptsById) -> Findings:
    """Find attempts that earlier ones forbid, and refusals of requests that may have been executed."""
    breaches: list[str] = []
    for request_id, attempts in by_id.items():
        rules = limits.classes.get(attempts[0].service_class, UNKNOWN_CLASS_RULES)
        for number, attempt in enumerate(attempts):
            breaches += _find_forbidden_attempt(rules, attempts[:number], attempt)
        breaches += _find_unsafe_refusal(rules, records.requests.get(request_id), attempts)
    return Findings(len(by_id), breaches)


def _find_forbidden_attempt(rules: ClassRules, earlier: Sequence[Attempt], later: Attempt) -> Iterator[str]:
    for attempt in earlier:
        if attempt.ended_at > later.last_byte_at + LIMIT_MARGIN_S:
            yield f"{later.name}: sent to {later.host} during its attempt at {attempt.host}"
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


# Ceilings kept


def find_exceeded_ceilings(records: Records, limits: RuleLimits, by_id: AttemptsById) -> Findings:
    """Find customers that exceeded their ceiling by more than its slack."""
    uses = ceiling_uses(records, limits, by_id)
    breaches = [
        f"{customer}: {-use.least:.1f} units above its ceiling, {use.slack:.1f} allowed"
        for customer, use in uses.items()
        if use.least < -use.slack - ROUNDING
    ]
    return Findings(len(uses), breaches)


def ceiling_uses(records: Records, limits: RuleLimits, by_id: AttemptsById) -> dict[str, CeilingUse]:
    """Return the ceiling use of each customer that has a ceiling.

    Each bucket starts full. A request takes its units with its first attempt, a check when it is granted.
    """
    spendings: dict[str, list[Spending]] = defaultdict(list)
    for request_id, attempts in by_id.items():
        request = records.requests.get(request_id)
        if (
            request is not None
            and request.plan in limits.ceilings
            and request_id not in records.prepaid_requests
        ):
            spending = Spending(attempts[0].last_byte_at, request.units, request.plan)
            spendings[request.customer].append(spending)
    for grant in records.grants:
        if grant.plan in limits.ceilings:
            spendings[grant.customer].append(Spending(grant.at, grant.units, grant.plan))
    return {customer: _ceiling_use(limits, sorted(own)) for customer, own in spendings.items()}


def _ceiling_use(limits: RuleLimits, spendings: Sequence[Spending]) -> CeilingUse:
    """Return a customer's ceiling use, from its spendings in the order of time."""
    ceiling = limits.ceilings[spendings[0].plan]
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
