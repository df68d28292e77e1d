"""Circuit breaker for the external rate limit service, with the timeout and the failure mode of each check.

It performs no I/O and has no clock: callers pass in events and times. It opens after consecutive failures or
a high failure ratio, stays open for a backoff that doubles, then lets one probe at a time through. It closes
only after several successful probes in a row, so that an unstable service is not used.

The gateway's own quotas still apply to requests that the service allows: the service can only tighten them.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

MIN_TIMEOUT_S = 0.005  # a shorter timeout leaves too little time for a round trip

_FAILURE_RATIO_GAIN = 0.05  # weight of a new sample in the exponential moving average
_MAX_FAILURE_RATIO = 0.5  # a higher ratio opens the breaker, even if successes occur between failures
_MIN_FAILURE_RATIO_SAMPLES = 20  # with fewer samples the ratio is ignored
_SUCCESS_SAMPLE = 0.0
_FAILURE_SAMPLE = 1.0


class BreakerState(enum.StrEnum):
    """State of the breaker. `api-gateway ratelimit status` prints the values."""

    CLOSED = "well"  # the service is called
    OPEN = "resting"  # the service is not called until the backoff ends
    HALF_OPEN = "trying"  # one probe at a time is sent


class FailureMode(enum.StrEnum):
    """How a request is handled if the service gives no decision. The values are those in the settings."""

    FAIL_OPEN = "own"  # only the gateway's own quotas apply
    FAIL_CLOSED = "refuse"  # the request is rejected


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """Which requests are checked, and when the breaker opens and closes. All durations are in seconds.

    Attributes:
        plans: Requests with one of these plans are checked.
        service_classes: Requests with one of these classes are checked.
        timeout: The maximum time for a check.
        remaining_fraction: The maximum time for a check, as a fraction of the time remaining for the request.
            The smaller of the two limits applies.
        failure_mode: How a request without a decision is handled.
        max_consecutive_failures: The number of consecutive failures that opens the breaker.
        base_backoff: How long the breaker stays open the first time; doubles each time it opens again.
        max_backoff: The upper bound of the backoff.
        required_probes: The number of consecutive successful probes that closes the breaker.
        backoff_reset_after: How long the breaker must stay closed before the backoff is reset to its base.
        max_outstanding: The maximum number of checks that wait for a response.
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
        """Return whether requests with this plan and class are checked."""
        return plan in self.plans or service_class in self.service_classes


@dataclass(frozen=True, slots=True)
class CheckPermit:
    """Permission to call the service, which has `timeout` seconds to respond."""

    timeout: float
    is_probe: bool


@dataclass(frozen=True, slots=True)
class Fallback:
    """The decision of the failure mode: reject the request, or apply only the gateway's own quotas.

    `retry_after`: seconds after which a rejected request may be retried.
    """

    is_rejected: bool
    retry_after: float


class CircuitBreaker:
    """Decides for each check whether the service is called.

    Attributes:
        settings: The current settings.
        state: The current state.
        state_since: When the breaker entered the state.
        open_until: When an open breaker lets the first probe through.
        outstanding: The number of permitted checks that have not ended.
        sample_count: The number of successes and failures since the breaker last closed.
        failure_ratio: The moving average of failures, from 0 to 1.
        trip_count: How many times the breaker went from closed to open.
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
        """Apply reloaded settings; the state of the breaker is kept."""
        self.settings = settings
        self._next_backoff = min(max(self._next_backoff, settings.base_backoff), settings.max_backoff)

    def request_permit(self, now: float, remaining: float) -> CheckPermit | Fallback:
        """Decide whether to check a request that has `remaining` seconds left.

        A permit stays outstanding until it is passed to `on_success`, `on_failure` or `on_cancelled`.
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
        """Return the decision of the failure mode for a request that the service has not decided."""
        if self.settings.failure_mode == FailureMode.FAIL_OPEN:
            return Fallback(is_rejected=False, retry_after=0.0)
        remaining_backoff = self.open_until - now if self.state is BreakerState.OPEN else 0.0
        return Fallback(is_rejected=True, retry_after=max(self.settings.timeout, remaining_backoff))

    def on_success(self, now: float, permit: CheckPermit) -> None:
        """Record a valid response in time, whether it allowed the request or not."""
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
        """Record that no valid response arrived in time."""
        self._release(permit)
        self._add_sample(_FAILURE_SAMPLE)
        self._consecutive_failures += 1
        if permit.is_probe and self.state is BreakerState.HALF_OPEN:
            self._open(now)
        elif self.state is BreakerState.CLOSED and self._has_too_many_failures():
            self.trip_count += 1
            self._open(now)

    def on_cancelled(self, permit: CheckPermit) -> None:
        """Record that the request ended before the response, which is neither a success nor a failure.

        If the check was a probe, another probe may be sent.
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
