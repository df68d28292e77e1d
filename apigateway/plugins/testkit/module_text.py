"""Generates the text of WebAssembly modules for tests."""

from __future__ import annotations

from apigateway.plugins.interfaces import Phase

_OUTPUT_ADDRESS = 40_960  # of the output of `says`; it follows the memory reserved for input

PRELUDE = """(module
  (import "calicomast" "setting" (func $setting (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "setting_number" (func $setting_number (param i32 i32) (result f64)))
  (import "calicomast" "get" (func $get (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "put" (func $put (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "log" (func $log (param i32 i32)))
  (import "calicomast" "count" (func $count (param i32 i32 f64)))
  (import "calicomast" "random" (func $random (result f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))
"""


def module(body: str) -> str:
    """Return the text of a module: the imports, memory and globals of the ABI, and `body`."""
    return PRELUDE + body + ")\n"


def says(text: str, phase: str = Phase.REQUEST) -> str:
    """Return the body of a module that always returns the proposals in `text`."""
    data = text.encode()
    escaped = "".join(f"\\{byte:02x}" for byte in data)
    packed = (_OUTPUT_ADDRESS << 32) | len(data)
    return (
        f'(data (i32.const {_OUTPUT_ADDRESS}) "{escaped}")\n'
        f'(func (export "on_{phase}") (param i32) (result i64) (i64.const {packed}))\n'
    )
