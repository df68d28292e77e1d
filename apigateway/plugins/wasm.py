"""Plug-ins as WebAssembly modules, run by wasmtime within fuel, time and memory.

A host function never raises: wasmtime's binding keeps an exception of one in a variable that all threads
share,
and modules are proved on another thread than serves. It notes the offence and takes the fuel away instead.
"""

from __future__ import annotations

import datetime
import logging
import math
import random
import threading
from collections.abc import Callable, Mapping
from typing import Any

import wasmtime
from wasmtime import FuncType, ValType

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Budget, FailureReason, Phase, PluginError, Proposal, RequestView
from apigateway.plugins.plugin_state import MAX_COUNTER_NAME_LENGTH, Counters, KeyValueStore, LogRateLimiter
from apigateway.plugins.rules import MOST_LINE, cleaned

STEP = 0.005  # s between epochs: a call's wall time is bounded to that grain
IDLE = 200  # epochs without a call, after which the clock rests
MOST_STACK = 256 * 1024  # bytes
MOST_SETTING = 4096  # bytes of a setting's name, a key, a text of the log

log = logging.getLogger("apigateway.plugin")

I32, I64, F64 = ValType.i32(), ValType.i64(), ValType.f64()
REASONS = {
    wasmtime.TrapCode.OUT_OF_FUEL: FailureReason.FUEL,
    wasmtime.TrapCode.INTERRUPT: FailureReason.TIME,
    wasmtime.TrapCode.STACK_OVERFLOW: FailureReason.STACK,
    wasmtime.TrapCode.MEMORY_OUT_OF_BOUNDS: FailureReason.MEMORY,
    wasmtime.TrapCode.ALLOCATION_TOO_LARGE: FailureReason.MEMORY,
}


class BadModule(Exception):
    """A module that cannot be used, whatever it would do. The text says why."""


class Machine:
    """The engine that all modules share, and the thread that counts its epochs. It sleeps while nothing is
    called."""

    def __init__(self) -> None:
        config = wasmtime.Config()
        config.consume_fuel = True
        config.epoch_interruption = True
        config.max_wasm_stack = MOST_STACK
        config.parallel_compilation = False  # it would take the cores of others
        config.memory_reservation = 0  # not 4 GiB of addresses a module: installations bound those too
        config.memory_guard_size = 0
        config.memory_reservation_for_growth = 0
        config.cranelift_nan_canonicalization = True  # the same on each machine
        config.wasm_relaxed_simd = False
        config.wasm_threads = False
        config.wasm_memory64 = False
        config.wasm_multi_memory = False
        # What the C interface has no form for ends the process when a type of it is looked at.
        config.wasm_gc = False
        config.wasm_function_references = False
        config.wasm_exceptions = False
        config.wasm_stack_switching = False
        config.wasm_component_model = False
        config.wasm_custom_page_sizes = False
        self.engine = wasmtime.Engine(config)
        self.asked = threading.Event()
        self.awake = False
        self.quiet = 0
        self.thread: threading.Thread | None = None

    def call(self) -> None:
        """A call begins."""
        self.quiet = 0
        if not self.awake:
            self.awake = True
            self.asked.set()
            if self.thread is None:
                self.thread = threading.Thread(target=self.count, name="epochs", daemon=True)
                self.thread.start()

    def count(self) -> None:
        pause = threading.Event()  # never set: waits without holding the interpreter
        while True:
            self.asked.wait()
            self.asked.clear()
            while self.quiet < IDLE:
                self.quiet += 1
                pause.wait(STEP)
                self.engine.increment_epoch()
            self.awake = False  # a call that begins just now sets it again, and `asked`
            if self.quiet < IDLE:
                self.asked.set()


machine_here: list[Machine] = []


def machine() -> Machine:
    if not machine_here:
        machine_here.append(Machine())
    return machine_here[0]


def assembled(raw: bytes) -> bytes:
    """A module's bytes, whether they are WebAssembly or its text. Raises BadModule."""
    if raw[:4] == b"\0asm":
        return raw
    try:
        return bytes(wasmtime.wat2wasm(raw.decode("utf-8")))
    except UnicodeDecodeError as err:
        raise BadModule("is neither WebAssembly nor its text") from err
    except wasmtime.WasmtimeError as err:
        raise BadModule(f"its text cannot be assembled: {first_line(err)}") from err


def first_line(err: Exception) -> str:
    lines = [line.strip() for line in str(err).splitlines() if line.strip()]
    return " ".join(line for line in lines[:4] if line != "Caused by:")[:300]


# The host's functions: what they take and give.
FUNCTIONS: dict[str, tuple[list[ValType], list[ValType]]] = {
    "setting": ([I32, I32, I32, I32], [I32]),
    "setting_number": ([I32, I32], [F64]),
    "get": ([I32, I32, I32, I32], [I32]),
    "put": ([I32, I32, I32, I32], [I32]),
    "log": ([I32, I32], []),
    "count": ([I32, I32, F64], []),
    "random": ([], [F64]),
}
# Which of them may be called when. A module's start may call none: it has no budget yet.
READS = frozenset(("setting", "setting_number", "get"))
MAY: dict[str, frozenset[str]] = {
    "start": frozenset[str](),
    "save": READS,
    "load": READS | {"put"},
    "self_test": frozenset(FUNCTIONS),
    **{phase: frozenset(FUNCTIONS) for phase in Phase},
}
EXPORTS = {
    **{name: ([I32], [I64]) for name in abi.EXPORT.values()},
    "self_test": ([], [I32]),
    "on_save": ([], [I64]),
    "on_load": ([I32], [I32]),
}


def shape(type: FuncType) -> tuple[list[str], list[str]]:
    return [str(t) for t in type.params], [str(t) for t in type.results]


def wanted(told: tuple[list[ValType], list[ValType]]) -> tuple[list[str], list[str]]:
    return [str(t) for t in told[0]], [str(t) for t in told[1]]


def examine(module: wasmtime.Module) -> frozenset[Phase]:
    """The module's phases. Raises BadModule where imports or exports are not those of the ABI."""
    for item in module.imports:
        name = f"{item.module}.{item.name}"
        if item.module != abi.MODULE or item.name not in FUNCTIONS:
            raise BadModule(f"imports {name}; there are {', '.join(f'{abi.MODULE}.{f}' for f in FUNCTIONS)}")
        if not isinstance(item.type, FuncType) or shape(item.type) != wanted(FUNCTIONS[item.name]):
            raise BadModule(f"imports {name} as something else than {wanted(FUNCTIONS[item.name])}")
    exports = {item.name: item.type for item in module.exports}
    if not isinstance(exports.get("memory"), wasmtime.MemoryType):
        raise BadModule("exports no memory")
    for name in ("calicomast_abi", "calicomast_input", "calicomast_input_size"):
        kind = exports.get(name)
        if not isinstance(kind, wasmtime.GlobalType) or str(kind.content) != "i32" or kind.mutable:
            raise BadModule(f"exports no constant i32 global {name}")
    for name, told in EXPORTS.items():
        kind = exports.get(name)
        if kind is not None and (not isinstance(kind, FuncType) or shape(kind) != wanted(told)):
            raise BadModule(f"exports {name} as something else than {wanted(told)}")
    phases = frozenset(phase for phase, name in abi.EXPORT.items() if name in exports)
    if not phases:
        raise BadModule(f"exports none of {', '.join(abi.EXPORT.values())}")
    return phases


class WasmPlugin:
    """terms.Plugin. `raw` is the file's content. Raises BadModule; and PluginError where its start fails."""

    kind = "wasm"

    def __init__(
        self, name: str, raw: bytes, settings: Mapping[str, Any], budget: Budget, seed: int = 0
    ) -> None:
        self.name, self.settings, self.budget, self.seed = name, settings, budget, seed
        self.machine = machine()
        try:
            self.module = wasmtime.Module(self.machine.engine, assembled(raw))
        except wasmtime.WasmtimeError as err:
            raise BadModule(f"is no sound module: {first_line(err)}") from err
        self.phases = examine(self.module)
        self.names = {item.name for item in self.module.exports}
        self.ticks = max(1, math.ceil(budget.call_time / STEP)) + 1
        self.starts = -1  # how often it was made anew after a failure
        self.offence = ""
        self.phase = "start"
        self.now = 0.0
        self.store: wasmtime.Store | None = None
        self.exports: Any = None
        self.memory: Any = None
        self.functions: dict[str, Any] = {}
        self.reset()

    def reset(self) -> None:
        self.keys, self.tallies = KeyValueStore(self.budget.key_value_bytes), Counters()
        self.ration, self.random = LogRateLimiter(self.budget.log_lines), random.Random(self.seed)
        self.starts = -1
        self.make()

    def make(self) -> None:
        """A fresh instance: what a failed call left behind is gone, its keys stay."""
        self.drop()
        self.starts += 1
        store = wasmtime.Store(self.machine.engine)
        store.set_limits(
            memory_size=self.budget.memory_bytes, table_elements=10_000, instances=1, tables=4, memories=1
        )
        linker = wasmtime.Linker(self.machine.engine)
        for name, (takes, gives) in FUNCTIONS.items():
            linker.define_func(abi.MODULE, name, FuncType(takes, gives), self.guarded(name))
        self.phase, self.offence = "start", ""
        self.arm(store)
        self.store = store
        try:
            self.exports = linker.instantiate(store, self.module).exports(store)
        except (wasmtime.Trap, wasmtime.WasmtimeError) as err:
            self.drop()
            raise self.failure(err) from err
        if self.offence:
            self.drop()
            raise PluginError(FailureReason.TRAP, self.offence)
        self.memory = self.exports["memory"]
        version, self.base, self.room = (
            int(self.exports[name].value(store)) & 0xFFFF_FFFF
            for name in ("calicomast_abi", "calicomast_input", "calicomast_input_size")
        )
        size = self.memory.data_len(store)
        if version != abi.VERSION:
            self.drop()
            raise BadModule(f"is of ABI version {version}, this gateway has {abi.VERSION}")
        if self.room < abi.LEAST_INPUT or self.base + self.room > size:
            self.drop()
            raise BadModule(
                f"keeps {self.room} bytes at {self.base} of {size} for input; {abi.LEAST_INPUT} at least"
            )
        self.functions = {name: self.exports[name] for name in EXPORTS if name in self.names}

    def arm(self, store: wasmtime.Store) -> None:
        """A call begins, with its whole budget."""
        self.machine.call()
        store.set_fuel(self.budget.fuel)
        store.set_epoch_deadline(self.ticks)

    def drop(self) -> None:
        store, self.store = self.store, None
        if store is not None:
            self.exports = self.memory = None
            self.functions = {}
            store.close()

    close = drop

    # A call

    def failure(self, err: Exception) -> PluginError:
        if self.offence:
            return PluginError(FailureReason.TRAP, self.offence)
        if isinstance(err, wasmtime.Trap):
            return PluginError(
                REASONS.get(err.trap_code, FailureReason.TRAP)
                if err.trap_code is not None
                else FailureReason.TRAP,
                first_line(err),
            )
        return PluginError(FailureReason.TRAP, first_line(err))

    def enter(self, phase: str, function: str, *values: int) -> int:
        """One call of the module. A failed one leaves no instance: the next call makes a new one."""
        if self.store is None:
            self.make()
        store = self.store
        assert store is not None
        self.phase, self.offence = phase, ""
        self.arm(store)
        try:
            given = self.functions[function](store, *values)
        except (wasmtime.Trap, wasmtime.WasmtimeError) as err:
            self.drop()
            raise self.failure(err) from err
        if self.offence:
            self.drop()
            raise PluginError(FailureReason.TRAP, self.offence)
        return int(given)

    def write(self, data: bytearray) -> None:
        if self.store is None:
            self.make()
        self.memory.write(self.store, data, self.base)

    def text(self, packed: int, most: int) -> bytes:
        if not packed:
            return b""
        try:
            address, length = abi.where(packed, self.memory.data_len(self.store), most)
        except PluginError:
            self.drop()
            raise
        return bytes(self.memory.read(self.store, address, address + length))

    def fuel_used(self) -> int:
        """Of the last call that did not fail."""
        return self.budget.fuel - self.store.get_fuel() if self.store is not None else self.budget.fuel

    def call(self, phase: Phase, view: RequestView) -> list[Proposal]:
        self.now = view.now
        try:
            data = abi.pack(phase, view, self.base, self.room)
            self.write(data)
            packed = self.enter(phase, abi.EXPORT[phase], len(data))
            return abi.proposals(self.text(packed, abi.MOST_OUTPUT)) if packed else []
        except PluginError:
            raise
        except Exception as err:  # the binding's own: whatever a module does must end here
            self.drop()
            raise PluginError(FailureReason.ERROR, f"{type(err).__name__} {err}") from err

    def self_test(self) -> None:
        if "self_test" in self.names and (told := self.enter("self_test", "self_test")) != 0:
            raise PluginError(FailureReason.SELF_TEST, f"gave {told}")

    def save_state(self) -> bytes | None:
        if "on_save" not in self.names:
            return None
        return self.text(self.enter("save", "on_save"), abi.MOST_STATE)

    def load_state(self, state: bytes) -> bool:
        if "on_load" not in self.names:
            return False
        if len(state) > self.room:
            raise PluginError(
                FailureReason.NONSENSE, f"{len(state)} bytes were saved, it keeps {self.room} for input"
            )
        if state:
            self.write(bytearray(state))
        return self.enter("load", "on_load", len(state)) == 0

    def counters(self) -> dict[str, float]:
        return self.tallies.values

    def status(self) -> dict[str, Any]:
        size = self.memory.data_len(self.store) if self.store is not None else 0
        return {
            "memory": size,
            "key bytes": self.keys.used_bytes,
            "made anew": self.starts,
            "log lines dropped": self.ration.dropped,
            "counts dropped": self.tallies.dropped,
        }

    # What the module may call

    def guarded(self, name: str) -> Callable[..., Any]:
        act = getattr(self, "host_" + name)
        nothing = {"setting_number": math.nan, "random": 0.0, "log": None, "count": None}.get(name, -1)

        def run(*values: Any) -> Any:
            if self.offence:
                return nothing
            if name not in MAY[self.phase]:
                return self.offend(f"called {name} in the phase {self.phase}", nothing)
            try:
                return act(*values)
            except PluginError as err:
                return self.offend(f"{name}: {err}", nothing)
            except Exception as err:
                return self.offend(f"{name}: {type(err).__name__} {err}", nothing)

        return run

    def offend(self, text: str, nothing: Any) -> Any:
        self.offence = text
        if self.store is not None:
            self.store.set_fuel(0)  # it ends at its next step
        return nothing

    def taken(self, address: int, length: int, most: int = MOST_SETTING) -> bytes:
        address, length = address & 0xFFFF_FFFF, length & 0xFFFF_FFFF
        if length > most or address + length > self.memory.data_len(self.store):
            raise PluginError(FailureReason.MEMORY, f"{length} bytes at {address}")
        return bytes(self.memory.read(self.store, address, address + length)) if length else b""

    def given(self, value: bytes | None, address: int, most: int) -> int:
        """Its length; nothing is written where it is longer than `most`."""
        address, most = address & 0xFFFF_FFFF, most & 0xFFFF_FFFF
        if address + most > self.memory.data_len(self.store):
            raise PluginError(FailureReason.MEMORY, f"{most} bytes at {address}")
        if value is None:
            return -1
        if value and len(value) <= most:
            self.memory.write(self.store, bytearray(value), address)
        return len(value)

    def found(self, address: int, length: int) -> Any:
        """A setting by its path, `district/00000000b4d65521`."""
        place: Any = self.settings
        for step in self.taken(address, length).decode("utf-8", "replace").split("/"):
            place = place.get(step) if isinstance(place, Mapping) else None
        return place

    def host_setting(self, address: int, length: int, out: int, most: int) -> int:
        value = self.found(address, length)
        if value is None or isinstance(value, Mapping | list):
            return self.given(None, out, most)
        text = ("true" if value else "false") if isinstance(value, bool) else str(value)
        return self.given(text.encode(), out, most)

    def host_setting_number(self, address: int, length: int) -> float:
        value = self.found(address, length)
        if isinstance(value, datetime.date):
            from apigateway.plugins.language.compiler import moment

            return moment(value)
        return float(value) if isinstance(value, int | float) else math.nan

    def host_get(self, address: int, length: int, out: int, most: int) -> int:
        return self.given(self.keys.get(self.taken(address, length)), out, most)

    def host_put(self, address: int, length: int, value: int, size: int) -> int:
        return (
            0
            if self.keys.put(
                self.taken(address, length), self.taken(value, size, self.budget.key_value_bytes)
            )
            else -1
        )

    def host_log(self, address: int, length: int) -> None:
        line = self.taken(address, length)
        if self.ration.try_acquire(self.now):
            log.info("%s: %s", self.name, cleaned(line[: 4 * MOST_LINE].decode("utf-8", "replace")))

    def host_count(self, address: int, length: int, amount: float) -> None:
        self.tallies.add(
            self.taken(address, length, MAX_COUNTER_NAME_LENGTH).decode("utf-8", "replace"), amount
        )

    def host_random(self) -> float:
        return self.random.random()
