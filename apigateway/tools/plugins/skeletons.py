"""The files that `api-gateway plugin new` writes: a working plug-in, its settings and a test."""

from __future__ import annotations

_SETTINGS = """# For `api-gateway plugin`, `demo --plugin` or a gateway's settings in the same folder.
[[plugins]]
name = "{name}"
file = "{file}"
settings = {{ class = "roster-read", mark = "first" }}
"""

_RULES = """# {name}: docs/operate/plugin-abi.md describes the language.
[[rules]]
when = 'class == settings.class'
tag = {{ mark = 'settings.mark' }}
count = {{ marked = '1' }}
"""

_WAT = """;; {name}: docs/operate/plugin-abi.md. Tags each request with the setting `mark`.
(module
  (import "calicomast" "setting" (func $setting (param i32 i32 i32 i32) (result i32)))
  (import "calicomast" "count" (func $count (param i32 i32 f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  ;; The host writes a request here before each call.
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))

  (data (i32.const 0) "mark")
  (data (i32.const 16) "marked")
  (data (i32.const 512) "tag mark ")

  (func (export "on_request") (param $length i32) (result i64)
    (local $size i32)
    (local.set $size (call $setting (i32.const 0) (i32.const 4) (i32.const 521) (i32.const 128)))
    (if (i32.or (i32.lt_s (local.get $size) (i32.const 1)) (i32.gt_s (local.get $size) (i32.const 128)))
      (then (return (i64.const 0))))
    (call $count (i32.const 16) (i32.const 6) (f64.const 1))
    ;; The upper half is the address of the text, 512; the lower half is its length.
    (i64.or (i64.const 0x20000000000) (i64.extend_i32_u (i32.add (i32.const 9) (local.get $size)))))

  ;; 0 means that the module can be used; a gateway calls this before it loads the module.
  (func (export "self_test") (result i32)
    (i32.lt_s (call $setting (i32.const 0) (i32.const 4) (i32.const 521) (i32.const 128)) (i32.const 1))))
"""

_TEST = """from pathlib import Path

from apigateway.plugins.testkit import Kit


def test_requests_are_tagged():
    kit = Kit.load(str(Path(__file__).parent))
    result = kit.request(cls="roster-read")
    assert result.tags == {{"mark": "first"}} and result.refuse is None and not result.denied
    assert kit.counters("{name}") == {{"marked": 1.0}}
    kit.close()
"""


def skeleton(name: str, kind: str) -> dict[str, str]:
    """Return the text of each file of a new plug-in; `kind` is "rules" or "wat"."""
    if kind == "rules":
        file_name = "rules.toml"
        text = _RULES.format(name=name)
    else:
        file_name = f"{name}.wat"
        text = _WAT.replace("{name}", name)
    return {
        "plugin.toml": _SETTINGS.format(name=name, file=file_name),
        file_name: text,
        f"test_{name.replace('-', '_')}.py": _TEST.format(name=name),
    }
