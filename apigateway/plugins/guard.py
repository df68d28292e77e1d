"""Whether a plug-in is asked now: its share of the CPU, and the breaker that takes a failing one out.
Pure."""

from __future__ import annotations

from apigateway.plugins.terms import Budget

IN, OUT, TRIAL = "in", "out", "on trial"


class Guard:
    """Times in seconds of any clock that does not step back."""

    def __init__(self, budget: Budget, now: float) -> None:
        self.budget = budget
        self.credit, self.at = budget.share * budget.span, now
        self.state, self.failures, self.rest, self.until = IN, 0, budget.rest, 0.0

    def refill(self, now: float) -> None:
        most = self.budget.share * self.budget.span
        self.credit = min(most, self.credit + max(0.0, now - self.at) * self.budget.share)
        self.at = max(self.at, now)

    def may(self, now: float) -> str:
        """Empty if it may be asked; else why not: share or out."""
        if self.state == OUT:
            if now < self.until:
                return OUT
            self.state = TRIAL  # one call decides
        if self.credit > 0:  # the usual case: what it has gained since changes nothing
            return ""
        self.refill(now)
        return "" if self.credit > 0 else "share"

    def note(self, now: float, seconds: float, failed: bool) -> None:
        """A call that took so much CPU. What it took past its share it has to wait for."""
        self.refill(now)
        self.credit -= seconds
        if not failed:
            if self.state == TRIAL:
                self.state, self.rest = IN, self.budget.rest
            self.failures = 0
            return
        self.failures += 1
        if self.state == TRIAL:
            self.rest = min(2 * self.rest, self.budget.most_rest)
        if self.state == TRIAL or self.failures >= self.budget.failures:
            self.state, self.until, self.failures = OUT, now + self.rest, 0

    def wait(self, now: float) -> float:
        """Until it may be asked again; 0 if it may now."""
        if self.state == OUT and now < self.until:
            return self.until - now
        return max(0.0, -self.credit / self.budget.share) if self.budget.share else 0.0
