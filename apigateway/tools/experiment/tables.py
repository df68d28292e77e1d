"""Builds the tables that an experiment prints, as lists of cells."""

from __future__ import annotations

from apigateway.tools.experiment.experiment import Experiment
from apigateway.tools.experiment.summary import FigureRange, FiguresByLabel, SecondShares, SummaryRow

MISSING = "-"  # shown if a row has no figure for a column
NO_DECIMALS_FROM = 100  # figures of at least this size have no decimals
ONE_DECIMAL_FROM = 10  # figures of at least this size have one decimal; smaller ones have three


def figure_table(
    experiment: Experiment, rows: list[SummaryRow], older_figures: FiguresByLabel | None = None
) -> list[list[str]]:
    """Return a heading and a line for each row.

    A figure whose median is outside the range of an earlier run is followed by the median of that run.
    """
    older_figures = older_figures or {}
    lines = [["case", *experiment.columns]]
    for row in rows:
        older = older_figures.get(row.label, {})
        cells = [_figure_cell(row.figures.get(name), older.get(name)) for name in experiment.columns]
        lines.append([row.label, *cells])
    return lines


def _figure_cell(figure: FigureRange | None, older: FigureRange | None) -> str:
    if figure is None:
        return MISSING
    text = format_range(figure)
    if older is not None and not older.minimum <= figure.median <= older.maximum:
        text += f" was {format_range(older).partition(' ')[0]}"
    return text


def format_range(figure: FigureRange) -> str:
    """Format a figure: its median, and the range over the seeds in parentheses."""
    size = abs(figure.median)
    if size >= NO_DECIMALS_FROM:
        digits = 0
    elif size >= ONE_DECIMAL_FROM:
        digits = 1
    else:
        digits = 3
    if figure.minimum == figure.maximum:
        return f"{figure.median:.{digits}f}"
    return f"{figure.median:.{digits}f} ({figure.minimum:.{digits}f} to {figure.maximum:.{digits}f})"


def second_table(row: SummaryRow) -> list[list[str]]:
    """Return a heading and a line for each second after the warm-up."""
    heading = ["second", *SecondShares._fields]
    lines = [
        [str(number), *(f"{share:.3f}" for share in shares)] for number, shares in enumerate(row.seconds)
    ]
    return [heading, *lines]
