"""Builds the tables that the demo prints at its end: outcomes, rules, plug-ins and checks."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rich.table import Table

from apigateway.emulators.clients import Customer
from apigateway.emulators.ledger import Attempt, Ledger, Verdict
from apigateway.plugins.records import read_records

OUTCOMES = ("served", "refused", "failed", "lost", "with gateway")  # names of the ledger

_MS_PER_S = 1000
_MAX_SHOWN_BREACHES = 3  # per rule
_SHOWN_CUSTOMER_LENGTH = 4  # last characters of a customer's id


def count_outcomes(ledger: Ledger) -> dict[str, int]:
    """Return the number of requests with each outcome so far."""
    counts = dict.fromkeys(OUTCOMES, 0)
    for request in ledger.requests.values():
        if request.answers:
            _, outcome, *_ = request.answers[0]
            counts[outcome] += 1
    return counts


def outcomes_table(ledger: Ledger, latencies: list[float]) -> Table:
    """Return a table of outcomes by plan and class; `latencies` are those of served requests, in seconds."""
    counts: dict[tuple[str, str], dict[str, int]] = defaultdict(lambda: dict.fromkeys(OUTCOMES, 0))
    for (plan, service_class, outcome), count in ledger.outcomes().items():
        counts[plan, service_class][outcome] += count
    title = f"outcomes of requests; median latency of served requests {_median_ms(latencies):.0f} ms"
    table = Table("plan", "class", *OUTCOMES, title=title)
    for (plan, service_class), row in sorted(counts.items()):
        table.add_row(plan, service_class, *(str(row[outcome]) for outcome in OUTCOMES))
    return table


def verdicts_table(verdicts: tuple[Verdict, ...]) -> Table:
    """Return a table of the verdict on each of the five rules, with the first breaches."""
    table = Table(
        "rule", "verdict", "cases", title="the five rules, checked against the traffic on the sockets"
    )
    for verdict in verdicts:
        table.add_row(verdict.rule, _format_verdict(verdict), str(verdict.checked))
        for breach in verdict.breaches[:_MAX_SHOWN_BREACHES]:
            table.add_row("", breach, "")
    return table


def plugins_table(folder: Path) -> Table:
    """Return a table of the effects of plug-ins, from the records that the gateways wrote to a folder."""
    counts: Counter[str] = Counter()
    for path in sorted(folder.glob("*.records")):
        for _, record in read_records(str(path)):
            counts.update(_plugin_effects(record))
    table = Table("plug-ins", "requests", title="effects of plug-ins, from the gateways' records")
    for effect, count in sorted(counts.items()):
        table.add_row(effect, str(count))
    return table


def checks_table(
    ledger: Ledger, counts: Counter[str], latencies: list[float], customers: Sequence[Customer]
) -> Table:
    """Return a table of the rate limit service's answers and the units left below each customer's ceiling."""
    title = f"rate limit service; median latency {_median_ms(latencies):.1f} ms"
    table = Table("checks by gRPC", "count", title=title)
    for answer, count in sorted(counts.items()):
        table.add_row(answer, str(count))
    attempts_by_id: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(ledger.attempts, key=lambda attempt: attempt.last_byte_at):
        attempts_by_id[attempt.id].append(attempt)
    plan_by_customer = {customer.id: customer.plan for customer in customers}
    for customer, (least_remaining, slack) in sorted(ledger.ceiling_uses(attempts_by_id).items()):
        name = f"ceiling of {customer[-_SHOWN_CUSTOMER_LENGTH:]} ({plan_by_customer[customer]})"
        if least_remaining >= 0:
            table.add_row(name, f"{least_remaining:.1f} units left at minimum")
        else:
            table.add_row(name, f"exceeded by {-least_remaining:.1f} units, its slack is {slack:.1f}")
    return table


def _median_ms(latencies: list[float]) -> float:
    if not latencies:
        return 0.0
    return sorted(latencies)[len(latencies) // 2] * _MS_PER_S


def _format_verdict(verdict: Verdict) -> str:
    if not verdict.kept:
        return "BROKEN"
    return "kept" if verdict.checked else "not seen"


def _plugin_effects(record: dict[str, Any]) -> list[str]:
    """Return the effects of plug-ins on one request."""
    effects = ["asked about"]
    effects += [f"tagged {key}={value}" for key, value in record["tags"].items()]
    if record["route"]:
        effects.append(f"routed {record['route']}")
    if record["by"]:
        effects.append(f"refused by {record['by']}: {record['class']}")
    return effects
