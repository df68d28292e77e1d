"""A module's memory, read and written only within its bounds."""

from __future__ import annotations

import wasmtime

from apigateway.plugins.interfaces import FailureReason, PluginError

_U32_MASK = 0xFFFF_FFFF  # an i32 of a module is an unsigned number here


class ModuleMemory:
    """The memory of one instance. Addresses and lengths are i32 as the module gave them."""

    def __init__(self, store: wasmtime.Store, memory: wasmtime.Memory) -> None:
        self._store = store
        self._memory = memory

    @property
    def size(self) -> int:
        """Its size in bytes, which the module can grow."""
        return self._memory.data_len(self._store)

    def read(self, address: int, length: int, max_length: int) -> bytes:
        """Return `length` bytes. Raises PluginError where they are too many or outside."""
        address &= _U32_MASK
        length &= _U32_MASK
        if length > max_length or address + length > self.size:
            raise PluginError(FailureReason.MEMORY, f"{length} bytes at {address}")
        return self.read_unchecked(address, length) if length else b""

    def read_unchecked(self, address: int, length: int) -> bytes:
        """Return bytes that are known to be inside."""
        return bytes(self._memory.read(self._store, address, address + length))

    def write_result(self, value: bytes | None, address: int, max_length: int) -> int:
        """Return a value's length, -1 for None; write the value where it is not longer than `max_length`.

        Raises PluginError where the room that the module gave is outside of its memory.
        """
        address &= _U32_MASK
        max_length &= _U32_MASK
        if address + max_length > self.size:
            raise PluginError(FailureReason.MEMORY, f"{max_length} bytes at {address}")
        if value is None:
            return -1
        if value and len(value) <= max_length:
            self.write_unchecked(bytearray(value), address)
        return len(value)

    def write_unchecked(self, data: bytearray, address: int) -> None:
        """Write where there is known to be room."""
        self._memory.write(self._store, data, address)
