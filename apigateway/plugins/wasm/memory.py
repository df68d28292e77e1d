"""Bounds-checked access to a module's memory."""

from __future__ import annotations

import wasmtime

from apigateway.plugins.interfaces import FailureReason, PluginError

_U32_MASK = 0xFFFF_FFFF  # converts a signed i32 to an unsigned number


class ModuleMemory:
    """The memory of one instance. Addresses and lengths are i32 values as passed by the module."""

    def __init__(self, store: wasmtime.Store, memory: wasmtime.Memory) -> None:
        self._store = store
        self._memory = memory

    @property
    def size(self) -> int:
        """Current size in bytes, which the module can increase."""
        return self._memory.data_len(self._store)

    def read(self, address: int, length: int, max_length: int) -> bytes:
        """Return `length` bytes. Raises PluginError if they are too many or out of bounds."""
        address &= _U32_MASK
        length &= _U32_MASK
        if length > max_length or address + length > self.size:
            raise PluginError(FailureReason.MEMORY, f"access to {length} bytes at {address}")
        return self.read_unchecked(address, length) if length else b""

    def read_unchecked(self, address: int, length: int) -> bytes:
        """Return bytes without a bounds check."""
        return bytes(self._memory.read(self._store, address, address + length))

    def write_result(self, value: bytes | None, address: int, max_length: int) -> int:
        """Write a value if it is not longer than `max_length`; return its length, or -1 for None.

        Raises PluginError if the buffer that the module passed is out of bounds.
        """
        address &= _U32_MASK
        max_length &= _U32_MASK
        if address + max_length > self.size:
            raise PluginError(FailureReason.MEMORY, f"access to {max_length} bytes at {address}")
        if value is None:
            return -1
        if value and len(value) <= max_length:
            self.write_unchecked(bytearray(value), address)
        return len(value)

    def write_unchecked(self, data: bytearray, address: int) -> None:
        """Write bytes without a bounds check."""
        self._memory.write(self._store, data, address)
