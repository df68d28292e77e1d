"""One version of the plug-in chain, which calls its plug-ins in order for each request.

Proposals are checked before they take effect. A request uses the version that it started with until it ends.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from apigateway.plugins.circuit_breaker import SkipReason
from apigateway.plugins.interfaces import BudgetPolicy, Phase, RequestView
from apigateway.plugins.proposals import ProposalLimits, RequestEffects, evaluate
from apigateway.plugins.runner import PluginRunner

DEFAULT_MAX_CHAIN_TIME_S = 0.02

# Module globals, because they are used at each call and an enum member is slower to look up on its class.
_REQUEST = Phase.REQUEST
_REJECT = BudgetPolicy.REJECT


class ChainVersion:
    """The plug-ins of one version, in the order of the settings.

    Attributes:
        runners: Runners of the plug-ins.
        limits: Limits on the plug-ins' proposals.
        max_chain_time: Seconds that all plug-ins together may delay one request.
        number: Version number, from 1.
        open_requests: Number of unfinished requests that started with this version.
        on_drained: Called when the last request has finished; set once the version was replaced.
        runners_by_phase: Runners of the plug-ins that implement a phase.
    """

    def __init__(
        self,
        runners: list[PluginRunner],
        limits: ProposalLimits,
        max_chain_time: float = DEFAULT_MAX_CHAIN_TIME_S,
        number: int = 1,
    ) -> None:
        self.runners = runners
        self.limits = limits
        self.max_chain_time = max_chain_time
        self.number = number
        self.open_requests = 0
        self.on_drained: Callable[[ChainVersion], None] | None = None
        self.runners_by_phase = {
            phase: [runner for runner in runners if phase in runner.plugin.phases] for phase in Phase
        }

    def acquire(self) -> None:
        """Count a request that starts with this version."""
        self.open_requests += 1

    def release(self) -> None:
        """Count the end of a request that started with this version."""
        self.open_requests -= 1
        if not self.open_requests and self.on_drained is not None:
            self.on_drained(self)

    def run_phase(self, phase: Phase, view: RequestView, effects: RequestEffects, now: float) -> float | None:
        """Call all plug-ins of a phase in order, and apply the allowed proposals to `effects`.

        Returns:
            Seconds until the client may retry if a plug-in rejected the request, which ends the chain; None
            otherwise.
        """
        deadline = now + self.max_chain_time
        is_first = True
        for runner in self.runners_by_phase[phase]:
            if not is_first and time.monotonic() > deadline:
                proposals = None
                runner.skip(SkipReason.CHAIN_TIME)
            else:
                proposals = runner.run(phase, view, now)
            is_first = False
            if proposals is None:
                if phase == _REQUEST and runner.budget.when_exceeded is _REJECT:
                    return self._reject_by_budget(runner, effects, now)
                continue
            if not proposals:
                continue
            verdict = evaluate(phase, proposals, effects, self.limits)
            runner.record_verdict(verdict)
            if verdict.tags or verdict.route:
                effects.apply(phase, verdict)
                view.route = effects.route
            if verdict.retry_after is not None:
                effects.rejected_by = runner.name
                return verdict.retry_after
        return None

    def _reject_by_budget(self, runner: PluginRunner, effects: RequestEffects, now: float) -> float:
        runner.record_rejection_by_budget()
        effects.rejected_by = runner.name
        return min(runner.circuit_breaker.time_until_available(now), self.limits.max_retry_after)

    def tick(self, unix_time: float, now: float) -> None:
        """Call the plug-ins that implement the phase TICK."""
        if self.runners_by_phase[Phase.TICK]:
            self.run_phase(Phase.TICK, RequestView(now=unix_time), RequestEffects(is_finished=True), now)

    def close(self) -> None:
        """Close all plug-ins."""
        close_plugins(self.runners)


def close_plugins(runners: Sequence[PluginRunner]) -> None:
    """Close the plug-ins of the given runners."""
    for runner in runners:
        runner.plugin.close()
