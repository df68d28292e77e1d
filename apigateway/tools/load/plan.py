"""What a scenario will send, before anything is sent: a table and a plot in text."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from apigateway.tools.load.scenario import Scenario
from apigateway.tools.load.schedule import US, Due, digest, schedule

BARS = " ▁▂▃▄▅▆▇█"
WIDTH = 60  # columns of the plot


def plan(scenario: Scenario) -> dict[str, Any]:
    """Raises schedule.TooMany."""
    seconds = scenario.run.seconds
    slots = [0] * WIDTH
    by: Counter[tuple[str, str]] = Counter()
    employers: Counter[str] = Counter()
    gateways: Counter[int] = Counter()
    busiest: Counter[int] = Counter()

    def seen(due: Due) -> Due:
        slots[min(WIDTH - 1, int(due.at / US / seconds * WIDTH))] += 1
        by[due.plan, due.cls] += 1
        employers[due.employer] += 1
        gateways[due.gateway] += 1
        busiest[due.at // US] += 1
        return due

    count, told = digest(seen(due) for due in schedule(scenario))
    return {
        "name": scenario.run.name,
        "seconds": seconds,
        "seed": scenario.run.seed,
        "requests": count,
        "sha256": told,
        "mean": count / seconds if seconds else 0.0,
        "busiest second": max(busiest.values(), default=0),
        "employers": len(employers),
        "busiest employer": max(employers.values(), default=0),
        "by": {f"{name} {cls}": n for (name, cls), n in sorted(by.items())},
        "gateways": {str(number): n for number, n in sorted(gateways.items())},
        "rates": [n / (seconds / WIDTH) if seconds else 0.0 for n in slots],
    }


def text(told: dict[str, Any], as_json: bool) -> str:
    if as_json:
        return json.dumps(told, indent=1)
    top = max(told["rates"], default=0.0)
    plot = "".join(BARS[round(rate / top * (len(BARS) - 1))] if top else BARS[0] for rate in told["rates"])
    lines = [
        f"{told['name']}: {told['requests']} requests in {told['seconds']:g} s, seed {told['seed']}, "
        f"sha256 {told['sha256'][:16]}",
        f"  {told['mean']:.1f} a second in the mean, {told['busiest second']} in the busiest; "
        f"{told['employers']} employers, the busiest asks {told['busiest employer']}",
        f"  {plot}  up to {top:.0f} a second",
    ]
    lines += [f"  {name}: {count}" for name, count in told["by"].items()]
    lines.append("  gateways: " + ", ".join(f"{name} {count}" for name, count in told["gateways"].items()))
    return "\n".join(lines)
