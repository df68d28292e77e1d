"""The engine that all modules share, and the clock that bounds the time of their calls."""

from __future__ import annotations

import functools
import threading

import wasmtime

from apigateway.plugins.wasm.errors import InvalidModuleError, describe

EPOCH_LENGTH = 0.005  # s: a call's wall time is bounded to this grain
IDLE_EPOCHS = 200  # epochs without a call, after which the clock rests

_MAX_STACK_SIZE = 256 * 1024  # bytes
_BINARY_MAGIC = b"\0asm"


class WasmEngine:
    """The engine, and the thread that counts its epochs, which sleeps while nothing is called.

    Attributes:
        is_clock_running: The thread counts epochs.
    """

    def __init__(self) -> None:
        self.engine = wasmtime.Engine(_engine_config())
        self.is_clock_running = False
        self._wake_up = threading.Event()
        self._idle_epochs = 0
        self._thread: threading.Thread | None = None

    def on_call(self) -> None:
        """Hear that a call begins: from now on epochs are counted."""
        self._idle_epochs = 0
        if self.is_clock_running:
            return
        self.is_clock_running = True
        self._wake_up.set()
        if self._thread is None:
            self._thread = threading.Thread(target=self._count_epochs, name="epochs", daemon=True)
            self._thread.start()

    def _count_epochs(self) -> None:
        pause = threading.Event()  # never set: waits without holding the interpreter
        while True:
            self._wake_up.wait()
            self._wake_up.clear()
            while self._idle_epochs < IDLE_EPOCHS:
                self._idle_epochs += 1
                pause.wait(EPOCH_LENGTH)
                self.engine.increment_epoch()
            self.is_clock_running = False  # a call that begins just now sets it again, and `_wake_up`
            if self._idle_epochs < IDLE_EPOCHS:
                self._wake_up.set()


def _engine_config() -> wasmtime.Config:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.epoch_interruption = True
    config.max_wasm_stack = _MAX_STACK_SIZE
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
    return config


@functools.cache
def shared_engine() -> WasmEngine:
    """Return the one engine of this process."""
    return WasmEngine()


def assemble_module(raw: bytes) -> bytes:
    """Return a module's binary, given that or its text. Raises InvalidModuleError."""
    if raw.startswith(_BINARY_MAGIC):
        return raw
    try:
        return bytes(wasmtime.wat2wasm(raw.decode("utf-8")))
    except UnicodeDecodeError as err:
        raise InvalidModuleError("is neither WebAssembly nor its text") from err
    except wasmtime.WasmtimeError as err:
        raise InvalidModuleError(f"its text cannot be assembled: {describe(err)}") from err


def compile_module(engine: WasmEngine, raw: bytes) -> wasmtime.Module:
    """Return a compiled module, given its binary or text. Raises InvalidModuleError."""
    binary = assemble_module(raw)
    try:
        return wasmtime.Module(engine.engine, binary)
    except wasmtime.WasmtimeError as err:
        raise InvalidModuleError(f"is no sound module: {describe(err)}") from err
