"""Client of an external rate limit service: sends batches of checks over one gRPC channel.

The circuit breaker decides whether the service is called; the codec encodes requests and decodes responses.
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
    decode_response,
    encode_rate_limit_request,
)
from apigateway.external_ratelimit.service_config import SHOULD_RATE_LIMIT_PATH, ExternalServiceConfig
from apigateway.upstream.address import format_address
from apigateway.upstream.rpc import GrpcStatus, status_name

# Names of counts, as printed by `api-gateway ratelimit status`.
COUNT_CALLS = "questions"
COUNT_ALLOWED = "yes"
COUNT_OVER_LIMIT = "no"
COUNT_FAILED_OPEN = "passed unasked"
COUNT_FAILED_CLOSED = "refused unasked"
COUNT_FAILURE_PREFIX = "failed: "  # followed by the reason

_FAILURE_MODE_TEXTS = {
    FailureMode.FAIL_OPEN: "only the gateway's own quotas apply",
    FailureMode.FAIL_CLOSED: "requests that need a check are rejected",
}

_EXPIRED = CheckFailure(status_name(GrpcStatus.DEADLINE_EXCEEDED), "no response within the timeout")

_log = logging.getLogger(__name__)

DecisionCallback = Callable[[bool, float], None]
"""Called with whether the request is allowed and, if not, the seconds until it may be retried."""


class LimiterStatus(TypedDict):
    """Status for `api-gateway ratelimit status`. The keys are part of its output."""

    address: str
    state: str
    failing: str  # the failure mode
    out: int  # outstanding checks
    turns: int  # how many times the breaker opened
    last: str  # the last failure; empty while the breaker is closed
    counts: dict[str, int]


@dataclass(slots=True, eq=False)
class PendingCheck:
    """A check of one request that has no decision yet."""

    request: messages.Request
    permit: CheckPermit
    on_decided: DecisionCallback
    batch: Batch | None = None  # None until sent
    is_done: bool = False


@dataclass(slots=True, eq=False)
class Batch:
    """The checks of one rate limit request."""

    checks: list[PendingCheck]
    call: PendingCall | None = None  # None once it has ended


class EnvoyRateLimiter:
    """Client of a service with Envoy's protocol; implements `core.interfaces.ExternalRateLimiter`.

    Attributes:
        config: The current configuration.
        breaker: The circuit breaker of the service.
        channel: The channel to the service.
        counts: Numbers of calls, decisions and failures, by name.
    """

    def __init__(self, config: ExternalServiceConfig, gateway_name: str) -> None:
        self.config = config
        self.breaker = CircuitBreaker(config.checks)
        self.channel = _create_channel(config)
        self.counts: Counter[str] = Counter()
        self._gateway_name = gateway_name
        self._unsent: list[PendingCheck] = []  # sent at the end of this event loop iteration
        self._logged_state = BreakerState.CLOSED
        self._last_failure = ""

    def update_config(self, config: ExternalServiceConfig) -> None:
        """Apply a reloaded config. Later checks use its address and TLS files."""
        previous = self.config
        self.config = config
        self.breaker.update_settings(config.checks)
        self.channel.max_waiting_calls = config.checks.max_outstanding
        if not config.has_same_endpoint(previous):
            replaced = self.channel
            self.channel = _create_channel(config)
            replaced.close()

    def close(self) -> None:
        """Close the channel."""
        self.channel.close()

    def status(self) -> LimiterStatus:
        """Return the status for `api-gateway ratelimit status`."""
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
        """Return whether the settings require a check of a request."""
        return self.config.checks.applies_to(request.plan, request.service_class)

    def check(
        self, request: messages.Request, remaining: float, on_decided: DecisionCallback
    ) -> PendingCheck | None:
        """Check a request that has `remaining` seconds left; return a handle for `cancel`.

        `on_decided` is called exactly once, after this method has returned, unless the check is cancelled.
        Return None if the service is not called; `on_decided` was called already in that case.
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
        """Cancel a check whose request has ended; `on_decided` will not be called."""
        if pending_check.is_done:
            return
        pending_check.is_done = True
        self.breaker.on_cancelled(pending_check.permit)
        self._cancel_unused_call(pending_check.batch)

    def expire(self, pending_check: PendingCheck) -> None:
        """Fail a check whose request's deadline has passed; its batch continues for the others."""
        if pending_check.is_done:
            return
        self._fail(pending_check, _EXPIRED, monotonic())
        self._cancel_unused_call(pending_check.batch)
        self._log_state_change()

    def _cancel_unused_call(self, batch: Batch | None) -> None:
        if batch is not None and batch.call is not None and all(check.is_done for check in batch.checks):
            self.channel.cancel(batch.call)

    def _send_unsent(self) -> None:
        checks = [check for check in self._unsent if not check.is_done]
        self._unsent = []
        batch_size = self.config.batch_size
        for start in range(0, len(checks), batch_size):
            self._send(Batch(checks[start : start + batch_size]))

    def _send(self, batch: Batch) -> None:
        for check in batch.checks:
            check.batch = batch
        rate_limit_request = encode_rate_limit_request(
            self.config, self._gateway_name, [check.request for check in batch.checks]
        )
        timeout = min(check.permit.timeout for check in batch.checks)

        def on_ended(status: int, text: str, message: bytes) -> None:
            self._on_call_ended(batch, status, text, message)

        self.counts[COUNT_CALLS] += 1
        batch.call = self.channel.call(SHOULD_RATE_LIMIT_PATH, rate_limit_request, timeout, on_ended)

    def _on_call_ended(self, batch: Batch, status: int, text: str, message: bytes) -> None:
        batch.call = None
        outcome = decode_response(status, text, message, len(batch.checks))
        now = monotonic()
        if isinstance(outcome, CheckFailure):
            self._apply_failure(batch, outcome, now)
        else:
            self._apply_decision(batch, outcome, now)
        self._log_state_change()

    def _apply_decision(self, batch: Batch, decision: CheckDecision, now: float) -> None:
        for check, is_allowed in zip(batch.checks, decision.allowed, strict=True):
            if check.is_done:
                continue
            check.is_done = True
            self.breaker.on_success(now, check.permit)
            self.counts[COUNT_ALLOWED if is_allowed else COUNT_OVER_LIMIT] += 1
            _notify(check, is_allowed, 0.0 if is_allowed else decision.retry_after)

    def _apply_failure(self, batch: Batch, failure: CheckFailure, now: float) -> None:
        for check in batch.checks:
            if not check.is_done:
                self._fail(check, failure, now)

    def _fail(self, check: PendingCheck, failure: CheckFailure, now: float) -> None:
        self._last_failure = failure.detail
        check.is_done = True
        self.breaker.on_failure(now, check.permit)
        self.counts[COUNT_FAILURE_PREFIX + failure.reason] += 1
        self._log_state_change()
        fallback = self.breaker.fallback(now)
        _notify(check, not fallback.is_rejected, fallback.retry_after)

    def _log_state_change(self) -> None:
        """Log each failure and recovery of the service once; probes in between are not logged."""
        state = self.breaker.state
        previous = self._logged_state
        if state is previous:
            return
        self._logged_state = state
        address = format_address(self.config.address)
        if state is BreakerState.CLOSED:
            _log.warning("external rate limit service at %s has recovered", address)
        elif previous is BreakerState.CLOSED:
            mode = _FAILURE_MODE_TEXTS[self.config.checks.failure_mode]
            _log.warning(
                "external rate limit service at %s is failing (%s): %s", address, self._last_failure, mode
            )


def _create_channel(config: ExternalServiceConfig) -> GrpcChannel:
    return GrpcChannel(config.address, config.ssl_context, config.server_name, config.checks.max_outstanding)


def _notify(check: PendingCheck, is_allowed: bool, retry_after: float) -> None:
    try:
        check.on_decided(is_allowed, retry_after)
    except Exception:  # one request's failure must not affect the rest of its batch
        _log.exception("request %s: callback for the rate limit decision failed", check.request.request_id)
