"""What an experiment came to: the figures of each case and setting over all seeds."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.tools.experiment.experiment import Experiment, SweptValue
from apigateway.tools.experiment.runner import RunResult


class FigureRange(NamedTuple):
    """A figure over the seeds."""

    median: float
    least: float
    most: float


class SecondShares(NamedTuple):
    """One second, over all seeds, for each first request inside quotas that was created in it."""

    in_aim: float  # those that were answered within the latency objective
    refused: float  # requests that were rejected
    in_vain: float  # attempts sent to where nothing could be reached


FiguresByLabel = dict[str, dict[str, FigureRange]]  # figures by name, by the label of their row


def row_label(case: str, swept: Mapping[str, Any]) -> str:
    """Return a case and its swept values, without the tables of their keys."""
    values = " ".join(f"{key.rpartition('.')[2]}={value}" for key, value in swept.items())
    return f"{case} {values}".strip()


@dataclass(frozen=True, slots=True)
class SummaryRow:
    """A case with one choice of the swept values.

    Attributes:
        is_module: Whether a decision module was run, and no baseline.
        violations: Broken rules, each with its seed.
    """

    case: str
    swept: dict[str, Any]
    seeds: list[int]
    is_module: bool
    figures: dict[str, FigureRange]
    seconds: list[SecondShares]
    violations: list[str]

    @property
    def label(self) -> str:
        """The row's name in tables and plots."""
        return row_label(self.case, self.swept)


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What a run came to, and its seed."""

    seed: int
    result: RunResult


def summarize(experiment: Experiment, results: Mapping[int, RunResult]) -> list[SummaryRow]:
    """Return a row for each case and choice of swept values that has results.

    Args:
        experiment: The experiment.
        results: By the numbers of the runs; some may be missing.
    """
    groups: dict[tuple[str, tuple[SweptValue, ...]], list[SeedResult]] = {}
    for number, run in enumerate(experiment.runs):
        if number in results:
            group = groups.setdefault((run.case, run.swept), [])
            group.append(SeedResult(run.seed, results[number]))
    return [_summarize_group(case, swept, group) for (case, swept), group in groups.items()]


def _summarize_group(case: str, swept: tuple[SweptValue, ...], group: list[SeedResult]) -> SummaryRow:
    first_result = group[0].result
    all_figures = [seed_result.result.figures for seed_result in group]
    names = [name for name, value in first_result.figures.items() if isinstance(value, int | float)]
    return SummaryRow(
        case=case,
        swept=dict(swept),
        seeds=[seed_result.seed for seed_result in group],
        is_module=first_result.is_module,
        figures={name: _range_of([figures[name] for figures in all_figures]) for name in names},
        seconds=_shares_by_second([figures["seconds"] for figures in all_figures]),
        violations=[
            f"seed {seed_result.seed}: {violation}"
            for seed_result in group
            for violation in seed_result.result.violations
        ],
    )


def _range_of(values: Sequence[float]) -> FigureRange:
    return FigureRange(statistics.median(values), min(values), max(values))


def _shares_by_second(counts_by_seed: list[list[dict[str, int]]]) -> list[SecondShares]:
    """Return the shares of each second over all seeds together."""
    shares = []
    for counts in zip(*counts_by_seed, strict=True):
        total = {name: sum(seed_counts[name] for seed_counts in counts) for name in counts[0]}
        in_quota = max(1, total["inside"])
        shares.append(
            SecondShares(
                in_aim=total["in_aim"] / in_quota,
                refused=total["refused"] / in_quota,
                in_vain=total["in_vain"] / in_quota,
            )
        )
    return shares
