"""What the engine reports, as errors of plug-ins."""

from __future__ import annotations

import wasmtime

from apigateway.plugins.interfaces import FailureReason, PluginError

ENGINE_ERRORS = (wasmtime.Trap, wasmtime.WasmtimeError)  # all that a call into the engine raises

_MAX_DESCRIBED_LINES = 4
_MAX_DESCRIPTION_LENGTH = 300  # characters
_TRAP_REASONS = {
    wasmtime.TrapCode.OUT_OF_FUEL: FailureReason.FUEL,
    wasmtime.TrapCode.INTERRUPT: FailureReason.TIME,
    wasmtime.TrapCode.STACK_OVERFLOW: FailureReason.STACK,
    wasmtime.TrapCode.MEMORY_OUT_OF_BOUNDS: FailureReason.MEMORY,
    wasmtime.TrapCode.ALLOCATION_TOO_LARGE: FailureReason.MEMORY,
}


class InvalidModuleError(Exception):
    """A module that cannot be used, whatever it would do. The message says why."""


def describe(err: Exception) -> str:
    """Return an engine's error in one line."""
    lines = [line.strip() for line in str(err).splitlines() if line.strip()]
    described = [line for line in lines[:_MAX_DESCRIBED_LINES] if line != "Caused by:"]
    return " ".join(described)[:_MAX_DESCRIPTION_LENGTH]


def plugin_error(err: Exception) -> PluginError:
    """Return what an engine's error means for a call."""
    reason = FailureReason.TRAP
    if isinstance(err, wasmtime.Trap) and err.trap_code is not None:
        reason = _TRAP_REASONS.get(err.trap_code, FailureReason.TRAP)
    return PluginError(reason, describe(err))
