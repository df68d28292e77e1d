"""Summarizes the results of an experiment over all seeds, for each case and choice of swept values."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.tools.experiment.experiment import Experiment, SweptValue
from apigateway.tools.experiment.runner import RunResult


class FigureRange(NamedTuple):
    """Median and range of a figure over the seeds."""

    median: float
    minimum: float
    maximum: float


class SecondShares(NamedTuple):
    """Shares of one second over all seeds, relative to the first requests within quotas created in it."""

    in_aim: float  # requests that were answered within the latency objective
    refused: float  # requests that were rejected
    in_vain: float  # attempts sent to unreachable hosts


FiguresByLabel = dict[str, dict[str, FigureRange]]  # by the label of the row, figures by name


def row_label(case: str, swept: Mapping[str, Any]) -> str:
    """Return the label of a row: its case and swept values, with keys shortened to their last part."""
    values = " ".join(f"{key.rpartition('.')[2]}={value}" for key, value in swept.items())
    return f"{case} {values}".strip()


@dataclass(frozen=True, slots=True)
class SummaryRow:
    """The results of a case with one choice of swept values.

    Attributes:
        is_module: Whether the policy was a decision module rather than a baseline.
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
        """Return the row's name in tables and plots."""
        return row_label(self.case, self.swept)


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of a run, with its seed."""

    seed: int
    result: RunResult


def summarize(experiment: Experiment, results: Mapping[int, RunResult]) -> list[SummaryRow]:
    """Return a row for each case and choice of swept values with results.

    Args:
        experiment: The experiment.
        results: Results by the number of the run; some runs may be missing.
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
    """Return the shares for each second, over all seeds together."""
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
