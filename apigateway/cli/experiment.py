"""`api-gateway experiment`: run a simulation of a fleet."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import NamedTuple

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from apigateway.config_validation import InvalidConfigFileError
from apigateway.exit_codes import ExitCode
from apigateway.tools.experiment.experiment import Experiment
from apigateway.tools.experiment.experiment_file import read_experiment
from apigateway.tools.experiment.json_report import format_report, read_figures
from apigateway.tools.experiment.plots import plot_figures, plot_seconds
from apigateway.tools.experiment.runner import RunResult, run_simulations
from apigateway.tools.experiment.summary import FiguresByLabel, SummaryRow, summarize
from apigateway.tools.experiment.tables import figure_table, second_table

_WIDTH_WITHOUT_TERMINAL = 200  # characters of a table's line if standard output is not a terminal
_SECOND_COLUMN_WIDTH = 9  # characters of a column in the table by second


@dataclass(frozen=True, slots=True)
class ExperimentOptions:
    """The command's arguments.

    Attributes:
        path: Path of the experiment file.
        seed_count: Use seeds 1 to this number; 0: use the seeds in the file.
        process_count: Number of parallel processes; 0: all cores but one.
        json_path: Output file of the figures; empty: none.
        compare_path: File with the figures of an earlier run; empty: none.
        plot_path: Output file of the plot; empty: none.
        plot_seconds_path: Output file of the plot by second; empty: none.
        print_seconds: Whether to print each case by second as well.
    """

    path: str
    seed_count: int
    process_count: int
    json_path: str | None
    compare_path: str | None
    plot_path: str | None
    plot_seconds_path: str | None
    print_seconds: bool


class _Results(NamedTuple):
    """Results by the number of the run, and whether the user stopped the experiment before the last run."""

    by_run: dict[int, RunResult]
    is_stopped: bool


def run(options: ExperimentOptions) -> int:
    """Run an experiment and print its figures; return the exit code.

    The code is FAILED if a module broke one of the five rules or the user stopped the experiment. Baselines
    do not count, since they keep none of the rules.
    """
    try:
        experiment = read_experiment(options.path, options.seed_count)
        older_figures = read_figures(options.compare_path) if options.compare_path else None
    except (InvalidConfigFileError, ValueError) as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    results = _run_all(experiment, options.process_count)
    rows = summarize(experiment, results.by_run)
    _write_files(options, experiment, rows)
    _print_table(experiment, rows, older_figures)
    if options.print_seconds:
        _print_seconds(rows)
    has_broken_rules = _print_broken_rules(rows)
    if results.is_stopped:
        print(f"stopped after {len(results.by_run)} of {len(experiment.runs)} runs", file=sys.stderr)
    return ExitCode.FAILED if has_broken_rules or results.is_stopped else ExitCode.OK


def _run_all(experiment: Experiment, process_count: int) -> _Results:
    """Run everything with a progress bar, until the user interrupts it."""
    results: dict[int, RunResult] = {}
    with Progress(console=Console(stderr=True), transient=True) as progress:
        progress_task = progress.add_task(experiment.name, total=len(experiment.runs))
        try:
            for number, result in run_simulations(experiment.runs, process_count):
                results[number] = result
                progress.advance(progress_task)
        except KeyboardInterrupt:
            return _Results(results, is_stopped=True)
    return _Results(results, is_stopped=False)


def _write_files(options: ExperimentOptions, experiment: Experiment, rows: list[SummaryRow]) -> None:
    if options.json_path:
        with open(options.json_path, "w", encoding="utf-8") as file:
            file.write(format_report(experiment, rows) + "\n")
    if options.plot_path and rows:
        plot_figures(experiment, rows, options.plot_path)
    if options.plot_seconds_path and rows:
        plot_seconds(experiment, rows, options.plot_seconds_path)


def _print_table(
    experiment: Experiment, rows: list[SummaryRow], older_figures: FiguresByLabel | None
) -> None:
    heading, *lines = figure_table(experiment, rows, older_figures)
    table = Table(title=f"{experiment.name}: median over seeds (least to most)")
    for index, name in enumerate(heading):
        table.add_column(name, justify="right" if index else "left")
    for line in lines:
        table.add_row(*line)
    Console(width=None if sys.stdout.isatty() else _WIDTH_WITHOUT_TERMINAL).print(table)


def _print_seconds(rows: list[SummaryRow]) -> None:
    for row in rows:
        print(row.label)
        for line in second_table(row):
            print("".join(cell.rjust(_SECOND_COLUMN_WIDTH) for cell in line))


def _print_broken_rules(rows: list[SummaryRow]) -> bool:
    """Print the rules that modules broke; return whether any were broken."""
    violations = [
        f"{row.label}: {violation}" for row in rows if row.is_module for violation in row.violations
    ]
    for text in violations:
        print(f"BROKEN {text}")
    return bool(violations)
