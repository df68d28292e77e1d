"""Draws line plots for the documentation as self-contained SVG files."""

from __future__ import annotations

import math
from collections.abc import Sequence
from html import escape
from typing import NamedTuple

WIDTH, HEIGHT, LEFT, TOP, BOTTOM, RIGHT = 700, 320, 64, 36, 48, 210
COLOURS = ("#1b6ca8", "#c2571a", "#3c8d40", "#7a4fa3", "#8a6d1f", "#555555")


class Line(NamedTuple):
    """One line of a plot."""

    name: str
    points: Sequence[tuple[float, float]]
    dashed: bool = False


def axis_ticks(low: float, high: float, log: bool) -> list[float]:
    """Return the ticks of an axis that covers the given range."""
    if log:
        return [10.0**n for n in range(math.floor(math.log10(low)), math.ceil(math.log10(high)) + 1)]
    step = 10 ** math.floor(math.log10(max(high - low, 1e-9)))
    step = next(size for size in (step / 5, step / 2, step, step * 2) if (high - low) / size <= 8)
    return [n * step for n in range(math.floor(low / step), math.ceil(high / step) + 1)]


def format_tick(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 10 or value == int(value) else f"{value:.2g}"


def draw(
    title: str, x_label: str, y_label: str, lines: Sequence[Line], log_x: bool = False, log_y: bool = False
) -> str:
    """Return a plot as SVG. `log_x` and `log_y` make an axis logarithmic; its values must be above 0."""
    xs = [x for line in lines for x, _ in line.points]
    ys = [y for line in lines for _, y in line.points]
    x_ticks = axis_ticks(min(xs), max(xs), log_x)
    y_ticks = axis_ticks(min(ys) if log_y else 0.0, max(ys) or 1.0, log_y)

    def scale(value: float, axis: list[float], log: bool, begin: float, end: float) -> float:
        low, high = axis[0], axis[-1]
        if log:
            value, low, high = math.log10(value), math.log10(low), math.log10(high)
        return begin + (value - low) / ((high - low) or 1.0) * (end - begin)

    def to_pixels(x: float, y: float) -> tuple[float, float]:
        return (scale(x, x_ticks, log_x, LEFT, WIDTH - RIGHT), scale(y, y_ticks, log_y, HEIGHT - BOTTOM, TOP))

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="20" font-size="14">{escape(title)}</text>',
    ]
    for tick in y_ticks:
        _, y = to_pixels(x_ticks[0], tick)
        parts.append(
            f'<line x1="{LEFT}" y1="{y:.1f}" x2="{WIDTH - RIGHT}" y2="{y:.1f}" stroke="#ddd"/>'
            f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{format_tick(tick)}</text>'
        )
    for tick in x_ticks:
        x, _ = to_pixels(tick, y_ticks[0])
        parts.append(
            f'<text x="{x:.1f}" y="{HEIGHT - BOTTOM + 18}" text-anchor="middle">{format_tick(tick)}</text>'
        )
    parts.append(
        f'<text x="{(LEFT + WIDTH - RIGHT) / 2}" y="{HEIGHT - 8}" text-anchor="middle">'
        f"{escape(x_label)}</text>"
        f'<text x="14" y="{HEIGHT / 2}" transform="rotate(-90 14 {HEIGHT / 2})" '
        f'text-anchor="middle">{escape(y_label)}</text>'
    )
    for number, line in enumerate(lines):
        colour = COLOURS[number % len(COLOURS)]
        dash = ' stroke-dasharray="5 4"' if line.dashed else ""
        points = " ".join(f"{x:.1f},{y:.1f}" for x, y in (to_pixels(*point) for point in line.points))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"{dash}/>')
        y = TOP + 14 + 18 * number
        parts.append(
            f'<line x1="{WIDTH - RIGHT + 10}" y1="{y}" x2="{WIDTH - RIGHT + 34}" y2="{y}" '
            f'stroke="{colour}" stroke-width="2"{dash}/>'
            f'<text x="{WIDTH - RIGHT + 40}" y="{y + 4}">{escape(line.name)}</text>'
        )
    return "\n".join([*parts, "</svg>\n"])
