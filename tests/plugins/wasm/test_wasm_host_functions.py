"""Tests of the host functions, and of the calls in which they are permitted."""

import logging

import pytest
from plugins.wasm.wasm_plugins import VIEW, export_phase, make_plugin

from apigateway.plugins.interfaces import Phase, PluginError


def test_save_may_read_but_not_write():
    plugin = make_plugin(
        export_phase("request", "(i64.const 0)") + '(func (export "on_save") (result i64)'
        "(drop (call $put (i32.const 0) (i32.const 1) (i32.const 0) (i32.const 1))) (i64.const 0))"
    )
    with pytest.raises(PluginError, match="called put in the phase save"):
        plugin.save_state()
    assert plugin.call(Phase.REQUEST, VIEW) == [] and plugin.host.key_values.values == {}


def test_host_call_in_the_wrong_phase_ends_the_call_at_once():
    plugin = make_plugin(
        export_phase("request", "(i64.const 0)") + '(func (export "on_load") (param i32) (result i32)'
        "(call $log (i32.const 0) (i32.const 1)) (loop $l (br $l)) (i32.const 0))"
    )
    with pytest.raises(PluginError, match="called log in the phase load"):
        plugin.load_state(b"x")


def test_module_can_use_keys_settings_counters_and_seeded_random_numbers():
    plugin = make_plugin(
        '(data (i32.const 0) "key/a") (data (i32.const 16) "n")'
        + export_phase(
            "request",
            """
        (local $n i32)
        (local.set $n (call $setting (i32.const 0) (i32.const 5) (i32.const 100) (i32.const 50)))
        (drop (call $put (i32.const 16) (i32.const 1) (i32.const 100) (local.get $n)))
        (call $count (i32.const 16) (i32.const 1) (call $setting_number (i32.const 16) (i32.const 1)))
        (drop (call $get (i32.const 16) (i32.const 1) (i32.const 40964) (i32.const 50)))
        (i32.store (i32.const 40960) (i32.const 0x20676174))
        (i64.or (i64.const 0xa00000000000) (i64.extend_i32_u (i32.add (i32.const 4) (local.get $n))))""",
        ),
        {"key": {"a": "v w"}, "n": 2.5},
    )
    assert plugin.call(Phase.REQUEST, VIEW) == [("tag", "v", "w")]
    assert plugin.host.key_values.values == {b"n": b"v w"} and plugin.counters() == {"n": 2.5}
    first, second = (
        make_plugin(export_phase("request", "(f64.store (i32.const 200) (call $random)) (i64.const 0)"))
        for _ in "ab"
    )
    for plugin in (first, second):
        plugin.call(Phase.REQUEST, VIEW)
    random_bytes = first.instance.memory.read(200, 8, 8)
    assert random_bytes == second.instance.memory.read(200, 8, 8) != bytes(8)


def test_missing_settings_and_keys_have_their_documented_results():
    plugin = make_plugin(
        export_phase(
            "request",
            """
        (if (i32.ne (call $setting (i32.const 0) (i32.const 3) (i32.const 9) (i32.const 9)) (i32.const -1))
          (then unreachable))
        (if (i32.ne (call $get (i32.const 0) (i32.const 3) (i32.const 9) (i32.const 9)) (i32.const -1))
          (then unreachable))
        (if (f64.eq (call $setting_number (i32.const 0) (i32.const 3))
                    (call $setting_number (i32.const 0) (i32.const 3))) (then unreachable))
        (i64.const 0)""",
        )
    )
    assert plugin.call(Phase.REQUEST, VIEW) == []


def test_log_lines_are_rate_limited_and_cannot_contain_line_breaks(caplog):
    plugin = make_plugin(
        '(data (i32.const 0) "a\\nb")'
        + export_phase("request", "(call $log (i32.const 0) (i32.const 3)) (i64.const 0)")
    )
    with caplog.at_level(logging.INFO, "apigateway.plugin"):
        for _ in range(20):
            plugin.call(Phase.REQUEST, VIEW)
    assert [r.getMessage() for r in caplog.records] == ["p: a?b"] * 5 and plugin.host.log.dropped == 15
