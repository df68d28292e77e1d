"""One instance of a module, each call of which has the whole budget."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import wasmtime

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Budget, FailureReason, Phase, PluginError
from apigateway.plugins.wasm.engine import EPOCH_LENGTH, WasmEngine, compile_module
from apigateway.plugins.wasm.errors import ENGINE_ERRORS, InvalidModuleError, plugin_error
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
    """A compiled module that keeps to the ABI.

    Attributes:
        functions: The names of the ABI's functions that it exports.
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
    """An instance of a module. After a call that raised it must not be used any more.

    Attributes:
        input: Where the module keeps room for its input.
    """

    def __init__(self, module: CheckedModule, budget: Budget, host: HostFunctions) -> None:
        """Instantiate a module.

        Raises InvalidModuleError where it does not keep to the ABI, PluginError where its start fails.
        """
        self._engine = module.engine
        self._budget = budget
        self._host = host
        self._epochs = max(1, math.ceil(budget.call_time / EPOCH_LENGTH)) + 1  # of a call
        self._store = wasmtime.Store(module.engine.engine)
        try:
            exports = self._instantiate(module)
            self.memory = ModuleMemory(self._store, exports[MEMORY_EXPORT])
            self.input = self._check_globals(exports)
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
            raise self._failure(err) from err
        self._check_violation()
        return exports

    def _check_globals(self, exports: Any) -> abi.MemorySlice:
        """Return where the input is to be written. Raises InvalidModuleError."""
        version, address, size = (
            int(exports[name].value(self._store)) & _U32_MASK
            for name in (abi.VERSION_GLOBAL, abi.INPUT_ADDRESS_GLOBAL, abi.INPUT_SIZE_GLOBAL)
        )
        if version != abi.ABI_VERSION:
            raise InvalidModuleError(f"is of ABI version {version}, this gateway has {abi.ABI_VERSION}")
        memory_size = self.memory.size
        if size < abi.MIN_INPUT_SIZE or address + size > memory_size:
            raise InvalidModuleError(
                f"keeps {size} bytes at {address} of {memory_size} for input; {abi.MIN_INPUT_SIZE} at least"
            )
        return abi.MemorySlice(address, size)

    def call(self, kind: CallKind, function: str, *values: int) -> int:
        """Return the result of one call. Raises PluginError."""
        self._begin_call(kind)
        try:
            result = self._functions[function](self._store, *values)
        except ENGINE_ERRORS as err:
            raise self._failure(err) from err
        self._check_violation()
        return int(result)

    def _begin_call(self, kind: CallKind) -> None:
        self._host.begin_call(kind)
        self._engine.on_call()
        self._store.set_fuel(self._budget.fuel)
        self._store.set_epoch_deadline(self._epochs)

    def _failure(self, err: Exception) -> PluginError:
        """A violation is why the call ended, whatever the engine says of it."""
        if self._host.violation:
            return PluginError(FailureReason.TRAP, self._host.violation)
        return plugin_error(err)

    def _check_violation(self) -> None:
        if self._host.violation:
            raise PluginError(FailureReason.TRAP, self._host.violation)

    def write_input(self, data: bytearray) -> None:
        """Write the input of the next call, which must fit."""
        self.memory.write_unchecked(data, self.input.address)

    def read_output(self, packed: int, max_length: int) -> bytes:
        """Return the bytes that a call's result points to. Raises PluginError where it points outside."""
        if not packed:
            return b""
        output = abi.decode_pointer(packed, self.memory.size, max_length)
        return self.memory.read_unchecked(output.address, output.length)

    def fuel_used(self) -> int:
        """Return what the last call used."""
        return self._budget.fuel - int(self._store.get_fuel())

    def close(self) -> None:
        """Free it."""
        self._store.close()
