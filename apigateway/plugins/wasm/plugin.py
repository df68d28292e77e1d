"""Plug-ins that are WebAssembly modules."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Concatenate, ParamSpec, TypeVar

from apigateway.plugins import abi
from apigateway.plugins.interfaces import (
    Budget,
    FailureReason,
    Phase,
    PluginError,
    PluginKind,
    Proposal,
    RequestView,
)
from apigateway.plugins.wasm.engine import shared_engine
from apigateway.plugins.wasm.host_functions import HostFunctions
from apigateway.plugins.wasm.instance import CheckedModule, WasmInstance
from apigateway.plugins.wasm.signatures import LOAD_EXPORT, SAVE_EXPORT, SELF_TEST_EXPORT, Lifecycle

_P = ParamSpec("_P")
_T = TypeVar("_T")


class WasmPlugin:
    """Implements interfaces.Plugin with a WebAssembly module.

    A failed call discards the instance with its memory and globals, and the next call creates a new instance.
    The key-value store, the counters and the log's rate limit are kept.

    Attributes:
        name: Name of the plug-in.
        engine: Engine that all modules share.
        host: Host functions of the module, with its state between calls.
        instance: Current instance; None after a failed call.
        reinstantiations: Number of instances that were created after a failure.
    """

    kind = PluginKind.WASM

    def __init__(
        self, name: str, raw: bytes, settings: Mapping[str, Any], budget: Budget, seed: int = 0
    ) -> None:
        """Compile and instantiate a module; `raw` is its binary or text.

        Raises InvalidModuleError if it cannot be used, PluginError if its start function fails.
        """
        self.name = name
        self.engine = shared_engine()
        self.instance: WasmInstance | None = None
        self._settings = settings
        self._budget = budget
        self._seed = seed
        self._module = CheckedModule.compile(self.engine, raw)
        self.phases = self._module.phases
        self.reset()

    def reset(self) -> None:
        """Discard the instance and all state from earlier calls, and create a new instance."""
        self.host = HostFunctions(self.name, self._settings, self._budget, self._seed)
        self.reinstantiations = -1
        self._input_slice = self._instantiate().input_slice

    def _instantiate(self) -> WasmInstance:
        self._discard_instance()
        self.reinstantiations += 1
        self.instance = WasmInstance(self._module, self._budget, self.host)
        return self.instance

    def _discard_instance(self) -> None:
        instance = self.instance
        self.instance = None
        if instance is not None:
            instance.close()

    def close(self) -> None:
        """Discard the instance."""
        self._discard_instance()

    def call(self, phase: Phase, view: RequestView) -> list[Proposal]:
        """Return the module's proposals. Raises PluginError."""
        self.host.now = view.now
        try:
            data = abi.encode_input(phase, view, self._input_slice.address, self._input_slice.length)
            output = self._run(_call_phase, phase, data)
            return abi.decode_proposals(output) if output else []
        except PluginError:
            raise
        except Exception as err:  # an error of wasmtime's binding; no fault of a module may reach the caller
            self._discard_instance()
            raise PluginError(FailureReason.ERROR, f"{type(err).__name__} {err}") from err

    def _run(
        self, operation: Callable[Concatenate[WasmInstance, _P], _T], *args: _P.args, **kwargs: _P.kwargs
    ) -> _T:
        """Run `operation` on the instance, and discard the instance if it fails. Raises PluginError."""
        instance = self.instance if self.instance is not None else self._instantiate()
        try:
            return operation(instance, *args, **kwargs)
        except PluginError:
            self._discard_instance()
            raise

    def self_test(self) -> None:
        """Run the module's own self-test, if it has one. Raises PluginError."""
        if SELF_TEST_EXPORT not in self._module.functions:
            return
        result = self._run(WasmInstance.call, Lifecycle.SELF_TEST, SELF_TEST_EXPORT)
        if result != 0:
            raise PluginError(FailureReason.SELF_TEST, f"returned {result}")

    def save_state(self) -> bytes | None:
        """Return the state for the next version; None if there is none. Raises PluginError."""
        if SAVE_EXPORT not in self._module.functions:
            return None
        return self._run(_save_state)

    def load_state(self, state: bytes) -> bool:
        """Load the previous version's state; return False if it was not loaded. Raises PluginError."""
        if LOAD_EXPORT not in self._module.functions:
            return False
        if len(state) > self._input_slice.length:
            raise PluginError(
                FailureReason.INVALID_DATA,
                f"the state has {len(state)} bytes, the module reserves {self._input_slice.length} for input",
            )
        return self._run(_load_state, state)

    def counters(self) -> dict[str, float]:
        """Return the module's counters by name."""
        return self.host.counters.values

    def fuel_used(self) -> int:
        """Return the fuel that the last call used; the full budget if it failed."""
        return self.instance.fuel_used() if self.instance is not None else self._budget.fuel

    def status(self) -> dict[str, Any]:
        """Return the plug-in's part of the status report."""
        return {
            "memory": self.instance.memory.size if self.instance is not None else 0,
            "key bytes": self.host.key_values.used_bytes,
            "made anew": self.reinstantiations,
            "log lines dropped": self.host.log.dropped,
            "counts dropped": self.host.counters.dropped,
        }


def _call_phase(instance: WasmInstance, phase: Phase, data: bytearray) -> bytes:
    instance.write_input(data)
    packed = instance.call(phase, abi.PHASE_EXPORTS[phase], len(data))
    return instance.read_output(packed, abi.MAX_OUTPUT_BYTES)


def _save_state(instance: WasmInstance) -> bytes:
    packed = instance.call(Lifecycle.SAVE, SAVE_EXPORT)
    return instance.read_output(packed, abi.MAX_STATE_BYTES)


def _load_state(instance: WasmInstance, state: bytes) -> bool:
    if state:
        instance.write_input(bytearray(state))
    return instance.call(Lifecycle.LOAD, LOAD_EXPORT, len(state)) == 0
