"""Measures the duration of a plug-in's calls. Circuit breakers and CPU shares do not limit the calls."""

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
_ENDPOINT_ID = "bench-host"


def bench(path: str, call_count: int) -> Report:
    """Report the duration of a call in microseconds, for each plug-in and phase."""
    kit = load_plugins(path)
    report = Report()
    try:
        for runner in kit.runners:
            for phase in Phase:
                if phase in runner.plugin.phases:
                    measurements = _measure(runner, phase, max(1, call_count))
                    report.data[f"{runner.name} {phase}"] = measurements
                    report.lines.append(_format_measurements(runner, phase, measurements))
    finally:
        kit.close()
    return report


def _measure(runner: PluginRunner, phase: Phase, call_count: int) -> dict[str, float]:
    """Call a phase; return median and 99th percentile in microseconds, and the fuel of the last call."""
    plugin = runner.plugin
    clock = time.perf_counter
    views = _sample_views(phase)
    durations = []
    for number in range(call_count):
        view = views[number % len(views)]
        started_at = clock()
        plugin.call(phase, view)
        durations.append((clock() - started_at) * _US_PER_S)
    durations.sort()
    measurements = {
        "median": statistics.median(durations),
        "p99": durations[min(call_count - 1, call_count * 99 // 100)],
    }
    fuel_used = getattr(plugin, "fuel_used", None)
    if fuel_used is not None:
        measurements["fuel"] = float(fuel_used())
    return measurements


def _sample_views(phase: Phase) -> list[RequestView]:
    """Return the views that the plug-in is called with."""
    if phase == Phase.TICK:
        return [RequestView(now=time.time())]
    views = sample_requests(settings())
    for view in views:
        if phase in (Phase.ATTEMPT, Phase.ANSWER):
            view.endpoint_id = _ENDPOINT_ID
        if phase == Phase.ANSWER:
            view.outcome = "served"
    return views


def _format_measurements(runner: PluginRunner, phase: Phase, measurements: dict[str, float]) -> str:
    fuel = f", fuel {measurements['fuel']:.0f}" if "fuel" in measurements else ""
    return (
        f"{runner.name}, {phase}: median {measurements['median']:.1f} us, "
        f"99th percentile {measurements['p99']:.1f} us{fuel}"
    )
