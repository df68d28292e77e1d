"""What the plays came to: figures over seeds, a table, a plot, and what has changed since an older file."""

from __future__ import annotations

import json
import statistics
from typing import Any

from apigateway.tools.experiment.plan import Experiment

VERSION = 1
Row = dict[str, Any]


def rows(experiment: Experiment, results: dict[int, dict[str, Any]]) -> list[Row]:
    """One for each case and setting: of each figure its median over the seeds, the least and the most."""
    grouped: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for number, play in enumerate(experiment.plays):
        if number in results:
            grouped.setdefault((play.case, play.swept), []).append({**results[number], "seed": play.seed})
    made = []
    for (case, swept), played in grouped.items():
        names = [
            name
            for name, value in played[0].items()
            if isinstance(value, int | float) and name not in ("seed", "module")
        ]
        figures = {
            name: [
                statistics.median(p[name] for p in played),
                min(p[name] for p in played),
                max(p[name] for p in played),
            ]
            for name in names
        }
        rules = [f"seed {p['seed']}: {rule}" for p in played for rule in p["rules"]]
        made.append(
            {
                "case": case,
                "swept": dict(swept),
                "seeds": [p["seed"] for p in played],
                "module": played[0]["module"],
                "figures": figures,
                "seconds": by_second([p["seconds"] for p in played]),
                "rules": rules,
            }
        )
    return made


def by_second(played: list[list[dict[str, int]]]) -> list[dict[str, float]]:
    """Over all seeds together: the part in the aim of what came in each second, and tries refused and
    attempts in vain for each first try inside quotas of it."""
    told = []
    for counts in zip(*played, strict=True):
        total = {name: sum(one[name] for one in counts) for name in counts[0]}
        inside = max(1, total.pop("inside"))
        told.append({name: count / inside for name, count in total.items()})
    return told


def as_json(experiment: Experiment, made: list[Row]) -> str:
    return json.dumps({"version": VERSION, "name": experiment.name, "rows": made}, indent=1)


def read_older(path: str) -> list[Row]:
    """Rows of a file that `--json` wrote. Raises ValueError with the reason."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as err:
        raise ValueError(f"{path}: cannot be read ({err})") from err
    if not isinstance(told, dict) or told.get("version") != VERSION or not isinstance(told.get("rows"), list):
        raise ValueError(f"{path}: is no file of figures of version {VERSION}")
    return list(told["rows"])


def label(row: Row) -> str:
    swept = " ".join(f"{key.rpartition('.')[2]}={value}" for key, value in row["swept"].items())
    return f"{row['case']} {swept}".strip()


def shown(figure: list[float]) -> str:
    middle, least, most = figure
    digits = 0 if abs(middle) >= 100 else 1 if abs(middle) >= 10 else 3
    if least == most:
        return f"{middle:.{digits}f}"
    return f"{middle:.{digits}f} ({least:.{digits}f} to {most:.{digits}f})"


def table(experiment: Experiment, made: list[Row], older: list[Row] | None = None) -> list[list[str]]:
    """Heading and lines. With an older file's rows each figure that lies outside of what the seeds span there
    has the older median behind it."""
    before = {label(row): row["figures"] for row in older or []}
    lines = [["case", *experiment.columns]]
    for row in made:
        line, old = [label(row)], before.get(label(row), {})
        for name in experiment.columns:
            figure = row["figures"].get(name)
            if figure is None:
                line.append("-")
                continue
            text, was = shown(figure), old.get(name)
            if was is not None and not was[1] <= figure[0] <= was[2]:
                text += f" was {shown(was).partition(' ')[0]}"
            line.append(text)
        lines.append(line)
    return lines


def second_lines(row: Row) -> list[list[str]]:
    """Heading and lines: one for each second from the end of the warm-up on."""
    return [
        ["second", "in_aim", "refused", "in_vain"],
        *(
            [str(n), *(f"{value:.3f}" for value in second.values())]
            for n, second in enumerate(row["seconds"])
        ),
    ]


def draw_seconds(experiment: Experiment, made: list[Row], path: str) -> None:
    """A panel for each case, a line for each setting: the part in the aim, second by second; and below what
    was sent in vain. By matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = list(dict.fromkeys(row["case"] for row in made))
    figure, panels = pyplot.subplots(
        2, len(cases), figsize=(1.5 + 3.2 * len(cases), 5.0), sharex="col", sharey="row", squeeze=False
    )
    for above, below, case in zip(*panels, cases, strict=True):
        for row in made:
            if row["case"] == case:
                text = label(row).removeprefix(case).strip() or case
                for panel, name in ((above, "in_aim"), (below, "in_vain")):
                    panel.plot([second[name] for second in row["seconds"]], label=text, linewidth=1.2)
        above.set_title(case, fontsize=8)
        above.legend(fontsize=6)
        for panel in (above, below):
            panel.tick_params(labelsize=7)
    panels[0][0].set_ylabel("in the aim", fontsize=7)
    panels[1][0].set_ylabel("attempts in vain", fontsize=7)
    figure.suptitle(f"{experiment.name}, by second", fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def draw(experiment: Experiment, made: list[Row], path: str) -> None:
    """A panel for each column, a bar for each row with what its seeds span. By matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = [name for name in experiment.columns if any(name in row["figures"] for row in made)]
    names = [label(row) for row in made]
    height = 0.8 + 0.22 * len(names)
    figure, panels = pyplot.subplots(
        1, len(columns), figsize=(2.2 + 1.8 * len(columns), height), sharey=True, squeeze=False
    )
    for panel, name in zip(panels[0], columns, strict=True):
        told = [row["figures"].get(name, [0.0, 0.0, 0.0]) for row in made]
        spans = [[m - low for m, low, _ in told], [high - m for m, _, high in told]]
        panel.barh(names, [m for m, *_ in told], xerr=spans, height=0.7)
        panel.set_title(name, fontsize=8)
        panel.tick_params(labelsize=7)
    panels[0][0].invert_yaxis()
    figure.suptitle(experiment.name, fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
