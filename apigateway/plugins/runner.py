"""Calls one plug-in within its budget, and collects its statistics for the status report."""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import Any

from apigateway.plugins.circuit_breaker import CircuitBreaker, CircuitState, SkipReason
from apigateway.plugins.interfaces import (
    Budget,
    FailureReason,
    Phase,
    Plugin,
    PluginError,
    PluginKind,
    Proposal,
    RequestView,
    Verb,
)
from apigateway.plugins.proposals import Verdict

DISPLAYED_DIGEST_DIGITS = 12  # of a digest in status reports

_LOG_INTERVAL_S = 10.0  # shortest time between two log lines about failures of a plug-in
_MAX_LOGGED_CHARACTERS = 300  # of an error in the log
# A call that cannot be interrupted, such as that of rules, has failed if it took longer than its time budget
# times this factor.
_OVERTIME_FACTOR = 2
_BUDGET_REJECTION_KEY = "refuse past budget"  # counted in `allowed`

log = logging.getLogger(__name__)


class PluginRunner:
    """One plug-in in use, with its budget, its circuit breaker and its statistics.

    Attributes:
        name: Name of the plug-in.
        plugin: The plug-in.
        budget: Its resource limits.
        digest: Digest of its file and its settings.
        circuit_breaker: Decides whether it may be called.
        calls: Number of calls, by phase.
        failures: Number of failed calls, by reason.
        skipped: Number of skipped calls, by reason.
        allowed: Number of proposals that took effect, by verb.
        denied: Number of denied proposals, by `verb: reason`.
        cpu_seconds: Total time of its calls; CPU time for modules, wall time for rules.
    """

    def __init__(self, name: str, plugin: Plugin, budget: Budget, digest: str, now: float) -> None:
        self.name = name
        self.plugin = plugin
        self.budget = budget
        self.digest = digest
        self.circuit_breaker = CircuitBreaker(budget, now)
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()
        self.skipped: Counter[str] = Counter()
        self.allowed: Counter[str] = Counter()
        self.denied: Counter[str] = Counter()
        self.cpu_seconds = 0.0
        self._logged_at = -_LOG_INTERVAL_S
        # A module is charged the CPU time of the thread, which excludes the time in which the machine ran
        # other processes. Reading that clock is a system call: cheap compared with the call of a module, but
        # not with that of rules, which takes microseconds.
        self._clock = time.thread_time if plugin.kind == PluginKind.WASM else time.monotonic

    def run(self, phase: Phase, view: RequestView, now: float) -> list[Proposal] | None:
        """Call the plug-in and return its proposals; None if it was skipped or failed."""
        skip_reason = self.circuit_breaker.check(now)
        if skip_reason is not None:
            self.skip(skip_reason)
            return None
        self.calls[phase] += 1
        proposals: list[Proposal] | None = None
        started_at = self._clock()
        try:
            proposals = self.plugin.call(phase, view)
        except PluginError as err:
            self._record_failure(err.reason, str(err), now)
        except Exception as err:  # no fault of a plug-in may reach the caller
            self._record_failure(FailureReason.ERROR, f"{type(err).__name__} {err}", now)
        seconds = self._clock() - started_at
        if proposals is not None and seconds > _OVERTIME_FACTOR * self.budget.call_time:
            proposals = None
            self._record_failure(FailureReason.TIME, f"the call took {seconds * 1000:.0f} ms", now)
        self.cpu_seconds += seconds
        self.circuit_breaker.record_call(now, seconds, failed=proposals is None)
        return proposals

    def skip(self, reason: SkipReason) -> None:
        """Count a skipped call."""
        self.skipped[reason] += 1

    def _record_failure(self, reason: FailureReason, text: str, now: float) -> None:
        self.failures[reason] += 1
        if now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            log.warning("plug-in %s failed (%s)", self.name, text[:_MAX_LOGGED_CHARACTERS])

    def record_verdict(self, verdict: Verdict) -> None:
        """Count the allowed and the denied proposals."""
        if verdict.tags:
            self.allowed[Verb.TAG] += len(verdict.tags)
        if verdict.retry_after is not None:
            self.allowed[Verb.REJECT] += 1
        if verdict.route:
            self.allowed[Verb.ROUTE] += 1
        for verb, reason in verdict.denied:
            self.denied[f"{verb}: {reason}"] += 1

    def record_rejection_by_budget(self) -> None:
        """Count a request that was rejected because the plug-in was skipped or failed."""
        self.allowed[_BUDGET_REJECTION_KEY] += 1

    def status(self, now: float) -> dict[str, Any]:
        """Return the plug-in's state and statistics for the status report. Times in seconds."""
        state = self.circuit_breaker.state
        is_open = state is CircuitState.OPEN
        return {
            "name": self.name,
            "kind": self.plugin.kind,
            "digest": self.digest[:DISPLAYED_DIGEST_DIGITS],
            "phases": [phase for phase in Phase if phase in self.plugin.phases],
            "state": state,
            "back in": round(self.circuit_breaker.time_until_available(now), 3) if is_open else 0.0,
            "calls": dict(self.calls),
            "cpu": self.cpu_seconds,
            "failed": dict(self.failures),
            "not asked": dict(self.skipped),
            "allowed": dict(self.allowed),
            "denied": dict(self.denied),
            "counters": dict(self.plugin.counters()),
            **self.plugin.status(),
        }
