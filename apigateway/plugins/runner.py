"""Calls one plug-in within its budget, and counts what came of it for operators."""

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

DISPLAYED_DIGEST_LENGTH = 12  # characters of a digest that operators see

_LOG_INTERVAL = 10.0  # s between two lines of the log on the same plug-in's failures
_MAX_LOGGED_LENGTH = 300  # characters of an error in the log
_OVERTIME_FACTOR = 2  # times a call's time: a plug-in that cannot be interrupted has failed past it
_REJECTED_BY_BUDGET = "refuse past budget"  # counted among what was allowed

log = logging.getLogger(__name__)


class PluginRunner:
    """One plug-in in service: its budget, its circuit breaker, its statistics.

    Attributes:
        digest: Of the file and the settings that it was made from.
        calls: By phase.
        failures: By reason.
        skipped: How often it was not called, by reason.
        allowed: Proposals that took effect, by verb.
        denied: Proposals that did not, as `verb: reason`.
        cpu_seconds: What its calls took.
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
        self._logged_at = -_LOG_INTERVAL
        # What the machine takes from the gateway is not a plug-in's doing, so that a module is charged by the
        # CPU of the thread: its calls are long enough for the price of that clock, a system call. A rule ends
        # within microseconds.
        self._clock = time.thread_time if plugin.kind == PluginKind.WASM else time.monotonic

    def run(self, phase: Phase, view: RequestView, now: float) -> list[Proposal] | None:
        """Return what the plug-in proposes, None if it could not be called or failed."""
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
            self._on_failure(err.reason, str(err), now)
        except Exception as err:  # a plug-in's every fault ends here
            self._on_failure(FailureReason.ERROR, f"{type(err).__name__} {err}", now)
        seconds = self._clock() - started_at
        if proposals is not None and seconds > _OVERTIME_FACTOR * self.budget.call_time:
            proposals = None
            self._on_failure(FailureReason.TIME, f"{seconds * 1000:.0f} ms", now)
        self.cpu_seconds += seconds
        self.circuit_breaker.record_call(now, seconds, failed=proposals is None)
        return proposals

    def skip(self, reason: SkipReason) -> None:
        """Count that the plug-in was not called."""
        self.skipped[reason] += 1

    def _on_failure(self, reason: FailureReason, text: str, now: float) -> None:
        self.failures[reason] += 1
        if now - self._logged_at >= _LOG_INTERVAL:
            self._logged_at = now
            log.warning("plug-in %s failed (%s)", self.name, text[:_MAX_LOGGED_LENGTH])

    def record_verdict(self, verdict: Verdict) -> None:
        """Count what became of its proposals."""
        if verdict.tags:
            self.allowed[Verb.TAG] += len(verdict.tags)
        if verdict.retry_after is not None:
            self.allowed[Verb.REJECT] += 1
        if verdict.route:
            self.allowed[Verb.ROUTE] += 1
        for verb, reason in verdict.denied:
            self.denied[f"{verb}: {reason}"] += 1

    def record_rejection_by_budget(self) -> None:
        """Count a request that was rejected because the plug-in could not be asked about it."""
        self.allowed[_REJECTED_BY_BUDGET] += 1

    def status(self, now: float) -> dict[str, Any]:
        """Return its state and statistics, for operators. Times in seconds."""
        state = self.circuit_breaker.state
        is_open = state is CircuitState.OPEN
        return {
            "name": self.name,
            "kind": self.plugin.kind,
            "digest": self.digest[:DISPLAYED_DIGEST_LENGTH],
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
