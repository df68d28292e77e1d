"""The functions of the host that a module may import.

A host function never raises, because wasmtime's Python binding stores the exceptions of host functions in a
variable that all threads share, and modules are validated on another thread than the one that serves
requests. Instead, it records a violation and sets the fuel to 0, which ends the call.
"""

from __future__ import annotations

import datetime
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

import wasmtime
from wasmtime import FuncType

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Budget, PluginError
from apigateway.plugins.language.functions import to_unix_time
from apigateway.plugins.plugin_log import MAX_LINE_CHARACTERS, PluginLog
from apigateway.plugins.plugin_state import MAX_COUNTER_NAME_LENGTH, Counters, KeyValueStore
from apigateway.plugins.wasm.memory import ModuleMemory
from apigateway.plugins.wasm.signatures import (
    HOST_SIGNATURES,
    PERMITTED_FUNCTIONS,
    CallKind,
    HostFunction,
    Lifecycle,
)

_MAX_TEXT_BYTES = 4096  # of a setting's path, a key or a log line
_MAX_UTF8_BYTES = 4  # per character
_NOT_FOUND = -1  # also returned if a value is not stored
_PATH_SEPARATOR = "/"

# The return value of a function that failed.
_FAILURE_RESULTS: dict[HostFunction, float | None] = {
    HostFunction.SETTING: _NOT_FOUND,
    HostFunction.SETTING_NUMBER: math.nan,
    HostFunction.GET: _NOT_FOUND,
    HostFunction.PUT: _NOT_FOUND,
    HostFunction.LOG: None,
    HostFunction.COUNT: None,
    HostFunction.RANDOM: 0.0,
}


class HostFunctions:
    """The host functions of one plug-in, with its settings and its state between calls.

    Attributes:
        key_values: Key-value store of the plug-in.
        counters: Counters of the plug-in.
        log: Log of the plug-in.
        now: Unix time of the call in seconds, for the log's rate limit.
        violation: Description of a forbidden or invalid action in this call; empty if there was none.
    """

    def __init__(self, plugin_name: str, settings: Mapping[str, Any], budget: Budget, seed: int) -> None:
        self.key_values = KeyValueStore(budget.key_value_bytes)
        self.counters = Counters()
        self.log = PluginLog(plugin_name, budget.log_lines)
        self.now = 0.0
        self.violation = ""
        self._settings = settings
        self._random = random.Random(seed)
        self._call_kind: CallKind = Lifecycle.START
        self._store: wasmtime.Store | None = None
        self._memory: ModuleMemory | None = None

    def attach_store(self, store: wasmtime.Store) -> None:
        """Set the store in which the next instance is about to be created."""
        self._store = store
        self._memory = None

    def attach_memory(self, memory: ModuleMemory) -> None:
        """Set the memory of the instance that was created."""
        self._memory = memory

    def begin_call(self, kind: CallKind) -> None:
        """Record the kind of the call that begins, and clear the violation."""
        self._call_kind = kind
        self.violation = ""

    def define_on(self, linker: wasmtime.Linker) -> None:
        """Define the functions on a linker, so that a module can import them."""
        implementations: dict[HostFunction, Callable[..., Any]] = {
            HostFunction.SETTING: self._setting,
            HostFunction.SETTING_NUMBER: self._setting_number,
            HostFunction.GET: self._get,
            HostFunction.PUT: self._put,
            HostFunction.LOG: self._write_log,
            HostFunction.COUNT: self._count,
            HostFunction.RANDOM: self._generate_random,
        }
        for function, implementation in implementations.items():
            signature = HOST_SIGNATURES[function]
            linker.define_func(
                abi.IMPORT_MODULE,
                function.value,
                FuncType(signature.params, signature.results),
                self._guard(function, implementation),
            )

    def _guard(self, function: HostFunction, implementation: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a function so that it checks whether the call is permitted and never raises."""
        failure_result = _FAILURE_RESULTS[function]

        def call(*values: Any) -> Any:
            if self.violation:
                return failure_result
            if function not in PERMITTED_FUNCTIONS[self._call_kind]:
                self._record_violation(f"called {function} in the phase {self._call_kind}")
                return failure_result
            try:
                return implementation(*values)
            except PluginError as err:
                self._record_violation(f"{function}: {err}")
            except Exception as err:
                self._record_violation(f"{function}: {type(err).__name__} {err}")
            return failure_result

        return call

    def _record_violation(self, text: str) -> None:
        self.violation = text
        if self._store is not None:
            self._store.set_fuel(0)  # the call traps at its next instruction

    def _read(self, address: int, length: int, max_length: int = _MAX_TEXT_BYTES) -> bytes:
        assert self._memory is not None  # no function is permitted before the instance is created
        return self._memory.read(address, length, max_length)

    def _write(self, value: bytes | None, address: int, max_length: int) -> int:
        assert self._memory is not None
        return self._memory.write_result(value, address, max_length)

    def _find_setting(self, address: int, length: int) -> Any:
        """Return a setting by its path, such as `district/00000000b4d65521`; None if there is none."""
        setting: Any = self._settings
        path = self._read(address, length).decode("utf-8", "replace")
        for key in path.split(_PATH_SEPARATOR):
            setting = setting.get(key) if isinstance(setting, Mapping) else None
        return setting

    def _setting(self, address: int, length: int, out_address: int, out_size: int) -> int:
        value = self._find_setting(address, length)
        if value is None or isinstance(value, Mapping | list):
            return self._write(None, out_address, out_size)
        if isinstance(value, bool):
            value = "true" if value else "false"
        return self._write(str(value).encode(), out_address, out_size)

    def _setting_number(self, address: int, length: int) -> float:
        value = self._find_setting(address, length)
        if isinstance(value, datetime.date):
            return to_unix_time(value)
        return float(value) if isinstance(value, int | float) else math.nan

    def _get(self, address: int, length: int, out_address: int, out_size: int) -> int:
        return self._write(self.key_values.get(self._read(address, length)), out_address, out_size)

    def _put(self, key_address: int, key_length: int, value_address: int, value_length: int) -> int:
        key = self._read(key_address, key_length)
        value = self._read(value_address, value_length, self.key_values.max_bytes)
        return 0 if self.key_values.put(key, value) else _NOT_FOUND

    def _write_log(self, address: int, length: int) -> None:
        line = self._read(address, length)[: _MAX_UTF8_BYTES * MAX_LINE_CHARACTERS]
        self.log.write(line.decode("utf-8", "replace"), self.now)

    def _count(self, address: int, length: int, amount: float) -> None:
        name = self._read(address, length, MAX_COUNTER_NAME_LENGTH)
        self.counters.add(name.decode("utf-8", "replace"), amount)

    def _generate_random(self) -> float:
        return self._random.random()
