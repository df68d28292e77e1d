"""An instance of a module; each call has the full budget."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import wasmtime

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Budget, FailureReason, Phase, PluginError
from apigateway.plugins.wasm.engine import EPOCH_LENGTH_S, WasmEngine, compile_module
from apigateway.plugins.wasm.errors import ENGINE_ERRORS, InvalidModuleError, to_plugin_error
from apigateway.plugins.wasm.host_functions import HostFunctions
from apigateway.plugins.wasm.memory import ModuleMemory
from apigateway.plugins.wasm.signatures import (
    EXPORT_SIGNATURES,
    MEMORY_EXPORT,
    CallKind,
    Lifecycle,
    check_signatures,
)

_MAX_TABLE_ELEMENTS = 10_000
_MAX_TABLES = 4
_U32_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class CheckedModule:
    """A compiled module that implements the ABI.

    Attributes:
        engine: Engine that compiled the module.
        module: The compiled module.
        phases: Phases that the module implements.
        functions: Names of the ABI's functions that the module exports.
    """

    engine: WasmEngine
    module: wasmtime.Module
    phases: frozenset[Phase]
    functions: frozenset[str]

    @classmethod
    def compile(cls, engine: WasmEngine, raw: bytes) -> CheckedModule:
        """Compile a module from its binary or text. Raises InvalidModuleError."""
        module = compile_module(engine, raw)
        phases = check_signatures(module)
        exported = {item.name for item in module.exports}
        return cls(engine, module, phases, frozenset(name for name in EXPORT_SIGNATURES if name in exported))


class WasmInstance:
    """An instance of a module, which must not be used after a call has raised.

    Attributes:
        memory: Memory of the instance.
        input_slice: Memory range that the module reserves for its input.
    """

    def __init__(self, module: CheckedModule, budget: Budget, host: HostFunctions) -> None:
        """Instantiate a module.

        Raises InvalidModuleError if it does not implement the ABI, PluginError if its start function fails.
        """
        self._engine = module.engine
        self._budget = budget
        self._host = host
        self._max_epochs = max(1, math.ceil(budget.call_time / EPOCH_LENGTH_S)) + 1  # per call
        self._store = wasmtime.Store(module.engine.engine)
        try:
            exports = self._instantiate(module)
            self.memory = ModuleMemory(self._store, exports[MEMORY_EXPORT])
            self.input_slice = self._check_globals(exports)
        except BaseException:
            self.close()
            raise
        host.attach_memory(self.memory)
        self._functions = {name: exports[name] for name in module.functions}

    def _instantiate(self, module: CheckedModule) -> Any:
        store = self._store
        store.set_limits(
            memory_size=self._budget.memory_bytes,
            table_elements=_MAX_TABLE_ELEMENTS,
            instances=1,
            tables=_MAX_TABLES,
            memories=1,
        )
        linker = wasmtime.Linker(self._engine.engine)
        self._host.define_on(linker)
        self._host.attach_store(store)
        self._begin_call(Lifecycle.START)
        try:
            exports = linker.instantiate(store, module.module).exports(store)
        except ENGINE_ERRORS as err:
            raise self._to_plugin_error(err) from err
        self._check_violation()
        return exports

    def _check_globals(self, exports: Any) -> abi.MemorySlice:
        """Check the ABI's globals and return the input's memory range. Raises InvalidModuleError."""
        version, address, size = (
            int(exports[name].value(self._store)) & _U32_MASK
            for name in (abi.VERSION_GLOBAL, abi.INPUT_ADDRESS_GLOBAL, abi.INPUT_SIZE_GLOBAL)
        )
        if version != abi.ABI_VERSION:
            raise InvalidModuleError(f"has ABI version {version}, this gateway supports {abi.ABI_VERSION}")
        memory_size = self.memory.size
        if size < abi.MIN_INPUT_BYTES or address + size > memory_size:
            raise InvalidModuleError(
                f"reserves {size} bytes at {address} of {memory_size} for input; needs {abi.MIN_INPUT_BYTES}"
            )
        return abi.MemorySlice(address, size)

    def call(self, kind: CallKind, function: str, *values: int) -> int:
        """Call an exported function and return its result. Raises PluginError."""
        self._begin_call(kind)
        try:
            result = self._functions[function](self._store, *values)
        except ENGINE_ERRORS as err:
            raise self._to_plugin_error(err) from err
        self._check_violation()
        return int(result)

    def _begin_call(self, kind: CallKind) -> None:
        self._host.begin_call(kind)
        self._engine.start_clock()
        self._store.set_fuel(self._budget.fuel)
        self._store.set_epoch_deadline(self._max_epochs)

    def _to_plugin_error(self, err: Exception) -> PluginError:
        """Convert an error of the engine; a recorded violation takes precedence as the cause."""
        if self._host.violation:
            return PluginError(FailureReason.TRAP, self._host.violation)
        return to_plugin_error(err)

    def _check_violation(self) -> None:
        if self._host.violation:
            raise PluginError(FailureReason.TRAP, self._host.violation)

    def write_input(self, data: bytearray) -> None:
        """Write the input of the next call, which must fit into the input range."""
        self.memory.write_unchecked(data, self.input_slice.address)

    def read_output(self, packed: int, max_length: int) -> bytes:
        """Return the bytes that a call's result points to. Raises PluginError if they are out of bounds."""
        if not packed:
            return b""
        output = abi.decode_pointer(packed, self.memory.size, max_length)
        return self.memory.read_unchecked(output.address, output.length)

    def fuel_used(self) -> int:
        """Return the fuel that the last call used."""
        return self._budget.fuel - int(self._store.get_fuel())

    def close(self) -> None:
        """Release the instance's store."""
        self._store.close()
