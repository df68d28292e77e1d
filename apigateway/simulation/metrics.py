"""The metrics of a simulation, and the figures computed from them."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from apigateway.messages import AttemptResult
from apigateway.simulation.clock import START_TIME

MIN_WEIGHT = 1e-9  # avoids a division by zero in a simulation without requests
MIN_REQUESTS_PER_SECOND = 20  # seconds with fewer first requests do not count for `worst_second`


class Metric(StrEnum):
    """Counters that are active during the measurement."""

    FIRST_REQUESTS = "first requests"
    FIRST_REQUESTS_IN_QUOTA = "first requests in quota"
    REQUESTS = "requests"  # first requests and retries
    REJECTED_REQUESTS = "rejected requests"
    REJECTED_WITH_QUOTA = "rejected requests whose customer's quota had room"
    SERVED_CALLS = "served calls"  # within quotas only
    CALLS_WITHIN_OBJECTIVE = "calls within the latency objective"
    REJECTED_CALLS = "rejected calls"
    FAILED_CALLS = "failed calls"
    ATTEMPTS = "attempts"
    CONNECTIONS = "connections"
    HEALTH_CHECKS = "health checks"
    COUNTER_CALLS = "counter calls"
    COUNTER_TIMEOUTS = "counter timeouts"
    UNITS_FORWARDED = "units forwarded"
    UNITS_OVER_QUOTA = "units over quota"
    OVERLOADED_HOSTS = "overloaded hosts"
    UNDECIDED_REQUESTS = "requests without a decision"


class Rule(StrEnum):
    """Rules that the decision module must follow under any fault; violations begin with the value."""

    DRAIN = "drain"
    ONE_ATTEMPT_AT_A_TIME = "two at once"
    NO_REPEAT = "twice"
    CEILING = "ceiling"
    SLOW_START = "pushed over"
    ANSWER = "lost"


class Violation(NamedTuple):
    """A violation of a rule."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


@dataclass(slots=True)
class SecondCounts:
    """Counts of one second of the simulation.

    Attributes:
        in_quota: First requests within quotas that were created in this second.
        within_objective: Those of them whose call was answered within the latency objective.
        rejected: Requests that were rejected in this second.
        unreachable: Attempts sent in this second to hosts that could not be reached.
    """

    in_quota: int = 0
    within_objective: int = 0
    rejected: int = 0
    unreachable: int = 0

    def as_figures(self) -> dict[str, int]:
        """Return the counts by their names in the report."""
        return {
            "inside": self.in_quota,
            "in_aim": self.within_objective,
            "refused": self.rejected,
            "in_vain": self.unreachable,
        }


class LoadBalance(NamedTuple):
    """How evenly the hosts were used."""

    idle_share: float  # of core time, idle while as much work waited at other hosts
    busiest_to_mean: float  # requests of the busiest warm host over the mean
    max_in_flight: int  # maximum over all hosts


def quantile(sorted_values: Sequence[float], share: float) -> float:
    """Return the quantile `share` of sorted values; 0 if there are none."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


@dataclass(slots=True)
class Metrics:
    """Counts, latencies and violations of a simulation.

    Violations and the counts by second are recorded at any time. The counting methods count only while
    `is_on`. The result of a call that was created while `is_on` is counted whenever it ends.

    Attributes:
        latencies: Seconds from the first request to the answer, of each call served within quotas.
        over_quota_cost: Cost of the units forwarded beyond quotas, weighted by priority and price.
        requested_weight: Weight of the first requests within quotas, by priority and price.
    """

    is_on: bool = False
    counts: Counter[Metric] = field(default_factory=Counter)
    attempt_results: Counter[AttemptResult] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    over_quota_cost: float = 0.0
    requested_weight: float = 0.0
    _seconds: defaultdict[int, SecondCounts] = field(default_factory=lambda: defaultdict(SecondCounts))

    def count(self, metric: Metric) -> None:
        """Increment a counter, while the measurement is on."""
        if self.is_on:
            self.counts[metric] += 1

    def count_attempt_result(self, result: AttemptResult) -> None:
        """Count the end of an attempt, while the measurement is on."""
        if self.is_on:
            self.attempt_results[result] += 1

    def add_over_quota_cost(self, cost: float) -> None:
        """Add the cost of a unit beyond a quota, while the measurement is on."""
        if self.is_on:
            self.over_quota_cost += cost

    def add_violation(self, rule: Rule, detail: str) -> None:
        """Record a violation of a rule."""
        self.violations.append(Violation(rule, detail))

    def second(self, now: float) -> SecondCounts:
        """Return the counts of the second that contains `now`."""
        return self._seconds[int(now - START_TIME)]

    def by_second(self, first: int, seconds: int) -> list[dict[str, int]]:
        """Return the counts of `seconds` seconds, beginning with second `first` of the simulation."""
        return [self._seconds[second].as_figures() for second in range(first, first + seconds)]

    def worst_second(self) -> float:
        """Return the lowest share within the objective of any second with enough first requests."""
        shares = (
            second.within_objective / second.in_quota
            for second in self._seconds.values()
            if second.in_quota >= MIN_REQUESTS_PER_SECOND
        )
        return min(shares, default=1.0)

    def figures(self, balance: LoadBalance, warm_up: float, length: float) -> dict[str, Any]:
        """Return the figures of the simulation by their names in the report.

        `in_aim` and `served` are shares of the first requests within quotas. `refused` and `failed` are
        shares of all first requests, by the answer to the last retry. `over_quota` is a share of the
        forwarded units; `quota_cost` is the cost of these units over the weight of the first requests within
        quotas. `with_room` is a share of the rejected requests. Times are in milliseconds.
        """
        counts = self.counts
        latencies = sorted(self.latencies)
        calls = max(1, counts[Metric.FIRST_REQUESTS])
        in_quota = max(1, counts[Metric.FIRST_REQUESTS_IN_QUOTA])
        requests = max(1, counts[Metric.REQUESTS])
        rejected_requests = max(1, counts[Metric.REJECTED_REQUESTS])
        counter_calls = max(1, counts[Metric.COUNTER_CALLS])
        units_forwarded = max(1, counts[Metric.UNITS_FORWARDED])
        return {
            "firsts": counts[Metric.FIRST_REQUESTS],
            "tries_each": counts[Metric.REQUESTS] / calls,
            "in_aim": counts[Metric.CALLS_WITHIN_OBJECTIVE] / in_quota,
            "served": counts[Metric.SERVED_CALLS] / in_quota,
            "refused": counts[Metric.REJECTED_CALLS] / calls,
            "failed": counts[Metric.FAILED_CALLS] / calls,
            "refused_tries": counts[Metric.REJECTED_REQUESTS] / requests,
            "p50_ms": 1000 * quantile(latencies, 0.5),
            "p99_ms": 1000 * quantile(latencies, 0.99),
            "attempts_each": counts[Metric.ATTEMPTS] / requests,
            "connections_each": counts[Metric.CONNECTIONS] / calls,
            "probes_each": counts[Metric.HEALTH_CHECKS] / calls,
            "calls_each": counts[Metric.COUNTER_CALLS] / calls,
            "calls_late": counts[Metric.COUNTER_TIMEOUTS] / counter_calls,
            "over_quota": counts[Metric.UNITS_OVER_QUOTA] / units_forwarded,
            "quota_cost": self.over_quota_cost / max(MIN_WEIGHT, self.requested_weight),
            "with_room": counts[Metric.REJECTED_WITH_QUOTA] / rejected_requests,
            "full": self.attempt_results[AttemptResult.REJECTED],
            "timeouts": self.attempt_results[AttemptResult.TIMEOUT],
            "fell": counts[Metric.OVERLOADED_HOSTS],
            "broken": len(self.violations),
            "idle_waiting": balance.idle_share,
            "most_host": balance.busiest_to_mean,
            "longest": balance.max_in_flight,
            "worst_second": self.worst_second(),
            "seconds": self.by_second(math.ceil(warm_up), math.floor(length)),
        }
