"""A ledger of the traffic on the sockets of clients and hosts, and the check of the rules against it.

It uses none of the gateway's code. Times are seconds of one monotonic clock, since all emulators and clients
of a ledger run in one process.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

from apigateway.emulators.ceiling_use import CeilingUse, ceiling_uses
from apigateway.emulators.ledger_records import (
    LIMIT_MARGIN_S,
    Attempt,
    AttemptsById,
    Ceiling,
    ClassRules,
    ColdStart,
    GatewayPause,
    Grant,
    HostState,
    Outcome,
    RecordedAnswer,
    RecordedRequest,
    Records,
    RuleLimits,
    UnsolicitedAnswer,
)
from apigateway.emulators.ledger_rules import RULES, Verdict, check_rules
from apigateway.emulators.lost_requests import Delays
from apigateway.emulators.timing.loop_lag import LoopLagMonitor
from apigateway.emulators.timing.stall_monitor import StallMonitor

__all__ = [
    "RULES",
    "Attempt",
    "Ceiling",
    "ClassRules",
    "Ledger",
    "RuleLimits",
    "RecordedRequest",
    "Verdict",
    "format_verdicts",
]

MAX_SHOWN_BREACHES = 5  # per rule, in formatted verdicts


class Ledger(Records):
    """Records the events that clients, hosts and discovery report, and checks the rules at the end."""

    def __init__(self, limits: RuleLimits, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.limits = limits
        self.clock = clock
        self.loop_lag = LoopLagMonitor()  # of the loop of clients and hosts, while it is started
        self.stalls = StallMonitor()  # of the gateway's process, while it is started

    # Clients

    def record_request(
        self,
        id: str,
        gateway: str,
        timeout_s: float,
        customer: str,
        plan: str,
        service_class: str,
        units: float,
    ) -> None:
        """Record that a request's last byte was written; a resent request remains one request."""
        if id in self.requests:
            self.requests[id].disconnected_at = math.nan
        else:
            self.requests[id] = RecordedRequest(
                id, gateway, self.clock(), timeout_s, customer, plan, service_class, units
            )

    def record_repeat(self, id: str) -> None:
        """Record that a client that had left sent the same request again, so that it waits for an answer."""
        request = self.requests[id]
        request.repeat_count += 1
        request.sent_at = self.clock()
        request.left_at = math.inf
        request.disconnected_at = math.nan

    def record_answer(
        self,
        id: str,
        kind: str,
        value: bytes = b"",
        arrived_at: float = math.nan,
        is_merged: bool = False,
        waited_s: float = 0.0,
    ) -> None:
        """Record a request's answer.

        Args:
            id: The request.
            kind: An `AnswerKind`.
            value: The value, if the request was served.
            arrived_at: When its last byte arrived at the client's socket, if that is known; else now.
            is_merged: Whether `arrived_at` is the time of what was read along with it: later answers, or the
                connection's end.
            waited_s: How long it had to wait for earlier answers on its connection, which does not count.
        """
        at = self._time_or_now(arrived_at)
        self.requests[id].answers.append(RecordedAnswer(at, kind, value, self.clock(), is_merged, waited_s))

    def record_disconnect(self, id: str, trace: str = "") -> None:
        """Record that a request's connection ended without an answer.

        Args:
            id: The request.
            trace: What the client knows of the connection, for the verdict on a lost request.
        """
        self.requests[id].disconnected_at = self.clock()
        self.requests[id].disconnect_trace = trace

    def record_client_left(self, id: str) -> None:
        """Record that a request's client has left: it needs no answer and must not be forwarded any more."""
        self.requests[id].left_at = self.clock()

    def excuse_unforwarded(self, id: str) -> None:
        """Record that a request needs no answer unless it was forwarded: it crossed its connection's end."""
        self.requests[id].is_excused_unforwarded = True

    def record_unsolicited_answer(self, gateway: str) -> None:
        """Record an answer on a connection without an open request."""
        self.unsolicited_answers.append(UnsolicitedAnswer(self.clock(), gateway))

    def record_grant(self, customer: str, plan: str, units: float) -> None:
        """Record that a quota check was granted."""
        self.grants.append(Grant(self.clock(), customer, plan, units))

    # Gateways, hosts, discovery

    def record_gateway_kill(self, gateway: str) -> None:
        """Record that a gateway was killed; its open requests need no answer, and clients may retry them."""
        self.gateway_kills[gateway].append(self.clock())

    def record_gateway_pause(self, gateway: str, paused_at: float) -> None:
        """Record that a gateway that was paused at `paused_at` runs again from now on.

        Pauses with hardly any time between them count as one: the gateway cannot read all that has arrived.
        """
        pauses = self.gateway_pauses[gateway]
        if pauses and paused_at - pauses[-1].continued_at <= LIMIT_MARGIN_S:
            paused_at = pauses.pop().paused_at
        pauses.append(GatewayPause(paused_at, self.clock()))

    def record_gateway_start(self, gateway: str) -> None:
        """Record that a gateway began to listen, also after a kill."""
        self.gateway_starts[gateway].append(self.clock())

    def record_attempt(
        self,
        host: str,
        id: str,
        service_class: str,
        cell: int,
        zone: str,
        first_byte_at: float,
        work_s: float,
        last_byte_at: float = math.nan,
        told_timeout_s: float = math.nan,
    ) -> int:
        """Record that an attempt arrived, from its first to its last byte; the last one now if not given.

        Returns:
            The attempt's number, for `record_attempt_end`.
        """
        self.attempts.append(
            Attempt(
                id,
                host,
                service_class,
                cell,
                zone,
                first_byte_at,
                self._time_or_now(last_byte_at),
                work_s,
                told_timeout_s=told_timeout_s,
            )
        )
        return len(self.attempts) - 1

    def record_attempt_end(
        self, number: int, end_kind: str, value: bytes = b"", ended_at: float = math.nan
    ) -> None:
        """Record the end of an attempt, now if no time is given; `end_kind` is an `AttemptEnd`."""
        attempt = self.attempts[number]
        attempt.ended_at = self._time_or_now(ended_at)
        attempt.end_kind = end_kind
        attempt.value = value

    def record_host_state(self, gateway: str, host: str, state: str) -> None:
        """Record that discovery sent a host's state to a gateway: up, draining or removed."""
        history = self.host_states[gateway, host]
        if not history or history[-1].state != state:
            history.append(HostState(self.clock(), state))

    def record_cold_start(self, host: str, cores: int, start_share: float, warm_up_s: float) -> None:
        """Record a cold start, from `start_share` of the cores to all of them within `warm_up_s`."""
        self.cold_starts.append(ColdStart(self.clock(), host, cores, start_share, warm_up_s))

    def _time_or_now(self, at: float) -> float:
        """Return a time, which is not later than now; now if it is NaN."""
        now = self.clock()
        return now if math.isnan(at) else min(now, at)

    # Rules

    def check_rules(self) -> tuple[Verdict, ...]:
        """Return one verdict for each rule, in the order of `RULES`; call it once all traffic has ended."""
        return check_rules(self, self.limits, Delays(self.loop_lag, self.stalls))

    def ceiling_uses(self, by_id: AttemptsById) -> dict[str, CeilingUse]:
        """Return how much of its ceiling each customer left unused."""
        return ceiling_uses(self, self.limits, by_id)

    def outcomes(self) -> dict[tuple[str, str, str], int]:
        """Return the number of requests by plan, class and outcome.

        An outcome is an `AnswerKind`, or an `Outcome` for a request without an answer.
        """
        counts: dict[tuple[str, str, str], int] = defaultdict(int)
        for request in self.requests.values():
            if request.answers:
                outcome = request.answers[0].kind
            else:
                outcome = Outcome.WITH_GATEWAY if self.is_excused(request) else Outcome.LOST
            counts[request.plan, request.service_class, outcome] += 1
        return dict(counts)


def format_verdicts(verdicts: Iterable[Verdict]) -> str:
    """Return verdicts as text, each with its first `MAX_SHOWN_BREACHES` breaches."""
    lines = []
    for verdict in verdicts:
        lines.append(str(verdict))
        lines += [f"    {breach}" for breach in verdict.breaches[:MAX_SHOWN_BREACHES]]
        if len(verdict.breaches) > MAX_SHOWN_BREACHES:
            lines.append(f"    and {len(verdict.breaches) - MAX_SHOWN_BREACHES} more")
    return "\n".join(lines)
