"""Writes the figures of an experiment to a JSON file, and reads them to compare a later run."""

from __future__ import annotations

import json
from typing import Any

from apigateway.tools.experiment.experiment import Experiment
from apigateway.tools.experiment.summary import FigureRange, FiguresByLabel, SummaryRow, row_label

FORMAT_VERSION = 1


def format_report(experiment: Experiment, rows: list[SummaryRow]) -> str:
    """Return the content of a figures file."""
    report = {"version": FORMAT_VERSION, "name": experiment.name, "rows": [_row_as_json(row) for row in rows]}
    return json.dumps(report, indent=1)


def _row_as_json(row: SummaryRow) -> dict[str, Any]:
    return {
        "case": row.case,
        "swept": row.swept,
        "seeds": row.seeds,
        "module": row.is_module,
        "figures": row.figures,
        "seconds": [shares._asdict() for shares in row.seconds],
        "rules": row.violations,
    }


def read_figures(path: str) -> FiguresByLabel:
    """Read the figures of an earlier run from a figures file.

    Raises:
        ValueError: The file cannot be read or is not a figures file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: cannot be read ({error})") from error
    is_report = isinstance(report, dict) and report.get("version") == FORMAT_VERSION
    if not is_report or not isinstance(report.get("rows"), list):
        raise ValueError(f"{path}: is not a figures file of version {FORMAT_VERSION}")
    return {
        row_label(row["case"], row["swept"]): {
            name: FigureRange(*values) for name, values in row["figures"].items()
        }
        for row in report["rows"]
    }
