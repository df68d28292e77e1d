"""Computes and formats the figures of a scenario's schedule, without sending anything."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from apigateway.tools.load.scenario import Scenario
from apigateway.tools.load.schedule import US_PER_S, ScheduledRequest, digest, schedule

PLOT_COLUMNS = 60

_BARS = " ▁▂▃▄▅▆▇█"
_SHOWN_DIGEST_LENGTH = 16  # characters of the SHA-256 in the text


@dataclass(slots=True)
class SchedulePlan:
    """Figures of a scenario's schedule.

    Attributes:
        name: The scenario's name.
        seconds: Duration of the run.
        seed: Seed of the schedule.
        requests: Number of requests.
        sha256: Digest of all requests.
        by_plan_and_class: Number of requests of each plan and class.
        by_customer: Number of requests of each customer.
        by_gateway: Number of requests to each target, by its index.
        by_second: Number of requests due in each second.
        by_column: Number of requests due in each column of the plot.
    """

    name: str
    seconds: float
    seed: int
    requests: int = 0
    sha256: str = ""
    by_plan_and_class: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_customer: Counter[str] = field(default_factory=Counter)
    by_gateway: Counter[int] = field(default_factory=Counter)
    by_second: Counter[int] = field(default_factory=Counter)
    by_column: list[int] = field(default_factory=lambda: [0] * PLOT_COLUMNS)

    @property
    def mean_rate(self) -> float:
        """Mean requests per second over the whole run."""
        return self.requests / self.seconds if self.seconds else 0.0

    @property
    def rates(self) -> list[float]:
        """Requests per second in each column of the plot."""
        column_seconds = self.seconds / PLOT_COLUMNS
        return [count / column_seconds if self.seconds else 0.0 for count in self.by_column]

    def count(self, request: ScheduledRequest) -> None:
        """Add one request to the figures."""
        column = int(request.due_us / US_PER_S / self.seconds * PLOT_COLUMNS)
        self.by_column[min(PLOT_COLUMNS - 1, column)] += 1
        self.by_plan_and_class[request.plan, request.service_class] += 1
        self.by_customer[request.customer] += 1
        self.by_gateway[request.gateway_index] += 1
        self.by_second[request.due_us // US_PER_S] += 1

    def to_json(self) -> dict[str, Any]:
        """Return the document that `load plan --json` prints."""
        return {
            "name": self.name,
            "seconds": self.seconds,
            "seed": self.seed,
            "requests": self.requests,
            "sha256": self.sha256,
            "mean": self.mean_rate,
            "busiest second": max(self.by_second.values(), default=0),
            "employers": len(self.by_customer),
            "busiest employer": max(self.by_customer.values(), default=0),
            "by": {f"{plan} {name}": n for (plan, name), n in sorted(self.by_plan_and_class.items())},
            "gateways": {str(index): n for index, n in sorted(self.by_gateway.items())},
            "rates": self.rates,
        }


def plan_scenario(scenario: Scenario) -> SchedulePlan:
    """Compute a scenario's schedule and return its figures. Raises TooManyRequestsError."""
    run = scenario.run
    plan = SchedulePlan(run.name, run.seconds, run.seed)

    def counted() -> Iterator[ScheduledRequest]:
        for request in schedule(scenario):
            plan.count(request)
            yield request

    plan.requests, plan.sha256 = digest(counted())
    return plan


def format_plan(plan: SchedulePlan, as_json: bool) -> str:
    """Return a plan as JSON or as text with a plot."""
    document = plan.to_json()
    if as_json:
        return json.dumps(document, indent=1)
    max_rate = max(plan.rates, default=0.0)
    lines = [
        f"{plan.name}: {plan.requests} requests in {plan.seconds:g} s, seed {plan.seed}, "
        f"sha256 {plan.sha256[:_SHOWN_DIGEST_LENGTH]}",
        f"  {plan.mean_rate:.1f} a second in the mean, {document['busiest second']} in the busiest; "
        f"{document['employers']} employers, the busiest asks {document['busiest employer']}",
        f"  {_plot(plan.rates, max_rate)}  up to {max_rate:.0f} a second",
    ]
    lines += [f"  {name}: {count}" for name, count in document["by"].items()]
    gateways = ", ".join(f"{index} {count}" for index, count in document["gateways"].items())
    lines.append(f"  gateways: {gateways}")
    return "\n".join(lines)


def _plot(rates: list[float], max_rate: float) -> str:
    if not max_rate:
        return _BARS[0] * len(rates)
    return "".join(_BARS[round(rate / max_rate * (len(_BARS) - 1))] for rate in rates)
