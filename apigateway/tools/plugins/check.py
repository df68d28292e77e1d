"""Checks plug-ins as a gateway does when it loads them."""

from __future__ import annotations

from typing import Any

from apigateway.plugins.interfaces import Phase, RequestView
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.testkit import settings
from apigateway.plugins.validation import sample_requests
from apigateway.tools.plugins.loading import load_plugins
from apigateway.tools.plugins.report import Report


def check(path: str) -> Report:
    """Load the plug-ins and describe them. Raises InvalidConfigFileError with all problems."""
    kit = load_plugins(path)
    try:
        return Report([_describe(runner) for runner in kit.runners])
    finally:
        kit.close()


def _describe(runner: PluginRunner) -> str:
    fuel = _max_fuel(runner)
    fuel_text = "" if fuel is None else f", at most {fuel} of {runner.budget.fuel} fuel used in validation"
    phases = ", ".join(phase for phase in Phase if phase in runner.plugin.phases)
    return f"{runner.name}: good; {runner.plugin.kind}, phases {phases}{fuel_text}"


def _max_fuel(runner: PluginRunner) -> int | None:
    """Return the most fuel that a call with a sample request uses; None if the plug-in uses no fuel."""
    plugin: Any = runner.plugin
    if not hasattr(plugin, "fuel_used"):
        return None
    max_fuel = 0
    for view in sample_requests(settings()):
        for phase in runner.plugin.phases:
            plugin.call(phase, RequestView(now=view.now) if phase == Phase.TICK else view)
            max_fuel = max(max_fuel, plugin.fuel_used())
    return max_fuel
