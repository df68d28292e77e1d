"""Plug-ins that are WebAssembly modules, run by wasmtime within limits of fuel, time and memory.

Imported only when a module is loaded, because importing the engine takes time and memory.
"""

from apigateway.plugins.wasm.engine import assemble_module
from apigateway.plugins.wasm.errors import InvalidModuleError
from apigateway.plugins.wasm.plugin import WasmPlugin

__all__ = ["InvalidModuleError", "WasmPlugin", "assemble_module"]
