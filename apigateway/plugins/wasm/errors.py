"""Converts errors of the engine to errors of plug-ins."""

from __future__ import annotations

import wasmtime

from apigateway.plugins.interfaces import FailureReason, PluginError

ENGINE_ERRORS = (wasmtime.Trap, wasmtime.WasmtimeError)  # all exceptions of a call into the engine

_MAX_DESCRIBED_LINES = 4
_MAX_DESCRIPTION_CHARACTERS = 300
_TRAP_REASONS = {
    wasmtime.TrapCode.OUT_OF_FUEL: FailureReason.FUEL,
    wasmtime.TrapCode.INTERRUPT: FailureReason.TIME,
    wasmtime.TrapCode.STACK_OVERFLOW: FailureReason.STACK,
    wasmtime.TrapCode.MEMORY_OUT_OF_BOUNDS: FailureReason.MEMORY,
    wasmtime.TrapCode.ALLOCATION_TOO_LARGE: FailureReason.MEMORY,
}


class InvalidModuleError(Exception):
    """A module is invalid or does not implement the ABI. The message says why."""


def describe_error(err: Exception) -> str:
    """Return an error of the engine as one line."""
    lines = [line.strip() for line in str(err).splitlines() if line.strip()]
    described = [line for line in lines[:_MAX_DESCRIBED_LINES] if line != "Caused by:"]
    return " ".join(described)[:_MAX_DESCRIPTION_CHARACTERS]


def to_plugin_error(err: Exception) -> PluginError:
    """Return the PluginError for an error of the engine during a call."""
    reason = FailureReason.TRAP
    if isinstance(err, wasmtime.Trap) and err.trap_code is not None:
        reason = _TRAP_REASONS.get(err.trap_code, FailureReason.TRAP)
    return PluginError(reason, describe_error(err))
