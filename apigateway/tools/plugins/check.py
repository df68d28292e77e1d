"""Check plug-ins as a gateway does when it loads them."""

from __future__ import annotations

from typing import Any

from apigateway.plugins.load import proofs
from apigateway.plugins.terms import PHASES, TICK, View
from apigateway.plugins.testkit import settings
from apigateway.plugins.version import Seat
from apigateway.tools.plugins.loading import load_plugins
from apigateway.tools.plugins.report import Report


def check(path: str) -> Report:
    """Load the plug-ins and report what they are. Raises InvalidConfigFileError with all that is wrong."""
    kit = load_plugins(path)
    try:
        return Report([_describe(seat) for seat in kit.seats])
    finally:
        kit.close()


def _describe(seat: Seat) -> str:
    fuel = _max_fuel(seat)
    fuel_text = "" if fuel is None else f", {fuel} of {seat.budget.fuel} fuel at most in its proof"
    phases = ", ".join(phase for phase in PHASES if phase in seat.plugin.phases)
    return f"{seat.name}: good; {seat.plugin.kind}, phases {phases}{fuel_text}"


def _max_fuel(seat: Seat) -> int | None:
    """Return the most fuel that a call of the proof takes; None for a plug-in that needs none."""
    plugin: Any = seat.plugin
    if not hasattr(plugin, "fuel_used"):
        return None
    max_fuel = 0
    for view in proofs(settings()):
        for phase in seat.plugin.phases:
            plugin.call(phase, View(now=view.now) if phase == TICK else view)
            max_fuel = max(max_fuel, plugin.fuel_used())
    return max_fuel
