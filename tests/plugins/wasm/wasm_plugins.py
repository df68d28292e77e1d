"""Helpers that build WebAssembly plug-ins for tests."""

from pathlib import Path

from apigateway.plugins.interfaces import Budget, RequestView
from apigateway.plugins.testkit import module
from apigateway.plugins.wasm import WasmPlugin

EXAMPLES = Path(__file__).resolve().parents[3] / "examples" / "plugins"
BUDGET = Budget(fuel=50_000, memory_bytes=1024 * 1024)
VIEW = RequestView("r1", "c1", "basic", "read", 1.0, 3.0, 100.0)


def make_plugin(body, settings=None, budget=BUDGET):
    """Return a plug-in whose module has this body."""
    return WasmPlugin("p", module(body).encode(), settings or {}, budget, 7)


def export_phase(phase, body):
    """Return the exported function of a phase with this body."""
    return f'(func (export "on_{phase}") (param i32) (result i64) {body})'
