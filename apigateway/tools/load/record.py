"""What became of all that was due: histograms and counts, kept apart by class, plan and outcome.

Latency is counted from when a request was due, not from when it was sent: a generator that waits with a
stalled target would else hide the stall (coordinated omission). How late the generator itself was is kept by
itself. Times are whole microseconds."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

OUTCOMES = ("served", "refused", "failed", "lost", "unsent")
MOST = 3_600_000_000  # us; longer is counted as this
DIGITS = 3  # that are exact of each value
PARTS = (50.0, 90.0, 99.0, 99.9, 100.0)
COLUMNS = tuple(f"p{part:g}" if part < 100 else "max" for part in PARTS)


def histogram() -> Any:
    return HdrHistogram(1, MOST, DIGITS)


class Record:
    def __init__(self) -> None:
        self.by: dict[tuple[str, str, str], Any] = {}  # class, plan, outcome: latency from due
        self.late = histogram()  # how late the generator began with each
        self.seconds: dict[int, Counter[str]] = {}  # by the second in which it was due
        self.surplus = 0  # answers that nobody had asked for
        self.short = 0  # requests for which the generator had no descriptor
        self.end = 0.0  # s of the schedule that were played

    def began(self, late: int) -> None:
        self.late.record_value(min(MOST, max(1, late)))

    def note(self, at: int, cls: str, plan: str, outcome: str, latency: int) -> None:
        """`at`: when it was due."""
        key = cls, plan, outcome
        if key not in self.by:
            self.by[key] = histogram()
        self.by[key].record_value(min(MOST, max(1, latency)))
        self.seconds.setdefault(at // 1_000_000, Counter())[outcome] += 1

    def add(self, other: Record) -> None:
        """Another process's of the same run."""
        for key, told in other.by.items():
            self.by.setdefault(key, histogram()).add(told)
        self.late.add(other.late)
        for second, counts in other.seconds.items():
            self.seconds.setdefault(second, Counter()).update(counts)
        self.surplus += other.surplus
        self.short += other.short
        self.end = max(self.end, other.end)

    def of(self, *outcomes: str, cls: str = "", plan: str = "") -> Any:
        """All of these outcomes in one histogram; none named: all."""
        told = histogram()
        for (c, p, outcome), one in self.by.items():
            if outcome in (outcomes or OUTCOMES) and cls in ("", c) and plan in ("", p):
                told.add(one)
        return told

    def counts(self) -> dict[str, int]:
        return {outcome: self.of(outcome).get_total_count() for outcome in OUTCOMES}


def percentiles(told: Any) -> dict[str, float]:
    """ms; none where nothing was counted."""
    if not told.get_total_count():
        return {}
    return {
        f"p{part:g}" if part < 100 else "max": told.get_value_at_percentile(part) / 1000 for part in PARTS
    }


def beyond(told: Any, us: float) -> int:
    """How many were longer."""
    return sum(
        one.count_added_in_this_iter_step
        for one in told.get_recorded_iterator()
        if one.value_iterated_to > us
    )


def void(record: Record, late_ms: float, late_share: float) -> str:
    """Why the run says nothing of its target; empty: it does."""
    total = record.late.get_total_count()
    if record.short:
        return f"the generator had no descriptor left for {record.short} requests"
    if total:
        more = beyond(record.late, late_ms * 1000)
        if more > late_share * total:
            return (
                f"the generator itself began {more} of {total} requests more than {late_ms:g} ms late "
                f"({record.late.get_value_at_percentile(100) / 1000:.0f} ms at the most)"
            )
    return ""


def report(record: Record, name: str, why: str) -> dict[str, Any]:
    counts = record.counts()
    return {
        "name": name,
        "void": why,
        "played_s": record.end,
        "due": sum(counts.values()),
        "counts": counts,
        "surplus": record.surplus,
        "late_ms": percentiles(record.late),
        "latency_ms": {
            "all": percentiles(record.of()),
            "served": percentiles(record.of("served")),
            "refused": percentiles(record.of("refused")),
        },
        "by": [
            {"class": c, "plan": p, "outcome": o, "count": told.get_total_count(), **percentiles(told)}
            for (c, p, o), told in sorted(record.by.items())
        ],
        "seconds": [{"second": second, **counts} for second, counts in sorted(record.seconds.items())],
    }


def text(told: dict[str, Any]) -> str:
    def row(name: str, part: dict[str, float]) -> str:
        return f"{name:34} " + " ".join(f"{part.get(key, float('nan')):9.1f}" for key in COLUMNS)

    lines = [
        f"{told['name']}: {told['due']} due in {told['played_s']:.1f} s"
        + (f"; VOID: {told['void']}" if told["void"] else ""),
        "  " + ", ".join(f"{name} {count}" for name, count in told["counts"].items() if count),
        f"{'ms from when it was due':34} " + " ".join(f"{key:>9}" for key in COLUMNS),
        row("all", told["latency_ms"]["all"]),
    ]
    lines += [
        row(f"{one['class']} {one['plan']} {one['outcome']} ({one['count']})", one) for one in told["by"]
    ]
    lines.append(row("the generator's own lateness", told["late_ms"]))
    if told["surplus"]:
        lines.append(f"{told['surplus']} answers that nobody had asked for")
    return "\n".join(lines)
