"""What became of all that was due: histograms and counts, by class, plan and outcome.

Latency is counted from when a request was due, not from when it was sent: a generator that waits for a
stalled target would otherwise hide the stall (coordinated omission). How late the generator itself was is
counted apart. Times are whole microseconds.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from apigateway.tools.load.schedule import US_PER_S

MAX_RECORDED_US = 3_600_000_000  # an hour; longer is counted as this
SIGNIFICANT_DIGITS = 3  # that are exact of each value

Histogram = Any  # hdrh has no types


class Outcome(enum.StrEnum):
    """What became of a request; the values are those of the report."""

    SERVED = "served"
    REFUSED = "refused"  # the gateway rejected it: trying again is harmless
    FAILED = "failed"  # the gateway answered that it may have run
    LOST = "lost"  # no answer in its client's time
    UNSENT = "unsent"  # no connection could be made


class RecordKey(NamedTuple):
    """What is counted in one histogram."""

    service_class: str
    plan: str
    outcome: Outcome


class LoadRecord:
    """The outcomes of one run, or of one process's part of it.

    Attributes:
        latencies: Histograms of the latency from when a request was due.
        lateness: Histogram of how late the generator began with each request.
        outcomes_by_second: Outcomes by the second in which a request was due.
        surplus_answers: Answers that no request waits for.
        descriptor_shortages: Requests for which the generator had no file descriptor.
        played_s: Seconds of the schedule that were played.
    """

    def __init__(self) -> None:
        self.latencies: dict[RecordKey, Histogram] = {}
        self.lateness = create_histogram()
        self.outcomes_by_second: dict[int, Counter[str]] = {}
        self.surplus_answers = 0
        self.descriptor_shortages = 0
        self.played_s = 0.0

    def record_start(self, late_us: int) -> None:
        """Record how late the generator began with a request."""
        self.lateness.record_value(_recordable(late_us))

    def record_outcome(
        self, due_us: int, service_class: str, plan: str, outcome: Outcome, latency_us: int
    ) -> None:
        """Record the end of a request that was due at `due_us`."""
        key = RecordKey(service_class, plan, outcome)
        if key not in self.latencies:
            self.latencies[key] = create_histogram()
        self.latencies[key].record_value(_recordable(latency_us))
        self.outcomes_by_second.setdefault(due_us // US_PER_S, Counter())[outcome] += 1

    def add(self, other: LoadRecord) -> None:
        """Add the record of another process of the same run."""
        for key, histogram in other.latencies.items():
            if key not in self.latencies:
                self.latencies[key] = create_histogram()
            self.latencies[key].add(histogram)
        self.lateness.add(other.lateness)
        for second, outcomes in other.outcomes_by_second.items():
            self.outcomes_by_second.setdefault(second, Counter()).update(outcomes)
        self.surplus_answers += other.surplus_answers
        self.descriptor_shortages += other.descriptor_shortages
        self.played_s = max(self.played_s, other.played_s)

    def latency_of(self, *outcomes: Outcome) -> Histogram:
        """Return one histogram over these outcomes; without any, over all."""
        merged = create_histogram()
        for key, histogram in self.latencies.items():
            if not outcomes or key.outcome in outcomes:
                merged.add(histogram)
        return merged

    def counts(self) -> dict[Outcome, int]:
        """Return how many requests came to each outcome."""
        return {outcome: self.latency_of(outcome).get_total_count() for outcome in Outcome}


def create_histogram() -> Histogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def count_above(histogram: Histogram, threshold_us: float) -> int:
    """Return how many values are above a threshold."""
    return sum(
        step.count_added_in_this_iter_step
        for step in histogram.get_recorded_iterator()
        if step.value_iterated_to > threshold_us
    )


def _recordable(value_us: int) -> int:
    return min(MAX_RECORDED_US, max(1, value_us))
