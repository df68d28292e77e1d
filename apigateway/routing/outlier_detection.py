"""Which hosts are taken to fail, from what came of the attempts there: pure, below the decision module."""

from __future__ import annotations

HALF_LIFE = 10.0  # s; half of what is known of a host's failures is forgotten, which is its next trial
MIN_PRIOR = 0.02  # least part of hosts that are taken to fail before anything is seen
MAX_PRIOR = 0.6  # greatest part
FAILING_HOST_FAILURES = 0.9  # share of attempts that fail at a failing host
SOUND_HOST_FAILURES = 0.05  # share of attempts that fail at a sound host, by chance
GAIN = 0.05  # weight of a new answer in the part of all hosts that fail


class OutlierDetector:
    """How likely a host fails, at the level where the symptom shows: the whole host, a class, a plan there.

    One answer to errors, silence, lost connections and `full`: evidence at each level, by how much of the
    fleet fails there, so that an answer of another kind clears nothing. In a fault proven hosts come first.
    Harm: after a chance failure a sound host gets less until half is forgotten.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, tuple[float, float]]] = {}  # by id and scope: how likely, as of when
        self.failing_shares: dict[str, float] = {}  # by scope: part of all hosts that fail

    def failure_probability(self, host: str, key: str, now: float) -> float:
        """Return how likely a host fails in one scope."""
        prior = self.failing_shares.get(key, MIN_PRIOR)
        known = self.hosts.get(host, {}).get(key)
        if known is None:
            return prior
        likelihood, seen_at = known
        kept: float = 0.5 ** ((now - seen_at) / HALF_LIFE)
        return prior + (likelihood - prior) * kept

    def success_probability(self, host: str, keys: tuple[str, ...], now: float) -> float:
        """Return how likely two attempts there succeed, by the worst of the scopes."""
        worst = 0.0  # max over `at`, written out: it runs for most requests
        seen = self.hosts.get(host, {})
        for key in keys:
            likelihood = self.failing_shares.get(key, MIN_PRIOR)
            known = seen.get(key)
            if known is not None:
                likelihood += (known[0] - likelihood) * 0.5 ** ((now - known[1]) / HALF_LIFE)
            if likelihood > worst:  # noqa: PLR1730  (max() is a call, for each scope of most requests)
                worst = likelihood
        return (1 - worst) ** 2

    def record(self, host: str, keys: tuple[str, ...], failed: bool, now: float) -> None:
        """Take up the result of an attempt, as evidence in each of these scopes, the widest first."""
        most = max(self.failing_shares.get(key, MIN_PRIOR) for key in keys)
        for key in keys:
            pool = self.failing_shares.get(key, MIN_PRIOR)
            likelihood = self.failure_probability(host, key, now)
            if failed:
                likelihood += (_after_failure(likelihood) - likelihood) * (pool / most) ** 2
            elif key == keys[0]:  # any answer shows that the host as a whole works
                likelihood = 0.0
            else:  # but not that it serves the other kinds
                likelihood = _after_success(likelihood)
            self.hosts.setdefault(host, {})[key] = (likelihood, now)
            self.failing_shares[key] = min(MAX_PRIOR, max(MIN_PRIOR, pool + GAIN * (likelihood - pool)))

    def remove_host(self, host: str) -> None:
        """Forget a host that is gone."""
        self.hosts.pop(host, None)


def _after_failure(likelihood: float) -> float:
    """Apply Bayes' rule to a failure."""
    failing = likelihood * FAILING_HOST_FAILURES
    return failing / (failing + (1 - likelihood) * SOUND_HOST_FAILURES)


def _after_success(likelihood: float) -> float:
    """Apply Bayes' rule to a success."""
    failing = likelihood * (1 - FAILING_HOST_FAILURES)
    return failing / (failing + (1 - likelihood) * (1 - SOUND_HOST_FAILURES))
