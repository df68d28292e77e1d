"""Builds the report of a run as a JSON document and as text, and decides whether the run is void."""

from __future__ import annotations

from typing import Any

from apigateway.tools.load.recorder import Histogram, LoadRecord, Outcome, count_above

Report = dict[str, Any]
"""The document that `load run --json` prints."""

_US_PER_MS = 1000
_MAX_PERCENTILE = 100.0
_PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9, "max": _MAX_PERCENTILE}
_NAME_WIDTH = 34  # characters of a row's name
_FIGURE_WIDTH = 9  # characters of a figure


def percentiles_ms(histogram: Histogram) -> dict[str, float]:
    """Return the percentiles of a histogram; an empty dict if it has no values."""
    if not histogram.get_total_count():
        return {}
    return {
        name: histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for name, percentile in _PERCENTILES.items()
    }


def void_reason(record: LoadRecord, late_ms: float, late_share: float) -> str:
    """Return the reason why a run is void, or an empty string for a valid run.

    The figures of a void run say nothing about its target. A run is void if the generator ran out of file
    descriptors, or started more than `late_share` of its requests more than `late_ms` late.
    """
    if record.descriptor_shortages:
        return f"the generator had no file descriptor for {record.descriptor_shortages} requests"
    total = record.lateness.get_total_count()
    if not total:
        return ""
    late = count_above(record.lateness, late_ms * _US_PER_MS)
    if late <= late_share * total:
        return ""
    max_late_ms = record.lateness.get_value_at_percentile(_MAX_PERCENTILE) / _US_PER_MS
    return (
        f"the generator itself started {late} of {total} requests more than {late_ms:g} ms late "
        f"(at most {max_late_ms:.0f} ms)"
    )


def build_report(record: LoadRecord, name: str, void: str) -> Report:
    """Return the report of the run `name`; `void` is the result of `void_reason`."""
    counts = record.counts()
    return {
        "name": name,
        "void": void,
        "played_s": record.played_s,
        "due": sum(counts.values()),
        "counts": counts,
        "surplus": record.surplus_answers,
        "late_ms": percentiles_ms(record.lateness),
        "latency_ms": {
            "all": percentiles_ms(record.latency_of()),
            "served": percentiles_ms(record.latency_of(Outcome.SERVED)),
            "refused": percentiles_ms(record.latency_of(Outcome.REFUSED)),
        },
        "by": [
            {
                "class": key.service_class,
                "plan": key.plan,
                "outcome": key.outcome,
                "count": histogram.get_total_count(),
                **percentiles_ms(histogram),
            }
            for key, histogram in sorted(record.latencies.items())
        ],
        "seconds": [
            {"second": second, **outcomes} for second, outcomes in sorted(record.outcomes_by_second.items())
        ],
    }


def format_report(report: Report) -> str:
    """Return a report as text."""
    heading = f"{report['name']}: {report['due']} due in {report['played_s']:.1f} s"
    if report["void"]:
        heading += f"; VOID: {report['void']}"
    counts = ", ".join(f"{name} {count}" for name, count in report["counts"].items() if count)
    columns = " ".join(f"{name:>{_FIGURE_WIDTH}}" for name in _PERCENTILES)
    lines = [
        heading,
        f"  {counts}",
        f"{'ms from when it was due':{_NAME_WIDTH}} {columns}",
        _format_row("all", report["latency_ms"]["all"]),
    ]
    for group in report["by"]:
        name = f"{group['class']} {group['plan']} {group['outcome']} ({group['count']})"
        lines.append(_format_row(name, group))
    lines.append(_format_row("the generator's own lateness", report["late_ms"]))
    if report["surplus"]:
        lines.append(f"{report['surplus']} answers without a matching request")
    return "\n".join(lines)


def _format_row(name: str, figures: dict[str, float]) -> str:
    cells = (f"{figures.get(column, float('nan')):{_FIGURE_WIDTH}.1f}" for column in _PERCENTILES)
    return f"{name:{_NAME_WIDTH}} " + " ".join(cells)
