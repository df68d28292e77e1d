"""Draws the plots of an experiment with matplotlib."""

from __future__ import annotations

from typing import Any

from apigateway.tools.experiment.experiment import Experiment
from apigateway.tools.experiment.summary import FigureRange, SummaryRow

MISSING_FIGURE = FigureRange(0.0, 0.0, 0.0)
TITLE_SIZE = 9  # points, like all font sizes here
PANEL_TITLE_SIZE = 8
LABEL_SIZE = 7
LEGEND_SIZE = 6


def plot_figures(experiment: Experiment, rows: list[SummaryRow], path: str) -> None:
    """Draw a panel for each column, with a bar for each row and an error bar for the range over its seeds."""
    pyplot = _load_pyplot()
    columns = [name for name in experiment.columns if any(name in row.figures for row in rows)]
    labels = [row.label for row in rows]
    height = 0.8 + 0.22 * len(labels)
    figure, panels = pyplot.subplots(
        1, len(columns), figsize=(2.2 + 1.8 * len(columns), height), sharey=True, squeeze=False
    )
    for panel, name in zip(panels[0], columns, strict=True):
        values = [row.figures.get(name, MISSING_FIGURE) for row in rows]
        error_bars = [
            [value.median - value.minimum for value in values],
            [value.maximum - value.median for value in values],
        ]
        panel.barh(labels, [value.median for value in values], xerr=error_bars, height=0.7)
        panel.set_title(name, fontsize=PANEL_TITLE_SIZE)
        panel.tick_params(labelsize=LABEL_SIZE)
    panels[0][0].invert_yaxis()
    _save(figure, experiment.name, path)


def plot_seconds(experiment: Experiment, rows: list[SummaryRow], path: str) -> None:
    """Draw for each case, by second, the share within the latency objective and the attempts in vain.

    Each row of a case is a line.
    """
    pyplot = _load_pyplot()
    cases = list(dict.fromkeys(row.case for row in rows))
    size = (1.5 + 3.2 * len(cases), 5.0)
    figure, panels = pyplot.subplots(2, len(cases), figsize=size, sharex="col", sharey="row", squeeze=False)
    for above, below, case in zip(*panels, cases, strict=True):
        for row in rows:
            if row.case == case:
                label = row.label.removeprefix(case).strip() or case
                above.plot([shares.in_aim for shares in row.seconds], label=label, linewidth=1.2)
                below.plot([shares.in_vain for shares in row.seconds], label=label, linewidth=1.2)
        above.set_title(case, fontsize=PANEL_TITLE_SIZE)
        above.legend(fontsize=LEGEND_SIZE)
        above.tick_params(labelsize=LABEL_SIZE)
        below.tick_params(labelsize=LABEL_SIZE)
    panels[0][0].set_ylabel("in the aim", fontsize=LABEL_SIZE)
    panels[1][0].set_ylabel("attempts in vain", fontsize=LABEL_SIZE)
    _save(figure, f"{experiment.name}, by second", path)


def _load_pyplot() -> Any:
    import matplotlib

    matplotlib.use("Agg")  # backend that writes files and needs no display
    from matplotlib import pyplot

    return pyplot


def _save(figure: Any, title: str, path: str) -> None:
    figure.suptitle(title, fontsize=TITLE_SIZE)
    figure.tight_layout()
    figure.savefig(path)
    _load_pyplot().close(figure)
