"""Plots for the documents: lines in an SVG that needs nothing else, so that a page shows them as it is."""

from __future__ import annotations

import math
from collections.abc import Sequence
from html import escape
from typing import NamedTuple

WIDTH, HEIGHT, LEFT, TOP, BOTTOM, RIGHT = 700, 320, 64, 36, 48, 210
COLOURS = ("#1b6ca8", "#c2571a", "#3c8d40", "#7a4fa3", "#8a6d1f", "#555555")


class Line(NamedTuple):
    name: str
    points: Sequence[tuple[float, float]]
    dashed: bool = False


def ticks(low: float, high: float, log: bool) -> list[float]:
    if log:
        return [10.0**n for n in range(math.floor(math.log10(low)), math.ceil(math.log10(high)) + 1)]
    step = 10 ** math.floor(math.log10(max(high - low, 1e-9)))
    step = next(s for s in (step / 5, step / 2, step, step * 2) if (high - low) / s <= 8)
    return [n * step for n in range(math.floor(low / step), math.ceil(high / step) + 1)]


def shown(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 10 or value == int(value) else f"{value:.2g}"


def draw(
    title: str, across: str, up: str, lines: Sequence[Line], log_x: bool = False, log_y: bool = False
) -> str:
    """One plot. With `log_x` or `log_y` that axis is in powers of ten, and its values are above 0."""
    xs = [x for line in lines for x, _ in line.points]
    ys = [y for line in lines for _, y in line.points]
    x_ticks = ticks(min(xs), max(xs), log_x)
    y_ticks = ticks(min(ys) if log_y else 0.0, max(ys) or 1.0, log_y)

    def place(value: float, marks: list[float], log: bool, begin: float, end: float) -> float:
        low, high = marks[0], marks[-1]
        if log:
            value, low, high = math.log10(value), math.log10(low), math.log10(high)
        return begin + (value - low) / ((high - low) or 1.0) * (end - begin)

    def at(x: float, y: float) -> tuple[float, float]:
        return (place(x, x_ticks, log_x, LEFT, WIDTH - RIGHT), place(y, y_ticks, log_y, HEIGHT - BOTTOM, TOP))

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="20" font-size="14">{escape(title)}</text>',
    ]
    for tick in y_ticks:
        _, y = at(x_ticks[0], tick)
        parts.append(
            f'<line x1="{LEFT}" y1="{y:.1f}" x2="{WIDTH - RIGHT}" y2="{y:.1f}" stroke="#ddd"/>'
            f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{shown(tick)}</text>'
        )
    for tick in x_ticks:
        x, _ = at(tick, y_ticks[0])
        parts.append(
            f'<text x="{x:.1f}" y="{HEIGHT - BOTTOM + 18}" text-anchor="middle">{shown(tick)}</text>'
        )
    parts.append(
        f'<text x="{(LEFT + WIDTH - RIGHT) / 2}" y="{HEIGHT - 8}" text-anchor="middle">'
        f"{escape(across)}</text>"
        f'<text x="14" y="{HEIGHT / 2}" transform="rotate(-90 14 {HEIGHT / 2})" '
        f'text-anchor="middle">{escape(up)}</text>'
    )
    for number, line in enumerate(lines):
        colour = COLOURS[number % len(COLOURS)]
        dash = ' stroke-dasharray="5 4"' if line.dashed else ""
        points = " ".join(f"{x:.1f},{y:.1f}" for x, y in (at(*point) for point in line.points))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"{dash}/>')
        y = TOP + 14 + 18 * number
        parts.append(
            f'<line x1="{WIDTH - RIGHT + 10}" y1="{y}" x2="{WIDTH - RIGHT + 34}" y2="{y}" '
            f'stroke="{colour}" stroke-width="2"{dash}/>'
            f'<text x="{WIDTH - RIGHT + 40}" y="{y + 4}">{escape(line.name)}</text>'
        )
    return "\n".join([*parts, "</svg>\n"])
