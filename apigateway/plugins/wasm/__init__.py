"""Plug-ins as WebAssembly modules, run by wasmtime within fuel, time and memory.

Imported only where a module is loaded: the engine takes time to import, and memory.
"""

from apigateway.plugins.wasm.engine import assemble_module
from apigateway.plugins.wasm.errors import InvalidModuleError
from apigateway.plugins.wasm.plugin import WasmPlugin

__all__ = ["InvalidModuleError", "WasmPlugin", "assemble_module"]
