"""The tables that an experiment prints, as lists of cells."""

from __future__ import annotations

from apigateway.tools.experiment.experiment import Experiment
from apigateway.tools.experiment.summary import FigureRange, FiguresByLabel, SecondShares, SummaryRow

MISSING = "-"  # a column that a row has no figure for
FEW_DIGITS_FROM = 100  # figures from this one on have no decimals
SOME_DIGITS_FROM = 10  # from this one on one decimal; smaller ones have three


def figure_table(
    experiment: Experiment, rows: list[SummaryRow], older_figures: FiguresByLabel | None = None
) -> list[list[str]]:
    """Return a heading, and a line for each row.

    A figure whose median lies outside of what the seeds of an earlier run spanned has the older median behind
    it.
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
    if older is not None and not older.least <= figure.median <= older.most:
        text += f" was {format_range(older).partition(' ')[0]}"
    return text


def format_range(figure: FigureRange) -> str:
    """Return a figure as text: its median, and in brackets what the seeds span."""
    size = abs(figure.median)
    if size >= FEW_DIGITS_FROM:
        digits = 0
    elif size >= SOME_DIGITS_FROM:
        digits = 1
    else:
        digits = 3
    if figure.least == figure.most:
        return f"{figure.median:.{digits}f}"
    return f"{figure.median:.{digits}f} ({figure.least:.{digits}f} to {figure.most:.{digits}f})"


def second_table(row: SummaryRow) -> list[list[str]]:
    """Return a heading, and a line for each second from the end of the warm-up on."""
    heading = ["second", *SecondShares._fields]
    lines = [
        [str(number), *(f"{share:.3f}" for share in shares)] for number, shares in enumerate(row.seconds)
    ]
    return [heading, *lines]
