"""The types of the ABI's imports and exports, and the check of a module against them."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

import wasmtime
from wasmtime import FuncType, ValType

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Phase
from apigateway.plugins.wasm.errors import InvalidModuleError

I32 = ValType.i32()
I64 = ValType.i64()
F64 = ValType.f64()


class Signature(NamedTuple):
    """The types of a function's parameters and results."""

    params: list[ValType]
    results: list[ValType]


class Lifecycle(enum.StrEnum):
    """Calls of a module that do not belong to a phase. The values are part of error messages."""

    START = "start"  # instantiation, which runs the start function
    SELF_TEST = "self_test"
    SAVE = "save"
    LOAD = "load"


CallKind = Phase | Lifecycle


class HostFunction(enum.StrEnum):
    """Functions that a module may import. The values are their names."""

    SETTING = "setting"
    SETTING_NUMBER = "setting_number"
    GET = "get"
    PUT = "put"
    LOG = "log"
    COUNT = "count"
    RANDOM = "random"


HOST_SIGNATURES = {
    HostFunction.SETTING: Signature([I32, I32, I32, I32], [I32]),
    HostFunction.SETTING_NUMBER: Signature([I32, I32], [F64]),
    HostFunction.GET: Signature([I32, I32, I32, I32], [I32]),
    HostFunction.PUT: Signature([I32, I32, I32, I32], [I32]),
    HostFunction.LOG: Signature([I32, I32], []),
    HostFunction.COUNT: Signature([I32, I32, F64], []),
    HostFunction.RANDOM: Signature([], [F64]),
}

_READ_FUNCTIONS = frozenset((HostFunction.SETTING, HostFunction.SETTING_NUMBER, HostFunction.GET))
_ALL_FUNCTIONS = frozenset(HostFunction)
# The functions that are permitted in each call; the start function may call none, as it has no budget yet.
PERMITTED_FUNCTIONS: dict[CallKind, frozenset[HostFunction]] = {
    Lifecycle.START: frozenset(),
    Lifecycle.SAVE: _READ_FUNCTIONS,
    Lifecycle.LOAD: _READ_FUNCTIONS | {HostFunction.PUT},
    Lifecycle.SELF_TEST: _ALL_FUNCTIONS,
    **dict.fromkeys(Phase, _ALL_FUNCTIONS),
}

SELF_TEST_EXPORT = "self_test"
SAVE_EXPORT = "on_save"
LOAD_EXPORT = "on_load"
MEMORY_EXPORT = "memory"
EXPORT_SIGNATURES = {
    **{name: Signature([I32], [I64]) for name in abi.PHASE_EXPORTS.values()},
    SELF_TEST_EXPORT: Signature([], [I32]),
    SAVE_EXPORT: Signature([], [I64]),
    LOAD_EXPORT: Signature([I32], [I32]),
}


def check_signatures(module: wasmtime.Module) -> frozenset[Phase]:
    """Return the phases that a module implements. Raises InvalidModuleError if it violates the ABI."""
    for item in module.imports:
        _check_import(item)
    exports = {item.name: item.type for item in module.exports}
    _check_memory_and_globals(exports)
    for name, signature in EXPORT_SIGNATURES.items():
        kind = exports.get(name)
        if kind is not None and not _has_signature(kind, signature):
            raise InvalidModuleError(f"exports {name} with a type other than {_type_names(signature)}")
    phases = frozenset(phase for phase, name in abi.PHASE_EXPORTS.items() if name in exports)
    if not phases:
        raise InvalidModuleError(f"exports none of {', '.join(abi.PHASE_EXPORTS.values())}")
    return phases


def _check_import(item: Any) -> None:
    name = f"{item.module}.{item.name}"
    if item.module != abi.IMPORT_MODULE or item.name not in HOST_SIGNATURES:
        known = ", ".join(f"{abi.IMPORT_MODULE}.{function}" for function in HostFunction)
        raise InvalidModuleError(f"imports {name}; available are {known}")
    signature = HOST_SIGNATURES[HostFunction(item.name)]
    if not _has_signature(item.type, signature):
        raise InvalidModuleError(f"imports {name} with a type other than {_type_names(signature)}")


def _check_memory_and_globals(exports: dict[str, Any]) -> None:
    if not isinstance(exports.get(MEMORY_EXPORT), wasmtime.MemoryType):
        raise InvalidModuleError("exports no memory")
    for name in (abi.VERSION_GLOBAL, abi.INPUT_ADDRESS_GLOBAL, abi.INPUT_SIZE_GLOBAL):
        kind = exports.get(name)
        if not isinstance(kind, wasmtime.GlobalType) or str(kind.content) != "i32" or kind.mutable:
            raise InvalidModuleError(f"exports no constant i32 global {name}")


def _has_signature(kind: Any, signature: Signature) -> bool:
    if not isinstance(kind, FuncType):
        return False
    return _type_names(Signature(kind.params, kind.results)) == _type_names(signature)


def _type_names(signature: Signature) -> tuple[list[str], list[str]]:
    return [str(kind) for kind in signature.params], [str(kind) for kind in signature.results]
