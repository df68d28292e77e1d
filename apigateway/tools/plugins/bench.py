"""Measure the cost of a plug-in's call. Budgets do not stop it here."""

from __future__ import annotations

import statistics
import time

from apigateway.plugins.load import proofs
from apigateway.plugins.terms import ANSWER, ATTEMPT, PHASES, TICK, View
from apigateway.plugins.testkit import settings
from apigateway.plugins.version import Seat
from apigateway.tools.plugins.loading import load_plugins
from apigateway.tools.plugins.report import Report

_US_PER_S = 1e6
_HOST = "bench-host"  # of the attempts


def bench(path: str, call_count: int) -> Report:
    """Report the time of a call in microseconds, for each plug-in and phase."""
    kit = load_plugins(path)
    report = Report()
    try:
        for seat in kit.seats:
            for phase in PHASES:
                if phase in seat.plugin.phases:
                    figures = _measure(seat, phase, max(1, call_count))
                    report.figures[f"{seat.name} {phase}"] = figures
                    report.lines.append(_format_figures(seat, phase, figures))
    finally:
        kit.close()
    return report


def _measure(seat: Seat, phase: str, call_count: int) -> dict[str, float]:
    """Call one phase; return median and 99th percentile in microseconds, and the last call's fuel if any."""
    plugin = seat.plugin
    clock = time.perf_counter
    views = _views(phase)
    durations = []
    for number in range(call_count):
        view = views[number % len(views)]
        started_at = clock()
        plugin.call(phase, view)
        durations.append((clock() - started_at) * _US_PER_S)
    durations.sort()
    figures = {
        "median": statistics.median(durations),
        "p99": durations[min(call_count - 1, call_count * 99 // 100)],
    }
    fuel_used = getattr(plugin, "fuel_used", None)
    if fuel_used is not None:
        figures["fuel"] = float(fuel_used())
    return figures


def _views(phase: str) -> list[View]:
    """Return what the plug-in is called with."""
    if phase == TICK:
        return [View(now=time.time())]
    views = proofs(settings())
    for view in views:
        if phase in (ATTEMPT, ANSWER):
            view.host = _HOST
        if phase == ANSWER:
            view.outcome = "served"
    return views


def _format_figures(seat: Seat, phase: str, figures: dict[str, float]) -> str:
    fuel = f", fuel {figures['fuel']:.0f}" if "fuel" in figures else ""
    return (
        f"{seat.name}, {phase}: median {figures['median']:.1f} us, "
        f"99th percentile {figures['p99']:.1f} us{fuel}"
    )
