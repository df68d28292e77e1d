"""The engine that all modules share, and the epoch clock that limits the time of their calls."""

from __future__ import annotations

import functools
import threading

import wasmtime

from apigateway.plugins.wasm.errors import InvalidModuleError, describe_error

EPOCH_LENGTH_S = 0.005  # resolution of the limit on a call's wall time
MAX_IDLE_EPOCHS = 200  # epochs without a call after which the clock stops

_MAX_STACK_BYTES = 256 * 1024
_BINARY_MAGIC = b"\0asm"


class WasmEngine:
    """The engine, and the thread that increments its epoch; the thread sleeps while there are no calls.

    Attributes:
        engine: The wasmtime engine.
        is_clock_running: Whether the thread increments the epoch.
    """

    def __init__(self) -> None:
        self.engine = wasmtime.Engine(_create_engine_config())
        self.is_clock_running = False
        self._wake_up = threading.Event()
        self._idle_epochs = 0
        self._thread: threading.Thread | None = None

    def start_clock(self) -> None:
        """Start the epoch clock for a call that begins, or keep it running."""
        self._idle_epochs = 0
        if self.is_clock_running:
            return
        self.is_clock_running = True
        self._wake_up.set()
        if self._thread is None:
            self._thread = threading.Thread(target=self._count_epochs, name="epochs", daemon=True)
            self._thread.start()

    def _count_epochs(self) -> None:
        never_set = threading.Event()  # its wait() serves as a sleep that releases the GIL
        while True:
            self._wake_up.wait()
            self._wake_up.clear()
            while self._idle_epochs < MAX_IDLE_EPOCHS:
                self._idle_epochs += 1
                never_set.wait(EPOCH_LENGTH_S)
                self.engine.increment_epoch()
            self.is_clock_running = False  # a concurrent start_clock() sets it and `_wake_up` again
            if self._idle_epochs < MAX_IDLE_EPOCHS:
                self._wake_up.set()


def _create_engine_config() -> wasmtime.Config:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.epoch_interruption = True
    config.max_wasm_stack = _MAX_STACK_BYTES
    config.parallel_compilation = False  # it would use cores that other processes need
    # The default reserves 4 GiB of addresses per module, and installations limit the address space too.
    config.memory_reservation = 0
    config.memory_guard_size = 0
    config.memory_reservation_for_growth = 0
    config.cranelift_nan_canonicalization = True  # the same results on each machine
    config.wasm_relaxed_simd = False
    config.wasm_threads = False
    config.wasm_memory64 = False
    config.wasm_multi_memory = False
    # Inspecting a type that the C API cannot represent aborts the process.
    config.wasm_gc = False
    config.wasm_function_references = False
    config.wasm_exceptions = False
    config.wasm_stack_switching = False
    config.wasm_component_model = False
    config.wasm_custom_page_sizes = False
    return config


@functools.cache
def shared_engine() -> WasmEngine:
    """Return the engine that this process shares."""
    return WasmEngine()


def assemble_module(raw: bytes) -> bytes:
    """Return a module's binary, given the binary or the text. Raises InvalidModuleError."""
    if raw.startswith(_BINARY_MAGIC):
        return raw
    try:
        return bytes(wasmtime.wat2wasm(raw.decode("utf-8")))
    except UnicodeDecodeError as err:
        raise InvalidModuleError("is neither a WebAssembly binary nor a WebAssembly text") from err
    except wasmtime.WasmtimeError as err:
        raise InvalidModuleError(f"its text cannot be assembled: {describe_error(err)}") from err


def compile_module(engine: WasmEngine, raw: bytes) -> wasmtime.Module:
    """Compile a module, given its binary or text. Raises InvalidModuleError."""
    binary = assemble_module(raw)
    try:
        return wasmtime.Module(engine.engine, binary)
    except wasmtime.WasmtimeError as err:
        raise InvalidModuleError(f"is not a valid module: {describe_error(err)}") from err
