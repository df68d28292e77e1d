"""The external rate limit service as the core asks it: batches of checks over one gRPC channel.

The circuit breaker says whether it is asked; the codec writes questions and reads answers.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import TypedDict

from apigateway import messages
from apigateway.external_ratelimit.channel import GrpcChannel
from apigateway.external_ratelimit.circuit_breaker import (
    BreakerState,
    CheckPermit,
    CircuitBreaker,
    FailureMode,
    Fallback,
)
from apigateway.external_ratelimit.connection import PendingCall
from apigateway.external_ratelimit.rls_codec import (
    CheckDecision,
    CheckFailure,
    encode_question,
    read_outcome,
)
from apigateway.external_ratelimit.service_config import SHOULD_RATE_LIMIT_PATH, ExternalServiceConfig
from apigateway.upstream.address import format_address

# Names of counts, as `api-gateway ratelimit status` shows them.
COUNT_QUESTIONS = "questions"
COUNT_ALLOWED = "yes"
COUNT_OVER_LIMIT = "no"
COUNT_FAILED_OPEN = "passed unasked"
COUNT_FAILED_CLOSED = "refused unasked"
COUNT_FAILURE_PREFIX = "failed: "  # before the reason

_FAILURE_MODE_TEXTS = {
    FailureMode.FAIL_OPEN: "own quotas alone decide",
    FailureMode.FAIL_CLOSED: "what it is to be asked about is refused",
}

_log = logging.getLogger(__name__)

DecisionCallback = Callable[[bool, float], None]
"""Called with whether the request may go on, else the seconds until it may be retried."""


class LimiterStatus(TypedDict):
    """State for `api-gateway ratelimit status`; the keys are part of its output."""

    address: str
    state: str
    failing: str  # the failure mode
    out: int  # checks without an answer yet
    turns: int  # how often the breaker opened
    last: str  # the last failure, unless the breaker is closed
    counts: dict[str, int]


@dataclass(slots=True, eq=False)
class PendingCheck:
    """One request until it is decided."""

    request: messages.Request
    permit: CheckPermit
    on_decided: DecisionCallback
    batch: Batch | None = None  # None until it is sent
    is_over: bool = False


@dataclass(slots=True, eq=False)
class Batch:
    """The checks of one question."""

    checks: list[PendingCheck]
    call: PendingCall | None = None  # None once it has ended


class EnvoyRateLimiter:
    """Asks a service that speaks Envoy's protocol; implements `core.interfaces.ExternalRateLimiter`.

    Attributes:
        config: The service that is asked, and how.
        breaker: Whether it is asked.
        channel: The connection to it.
        counts: Questions, answers and failures so far, by name.
    """

    def __init__(self, config: ExternalServiceConfig, gateway_name: str) -> None:
        self.config = config
        self.breaker = CircuitBreaker(config.checks)
        self.channel = _create_channel(config)
        self.counts: Counter[str] = Counter()
        self._gateway_name = gateway_name
        self._unsent: list[PendingCheck] = []  # sent at the end of this turn of the event loop
        self._logged_state = BreakerState.CLOSED
        self._last_failure = ""

    def update_config(self, config: ExternalServiceConfig) -> None:
        """Take up a reload's config: the next question goes to its address, with its TLS files."""
        previous = self.config
        self.config = config
        self.breaker.update_settings(config.checks)
        if not config.has_same_endpoint(previous):
            replaced = self.channel
            self.channel = _create_channel(config)
            replaced.close()

    def close(self) -> None:
        """Close the channel."""
        self.channel.close()

    def status(self) -> LimiterStatus:
        """Return the state for `api-gateway ratelimit status`."""
        breaker = self.breaker
        return {
            "address": format_address(self.config.address),
            "state": breaker.state,
            "failing": self.config.checks.failure_mode,
            "out": breaker.outstanding,
            "turns": breaker.trip_count,
            "last": "" if breaker.state is BreakerState.CLOSED else self._last_failure,
            "counts": dict(self.counts),
        }

    def applies_to(self, request: messages.Request) -> bool:
        """Tell whether the service is to be asked about a request."""
        return self.config.checks.applies_to(request.plan, request.service_class)

    def check(
        self, request: messages.Request, remaining: float, on_decided: DecisionCallback
    ) -> PendingCheck | None:
        """Ask about a request that has `remaining` seconds; return a handle for `cancel`.

        `on_decided` is called once, and never before this has returned, unless the check is cancelled. None:
        the service is not asked, and `on_decided` was called already.
        """
        permit = self.breaker.request_permit(monotonic(), remaining)
        self._log_state_change()
        if isinstance(permit, Fallback):
            self.counts[COUNT_FAILED_CLOSED if permit.is_rejected else COUNT_FAILED_OPEN] += 1
            on_decided(not permit.is_rejected, permit.retry_after)
            return None
        check = PendingCheck(request, permit, on_decided)
        self._unsent.append(check)
        if len(self._unsent) == 1:
            asyncio.get_running_loop().call_soon(self._send_unsent)
        return check

    def cancel(self, pending_check: PendingCheck) -> None:
        """Give up a check whose request is over; `on_decided` is not called any more."""
        if pending_check.is_over:
            return
        pending_check.is_over = True
        self.breaker.on_cancelled(pending_check.permit)
        batch = pending_check.batch
        if batch is not None and batch.call is not None and all(check.is_over for check in batch.checks):
            self.channel.cancel(batch.call)

    def _send_unsent(self) -> None:
        checks = [check for check in self._unsent if not check.is_over]
        self._unsent = []
        batch_size = self.config.batch_size
        for start in range(0, len(checks), batch_size):
            self._send(Batch(checks[start : start + batch_size]))

    def _send(self, batch: Batch) -> None:
        for check in batch.checks:
            check.batch = batch
        question = encode_question(self.config, self._gateway_name, [check.request for check in batch.checks])
        timeout = min(check.permit.timeout for check in batch.checks)

        def on_ended(status: int, text: str, message: bytes) -> None:
            self._on_call_ended(batch, status, text, message)

        self.counts[COUNT_QUESTIONS] += 1
        batch.call = self.channel.call(SHOULD_RATE_LIMIT_PATH, question, timeout, on_ended)

    def _on_call_ended(self, batch: Batch, status: int, text: str, message: bytes) -> None:
        batch.call = None
        outcome = read_outcome(status, text, message, len(batch.checks))
        now = monotonic()
        if isinstance(outcome, CheckFailure):
            self._apply_failure(batch, outcome, now)
        else:
            self._apply_decision(batch, outcome, now)
        self._log_state_change()

    def _apply_decision(self, batch: Batch, decision: CheckDecision, now: float) -> None:
        for check, is_allowed in zip(batch.checks, decision.allowed, strict=True):
            if check.is_over:
                continue
            check.is_over = True
            self.breaker.on_success(now, check.permit)
            self.counts[COUNT_ALLOWED if is_allowed else COUNT_OVER_LIMIT] += 1
            _report(check, is_allowed, 0.0 if is_allowed else decision.retry_after)

    def _apply_failure(self, batch: Batch, failure: CheckFailure, now: float) -> None:
        self._last_failure = failure.detail
        for check in batch.checks:
            if check.is_over:
                continue
            check.is_over = True
            self.breaker.on_failure(now, check.permit)
            self.counts[COUNT_FAILURE_PREFIX + failure.reason] += 1
            self._log_state_change()
            fallback = self.breaker.fallback(now)
            _report(check, not fallback.is_rejected, fallback.retry_after)

    def _log_state_change(self) -> None:
        """Log that the service fails or answers again, once each; probes in between are not logged."""
        state = self.breaker.state
        previous = self._logged_state
        if state is previous:
            return
        self._logged_state = state
        address = format_address(self.config.address)
        if state is BreakerState.CLOSED:
            _log.warning("the outer service at %s answers again", address)
        elif previous is BreakerState.CLOSED:
            mode = _FAILURE_MODE_TEXTS[self.config.checks.failure_mode]
            _log.warning("the outer service at %s fails (%s): %s", address, self._last_failure, mode)


def _create_channel(config: ExternalServiceConfig) -> GrpcChannel:
    return GrpcChannel(config.address, config.ssl_context, config.server_name, config.checks.max_outstanding)


def _report(check: PendingCheck, is_allowed: bool, retry_after: float) -> None:
    try:
        check.on_decided(is_allowed, retry_after)
    except Exception:  # one request must not take those of its batch along
        _log.exception("request %s: what it was told could not be taken", check.request.request_id)
