"""Tests of modules that violate the ABI."""

import pytest
from plugins.wasm.wasm_plugins import BUDGET, EXAMPLES

from apigateway.plugins.testkit import module
from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin, assemble_module


@pytest.mark.parametrize(
    "raw, expected_reason",
    [
        (b"", "cannot be assembled"),
        (b"\0asm", "not a valid module"),
        (b"\0asm\1\0\0\0garbage", "not a valid module"),
        (b"(module", "cannot be assembled"),
        (b"\xff\xfe", "neither"),
        (b"(module)", "exports no memory"),
        (b'(module (import "env" "exit" (func)) (memory (export "memory") 1))', "imports env.exit"),
        (
            b'(module (import "calicomast" "log" (func (param i64))) (memory (export "memory") 1))',
            "with a type other than",
        ),
        (
            b'(module (import "calicomast" "log" (global i32)) (memory (export "memory") 1))',
            "with a type other than",
        ),
        (b'(module (memory (export "memory") 1))', "no constant i32 global"),
        (module("").encode(), "exports none of"),
        (module('(func (export "on_request"))').encode(), "exports on_request with a type other than"),
        (
            module('(func (export "on_request") (param i32) (result i64) (i64.const 0))')
            .replace('calicomast_abi") i32 (i32.const 1', 'calicomast_abi") i32 (i32.const 9')
            .encode(),
            "ABI version 9",
        ),
        (
            module('(func (export "on_request") (param i32) (result i64) (i64.const 0))')
            .replace("i32.const 32768", "i32.const 99999999")
            .encode(),
            "for input",
        ),
        (
            module('(func (export "on_request") (param i32) (result i64) (i64.const 0))')
            .replace('(memory (export "memory") 1)', '(memory (export "memory") i64 1)')
            .encode(),
            "",
        ),
        (
            module('(memory 1)(func (export "on_request") (param i32) (result i64) (i64.const 0))').encode(),
            "",
        ),
    ],
)
def test_invalid_module_is_rejected_with_its_reason(raw, expected_reason):
    with pytest.raises(InvalidModuleError, match=".") as caught:
        WasmPlugin("p", raw, {}, BUDGET)
    assert expected_reason in str(caught.value)


def test_truncated_module_is_rejected():
    binary = assemble_module((EXAMPLES / "sampler" / "sampler.wat").read_bytes())
    for end in range(0, len(binary), 7):
        with pytest.raises(InvalidModuleError):
            WasmPlugin("p", binary[:end], {}, BUDGET)
