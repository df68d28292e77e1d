"""Records the outcomes and latencies of requests, by class, plan and outcome.

Latency is measured from the time a request was due, not from the time it was sent: a generator that waits for
a stalled target would otherwise hide the stall (coordinated omission). The lateness of the generator itself
is recorded separately. Times are whole microseconds.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from apigateway.tools.load.schedule import US_PER_S

MAX_RECORDED_US = 3_600_000_000  # an hour; longer values are recorded as this
SIGNIFICANT_DIGITS = 3  # precision of each recorded value

Histogram = Any  # hdrh has no type hints


class Outcome(enum.StrEnum):
    """The outcome of a request; the values appear in the report."""

    SERVED = "served"
    REFUSED = "refused"  # the gateway rejected it without running it, so a retry is safe
    FAILED = "failed"  # the gateway answered with an error; a host may have run it
    LOST = "lost"  # the client's timeout expired or the connection ended without an answer
    UNSENT = "unsent"  # no connection could be made


class RecordKey(NamedTuple):
    """Key of one latency histogram."""

    service_class: str
    plan: str
    outcome: Outcome


class LoadRecord:
    """The outcomes of one run, or of the part of it that one process sends.

    Attributes:
        latencies: Histograms of the time from when a request was due to its outcome.
        lateness: Histogram of the delay between the time a request was due and the time it was started.
        outcomes_by_second: Number of requests with each outcome, by the second in which they were due.
        surplus_answers: Number of answers that no request was waiting for.
        descriptor_shortages: Number of requests for which the generator had no file descriptor.
        played_s: Seconds of the schedule that were run.
    """

    def __init__(self) -> None:
        self.latencies: dict[RecordKey, Histogram] = {}
        self.lateness = create_histogram()
        self.outcomes_by_second: dict[int, Counter[str]] = {}
        self.surplus_answers = 0
        self.descriptor_shortages = 0
        self.played_s = 0.0

    def record_start(self, late_us: int) -> None:
        """Record how late the generator started a request."""
        self.lateness.record_value(_clamp_recorded(late_us))

    def record_outcome(
        self, due_us: int, service_class: str, plan: str, outcome: Outcome, latency_us: int
    ) -> None:
        """Record the outcome of a request that was due at `due_us`."""
        key = RecordKey(service_class, plan, outcome)
        if key not in self.latencies:
            self.latencies[key] = create_histogram()
        self.latencies[key].record_value(_clamp_recorded(latency_us))
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
        """Return one latency histogram over the given outcomes; over all if none is given."""
        merged = create_histogram()
        for key, histogram in self.latencies.items():
            if not outcomes or key.outcome in outcomes:
                merged.add(histogram)
        return merged

    def counts(self) -> dict[Outcome, int]:
        """Return the number of requests with each outcome."""
        return {outcome: self.latency_of(outcome).get_total_count() for outcome in Outcome}


def create_histogram() -> Histogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def count_above(histogram: Histogram, threshold_us: float) -> int:
    """Return the number of recorded values above a threshold."""
    return sum(
        step.count_added_in_this_iter_step
        for step in histogram.get_recorded_iterator()
        if step.value_iterated_to > threshold_us
    )


def _clamp_recorded(value_us: int) -> int:
    return min(MAX_RECORDED_US, max(1, value_us))
