"""`api-gateway experiment`."""

from __future__ import annotations

import argparse
import sys

from apigateway.config_validation import InvalidConfigFileError

OK, FAILED, UNUSABLE = 0, 1, 2


def run(told: argparse.Namespace) -> int:
    """Exit code 1 if a module broke one of the five rules; a baseline keeps none."""
    from rich.console import Console
    from rich.progress import Progress
    from rich.table import Table

    from apigateway.tools.experiment import report
    from apigateway.tools.experiment.plan import read_experiment
    from apigateway.tools.experiment.run import play_all

    try:
        experiment = read_experiment(told.file, told.seeds)
        older = report.read_older(told.compare) if told.compare else None
    except (InvalidConfigFileError, ValueError) as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    results = {}
    stopped = False
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task(experiment.name, total=len(experiment.plays))
        try:
            for number, figures in play_all(experiment.plays, told.processes):
                results[number] = figures
                progress.advance(bar)
        except KeyboardInterrupt:
            stopped = True
    made = report.rows(experiment, results)
    if told.json:
        with open(told.json, "w", encoding="utf-8") as file:
            file.write(report.as_json(experiment, made) + "\n")
    if told.plot and made:
        report.draw(experiment, made, told.plot)
    if told.plot_seconds and made:
        report.draw_seconds(experiment, made, told.plot_seconds)
    heading, *lines = report.table(experiment, made, older)
    table = Table(title=f"{experiment.name}: median over seeds (least to most)")
    for number, name in enumerate(heading):
        table.add_column(name, justify="right" if number else "left")
    for line in lines:
        table.add_row(*line)
    Console(width=None if sys.stdout.isatty() else 200).print(table)
    for row in made if told.seconds else ():
        print(report.label(row))
        print("\n".join("".join(cell.rjust(9) for cell in line) for line in report.second_lines(row)))
    rules = [f"{report.label(row)}: {rule}" for row in made if row["module"] for rule in row["rules"]]
    for rule in rules:
        print(f"BROKEN {rule}")
    if stopped:
        print(f"stopped after {len(results)} of {len(experiment.plays)} plays", file=sys.stderr)
    return FAILED if rules or stopped else OK
