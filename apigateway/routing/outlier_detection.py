"""Outlier detection: estimates which hosts are failing from the results of attempts. No I/O."""

from __future__ import annotations

HALF_LIFE_S = 10.0  # of the evidence; as it decays, a failing host gets trial requests again
MIN_FAILING_SHARE = 0.02  # of all hosts; the prior for a host without evidence is at least this
MAX_FAILING_SHARE = 0.6  # upper bound of this prior
FAILING_HOST_ERROR_RATE = 0.9  # share of attempts that fail at a failing host
HEALTHY_HOST_ERROR_RATE = 0.05  # share of attempts that fail by chance at a healthy host
GAIN = 0.05  # weight of a new result in the share of failing hosts


class OutlierDetector:
    """Estimates the probability that a host is failing, by scope: the whole host, a class or a plan.

    Errors, timeouts, lost connections and rejections are treated alike. A failure counts in each scope,
    weighted by how much of the fleet fails in that scope. An answer to another kind of request does not clear
    it. During a fault, hosts that have proved to work are preferred. The drawback: after a chance failure a
    healthy host gets less traffic until half of the evidence has decayed.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, tuple[float, float]]] = {}  # by id and scope: probability, time
        self.failing_shares: dict[str, float] = {}  # by scope: share of all hosts

    def failure_probability(self, host: str, scope: str, now: float) -> float:
        """Return the probability that a host is failing in one scope."""
        prior = self.failing_shares.get(scope, MIN_FAILING_SHARE)
        evidence = self.hosts.get(host, {}).get(scope)
        if evidence is None:
            return prior
        probability, observed_at = evidence
        decay: float = 0.5 ** ((now - observed_at) / HALF_LIFE_S)
        return prior + (probability - prior) * decay

    def success_probability(self, host: str, scopes: tuple[str, ...], now: float) -> float:
        """Return the probability that two attempts at a host succeed, by the worst of the scopes."""
        worst = 0.0  # maximum of `failure_probability`, inlined as it runs for most requests
        evidence_by_scope = self.hosts.get(host, {})
        for scope in scopes:
            probability = self.failing_shares.get(scope, MIN_FAILING_SHARE)
            evidence = evidence_by_scope.get(scope)
            if evidence is not None:
                probability += (evidence[0] - probability) * 0.5 ** ((now - evidence[1]) / HALF_LIFE_S)
            if probability > worst:  # noqa: PLR1730  (max() would be a call per scope of most requests)
                worst = probability
        return (1 - worst) ** 2

    def record(self, host: str, scopes: tuple[str, ...], failed: bool, now: float) -> None:
        """Record the result of an attempt as evidence in each of these scopes, widest first."""
        max_share = max(self.failing_shares.get(scope, MIN_FAILING_SHARE) for scope in scopes)
        for scope in scopes:
            share = self.failing_shares.get(scope, MIN_FAILING_SHARE)
            probability = self.failure_probability(host, scope, now)
            if failed:
                probability += (_after_failure(probability) - probability) * (share / max_share) ** 2
            elif scope == scopes[0]:  # any answer shows that the host as a whole works
                probability = 0.0
            else:  # but not that the host serves other kinds of requests
                probability = _after_success(probability)
            self.hosts.setdefault(host, {})[scope] = (probability, now)
            self.failing_shares[scope] = min(
                MAX_FAILING_SHARE, max(MIN_FAILING_SHARE, share + GAIN * (probability - share))
            )

    def remove_host(self, host: str) -> None:
        """Remove the evidence about a host that is gone."""
        self.hosts.pop(host, None)


def _after_failure(prior: float) -> float:
    """Return the probability that a host is failing after a failure, by Bayes' rule."""
    failing = prior * FAILING_HOST_ERROR_RATE
    return failing / (failing + (1 - prior) * HEALTHY_HOST_ERROR_RATE)


def _after_success(prior: float) -> float:
    """Return the probability that a host is failing after a success, by Bayes' rule."""
    failing = prior * (1 - FAILING_HOST_ERROR_RATE)
    return failing / (failing + (1 - prior) * (1 - HEALTHY_HOST_ERROR_RATE))
