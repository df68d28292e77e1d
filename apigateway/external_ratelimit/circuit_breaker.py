"""Whether the external service is asked about a request, for how long, and what holds while it fails.

A circuit breaker without I/O or clock: it is told what happened and when. It opens after consecutive failures
or a high failure ratio, stays open for a backoff that doubles, then lets single probes through, and closes
only after several successful probes in a row, so that a service that comes and goes is not relied on.

What the service allows is still decided by the gateway's own quotas: it can only tighten them.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

MIN_TIMEOUT_S = 0.005  # a check with less time than this is not worth its round trip

_FAILURE_RATIO_GAIN = 0.05  # weight of a new sample in the moving average
_MAX_FAILURE_RATIO = 0.5  # past which the service is taken to fail, however failures are mixed with answers
_MIN_FAILURE_RATIO_SAMPLES = 20  # before the ratio says anything
_SUCCESS_SAMPLE = 0.0
_FAILURE_SAMPLE = 1.0


class BreakerState(enum.StrEnum):
    """State of the breaker; the values are shown by `api-gateway ratelimit status`."""

    CLOSED = "well"  # the service is asked
    OPEN = "resting"  # it is not asked until the backoff is over
    HALF_OPEN = "trying"  # one probe at a time


class FailureMode(enum.StrEnum):
    """What becomes of a request that the service gives no answer about; the values are those of settings."""

    FAIL_OPEN = "own"  # the gateway's own quotas alone decide
    FAIL_CLOSED = "refuse"  # it is rejected


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """When the service is asked, and when it is taken to fail. All durations are in seconds.

    Attributes:
        plans: A request of any of these plans is checked.
        service_classes: A request of any of these classes is checked.
        timeout: A check is given up after this,
        remaining_fraction: or after this part of the request's remaining time, whichever is less.
        failure_mode: What becomes of a request without an answer.
        max_consecutive_failures: The breaker opens with this many.
        base_backoff: How long the breaker stays open at first; doubles each time that it opens again.
        max_backoff: Bound of the doubling.
        required_probes: Successful probes in a row that close the breaker.
        backoff_reset_after: Closed for so long, and the backoff starts again from its base.
        max_outstanding: Checks that wait for an answer at once.
    """

    plans: frozenset[str] = frozenset()
    service_classes: frozenset[str] = frozenset()
    timeout: float = 0.1
    remaining_fraction: float = 0.25
    failure_mode: FailureMode = FailureMode.FAIL_OPEN
    max_consecutive_failures: int = 5
    base_backoff: float = 0.5
    max_backoff: float = 30.0
    required_probes: int = 3
    backoff_reset_after: float = 30.0
    max_outstanding: int = 1000

    def applies_to(self, plan: str, service_class: str) -> bool:
        """Tell whether a request of this plan and class is checked."""
        return plan in self.plans or service_class in self.service_classes


@dataclass(frozen=True, slots=True)
class CheckPermit:
    """The service is to be asked, and has `timeout` seconds to answer."""

    timeout: float
    is_probe: bool


@dataclass(frozen=True, slots=True)
class Fallback:
    """The failure mode decides about a request: it is rejected, or own quotas alone decide.

    `retry_after`: seconds after which a rejected one may be retried.
    """

    is_rejected: bool
    retry_after: float


class CircuitBreaker:
    """Decides check by check whether the service is asked.

    Attributes:
        settings: The settings in force.
        state: Whether it is asked at all.
        state_since: When the state was entered.
        open_until: When an open breaker lets the first probe through.
        outstanding: Checks that were permitted and have not ended.
        sample_count: Successes and failures since the breaker last closed.
        failure_ratio: Moving average of failures, from 0 to 1.
        trip_count: How often a closed breaker has opened.
    """

    def __init__(self, settings: CheckSettings) -> None:
        self.settings = settings
        self.state = BreakerState.CLOSED
        self.state_since = -math.inf
        self.open_until = 0.0
        self.outstanding = 0
        self.sample_count = 0
        self.failure_ratio = 0.0
        self.trip_count = 0
        self._next_backoff = settings.base_backoff
        self._consecutive_failures = 0
        self._successful_probes = 0
        self._is_probe_outstanding = False

    def update_settings(self, settings: CheckSettings) -> None:
        """Take up a reload's settings; what is known of the service stays."""
        self.settings = settings
        self._next_backoff = min(max(self._next_backoff, settings.base_backoff), settings.max_backoff)

    def request_permit(self, now: float, remaining: float) -> CheckPermit | Fallback:
        """Decide about a check of a request that has `remaining` seconds of its own time.

        A permit is outstanding until it is given to `on_success`, `on_failure` or `on_cancelled`.
        """
        settings = self.settings
        timeout = min(settings.timeout, settings.remaining_fraction * remaining)
        if timeout < MIN_TIMEOUT_S:
            return self.fallback(now)
        if self.state is BreakerState.OPEN and now >= self.open_until:
            self._half_open(now)
        if self.state is BreakerState.CLOSED and self.outstanding < settings.max_outstanding:
            self.outstanding += 1
            return CheckPermit(timeout, is_probe=False)
        if self.state is BreakerState.HALF_OPEN and not self._is_probe_outstanding:
            self._is_probe_outstanding = True
            self.outstanding += 1
            return CheckPermit(timeout, is_probe=True)
        return self.fallback(now)

    def fallback(self, now: float) -> Fallback:
        """Return what becomes of a request that the service says nothing about."""
        if self.settings.failure_mode == FailureMode.FAIL_OPEN:
            return Fallback(is_rejected=False, retry_after=0.0)
        remaining_backoff = self.open_until - now if self.state is BreakerState.OPEN else 0.0
        return Fallback(is_rejected=True, retry_after=max(self.settings.timeout, remaining_backoff))

    def on_success(self, now: float, permit: CheckPermit) -> None:
        """Record an answer that came in time, whichever it was."""
        self._release(permit)
        self._add_sample(_SUCCESS_SAMPLE)
        self._consecutive_failures = 0
        if permit.is_probe and self.state is BreakerState.HALF_OPEN:
            self._successful_probes += 1
            if self._successful_probes >= self.settings.required_probes:
                self._close(now)
        elif self.state is BreakerState.CLOSED and now - self.state_since > self.settings.backoff_reset_after:
            self._next_backoff = self.settings.base_backoff

    def on_failure(self, now: float, permit: CheckPermit) -> None:
        """Record that no answer came in time, or none that can be used."""
        self._release(permit)
        self._add_sample(_FAILURE_SAMPLE)
        self._consecutive_failures += 1
        if permit.is_probe and self.state is BreakerState.HALF_OPEN:
            self._open(now)
        elif self.state is BreakerState.CLOSED and self._has_too_many_failures():
            self.trip_count += 1
            self._open(now)

    def on_cancelled(self, permit: CheckPermit) -> None:
        """Record that the request ended before an answer, which says nothing of the service.

        A probe says as little, and another may be sent.
        """
        self._release(permit)

    def _release(self, permit: CheckPermit) -> None:
        self.outstanding -= 1
        if permit.is_probe:
            self._is_probe_outstanding = False

    def _add_sample(self, sample: float) -> None:
        self.sample_count += 1
        self.failure_ratio += _FAILURE_RATIO_GAIN * (sample - self.failure_ratio)

    def _has_too_many_failures(self) -> bool:
        if self._consecutive_failures >= self.settings.max_consecutive_failures:
            return True
        has_enough_samples = self.sample_count >= _MIN_FAILURE_RATIO_SAMPLES
        return has_enough_samples and self.failure_ratio > _MAX_FAILURE_RATIO

    def _open(self, now: float) -> None:
        self._enter(BreakerState.OPEN, now)
        self.open_until = now + self._next_backoff
        self._next_backoff = min(self.settings.max_backoff, 2 * self._next_backoff)
        self._consecutive_failures = 0

    def _half_open(self, now: float) -> None:
        self._enter(BreakerState.HALF_OPEN, now)
        self._successful_probes = 0
        self._is_probe_outstanding = False

    def _close(self, now: float) -> None:
        self._enter(BreakerState.CLOSED, now)
        self.failure_ratio = 0.0
        self.sample_count = 0

    def _enter(self, state: BreakerState, now: float) -> None:
        self.state = state
        self.state_since = now
