"""Measure the cost of a plug-in's call. Budgets do not stop it here."""

from __future__ import annotations

import statistics
import time

from apigateway.plugins.interfaces import Phase, RequestView
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.testkit import settings
from apigateway.plugins.validation import sample_requests
from apigateway.tools.plugins.loading import load_plugins
from apigateway.tools.plugins.report import Report

_US_PER_S = 1e6
_HOST = "bench-host"  # of the attempts


def bench(path: str, call_count: int) -> Report:
    """Report the time of a call in microseconds, for each plug-in and phase."""
    kit = load_plugins(path)
    report = Report()
    try:
        for runner in kit.runners:
            for phase in Phase:
                if phase in runner.plugin.phases:
                    figures = _measure(runner, phase, max(1, call_count))
                    report.data[f"{runner.name} {phase}"] = figures
                    report.lines.append(_format_figures(runner, phase, figures))
    finally:
        kit.close()
    return report


def _measure(runner: PluginRunner, phase: Phase, call_count: int) -> dict[str, float]:
    """Call one phase; return median and 99th percentile in microseconds, and the last call's fuel if any."""
    plugin = runner.plugin
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


def _views(phase: Phase) -> list[RequestView]:
    """Return what the plug-in is called with."""
    if phase == Phase.TICK:
        return [RequestView(now=time.time())]
    views = sample_requests(settings())
    for view in views:
        if phase in (Phase.ATTEMPT, Phase.ANSWER):
            view.endpoint_id = _HOST
        if phase == Phase.ANSWER:
            view.outcome = "served"
    return views


def _format_figures(runner: PluginRunner, phase: Phase, figures: dict[str, float]) -> str:
    fuel = f", fuel {figures['fuel']:.0f}" if "fuel" in figures else ""
    return (
        f"{runner.name}, {phase}: median {figures['median']:.1f} us, "
        f"99th percentile {figures['p99']:.1f} us{fuel}"
    )
