"""The rule that no request is lost: one correct answer to each in time, none sent for absent clients."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from apigateway.emulators.ledger_findings import Findings
from apigateway.emulators.ledger_records import (
    LIMIT_MARGIN_S,
    AnswerKind,
    Attempt,
    AttemptEnd,
    AttemptsById,
    RecordedAnswer,
    RecordedRequest,
    Records,
)
from apigateway.emulators.timing.loop_lag import LoopLagMonitor
from apigateway.emulators.timing.stall_monitor import StallMonitor

ABSENT_CLIENT_LIMIT_S = 0.1  # after a client's close, in which an attempt may still begin


class Delays(NamedTuple):
    """What held up clients, hosts and gateway; shown in the verdicts."""

    loop_lag: LoopLagMonitor  # of the loop that runs clients and hosts
    stalls: StallMonitor  # of the gateway's process

    def describe(self, start: float, end: float) -> str:
        """Return the delays of a time, or that they were not measured."""
        return f"meanwhile {self._describe_loop(start, end)}, {self._describe_gateway(start, end)}"

    def _describe_loop(self, start: float, end: float) -> str:
        if not self.loop_lag.was_started:
            return "clients' loop not measured"
        return f"clients' loop late by {self.loop_lag.longest_between(start, end):.3f} s"

    def _describe_gateway(self, start: float, end: float) -> str:
        """Return the longest delays of the machine, and all of the gateway."""
        if not self.stalls.was_started:
            return "machine and gateway not measured"
        machine_s = self.stalls.machine.longest_between(start, end)
        process_s = self.stalls.process.total_between(start, end)
        busy_s = self.stalls.busy.longest_between(start, end)
        stuck_s = self.stalls.stuck.longest_between(start, end)
        blocked_s = self.stalls.blocked.longest_between(start, end)
        return (
            f"machine stalled for {machine_s:.3f} s, gateway without CPU for {process_s:.3f} s in all, "
            f"busy for {busy_s:.3f} s, stuck for {stuck_s:.3f} s, blocked for {blocked_s:.3f} s at a stretch"
        )


def find_lost_requests(records: Records, by_id: AttemptsById, delays: Delays | None = None) -> Findings:
    """Find requests without exactly one correct answer in time, and unsolicited answers."""
    breaches = [f"{answer.gateway}: an unsolicited answer" for answer in records.unsolicited_answers]
    checked = 0
    for request in records.requests.values():
        attempts = by_id.get(request.id, ())
        breaches += _find_attempts_for_absent_client(request, attempts, delays)
        if not request.answers and records.is_excused(request):
            continue
        if not request.answers and request.is_excused_unforwarded and not attempts:
            continue
        checked += 1
        if len(request.answers) != 1:
            trace = _describe_loss(request, attempts, delays) if not request.answers else ""
            breaches.append(f"{request.name}: {len(request.answers)} answers{trace}")
        else:
            breaches += _find_wrong_answer(records, request, attempts, delays)
    return Findings(checked, breaches)


def _find_attempts_for_absent_client(
    request: RecordedRequest, attempts: Sequence[Attempt], delays: Delays | None
) -> Iterator[str]:
    for attempt in attempts:
        late_s = attempt.first_byte_at - request.left_at
        if late_s > ABSENT_CLIENT_LIMIT_S + LIMIT_MARGIN_S:
            parts = [f"left {request.left_at - request.sent_at:.3f} s after it was sent"]
            if delays is not None:
                parts.append(delays.describe(request.left_at, attempt.first_byte_at))
            parts += _describe_attempts(request, attempts)
            trace = "; ".join(parts)
            yield f"{request.name}: sent to {attempt.host} {late_s:.3f} s after its client left ({trace})"


def _find_wrong_answer(
    records: Records, request: RecordedRequest, attempts: Sequence[Attempt], delays: Delays | None
) -> Iterator[str]:
    answer = request.answers[0]
    late_s = _earliest_arrival(answer, delays) - answer.waited_s - records.answer_due_at(request)
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
