"""WebAssembly modules that behave badly in every way there is: each ends in its reason, and the next call is
sound."""

import logging
import random
import time
from pathlib import Path

import pytest

from apigateway.plugins.interfaces import Budget, Phase, PluginError, RequestView
from apigateway.plugins.testkit import module, says
from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin, assemble_module

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "plugins"
BUDGET = Budget(fuel=50_000, memory_bytes=1024 * 1024)
SLOW = Budget(fuel=50_000, memory_bytes=1024 * 1024, call_time=5.0)  # for a call that its fuel is to end
VIEW = RequestView("r1", "c1", "basic", "read", 1.0, 3.0, 100.0)


def made(body, settings=None, budget=BUDGET):
    return WasmPlugin("p", module(body).encode(), settings or {}, budget, 7)


def on(phase, body):
    return f'(func (export "on_{phase}") (param i32) (result i64) {body})'


HARD = {
    "loops forever": ("(loop $l (br $l)) (i64.const 0)", "fuel"),
    "traps": ("unreachable", "trap"),
    "divides by zero": ("(i64.div_u (i64.const 1) (i64.const 0))", "trap"),
    "reads outside": ("(i64.load (i32.const -8))", "memory"),
    "allocates without end": ("(loop $l (drop (memory.grow (i32.const 1))) (br $l)) (i64.const 0)", "fuel"),
    "allocates, then uses what it did not get": (
        "(i64.store (i32.mul (memory.grow (i32.const 100)) (i32.const 65536)) (i64.const 1)) (i64.const 0)",
        "memory",
    ),
    "gives an address outside": ("(i64.const 0x7fffffff00000008)", "nonsense"),
    "gives a length outside": ("(i64.const 0x00000000ffffffff)", "nonsense"),
    "gives all bits": ("(i64.const -1)", "nonsense"),
    "logs from outside": ("(call $log (i32.const 65530) (i32.const 100)) (i64.const 0)", "trap"),
    "asks for a setting with a negative length": (
        "(drop (call $setting (i32.const 0) (i32.const -1) (i32.const 0) (i32.const 8)))(i64.const 0)",
        "trap",
    ),
    "has a setting written outside": (
        "(drop (call $setting (i32.const 0) (i32.const 1) (i32.const 65530) (i32.const 100))) (i64.const 0)",
        "trap",
    ),
    "puts a value from outside": (
        "(drop (call $put (i32.const 0) (i32.const 1) (i32.const 65536) (i32.const 1)))(i64.const 0)",
        "trap",
    ),
    "fills memory for ever": (
        "(loop $l (memory.fill (i32.const 0) (i32.const 1) (i32.const 65536)) (br $l))(i64.const 0)",
        "fuel",
    ),
    "calls the host for ever": ("(loop $l (drop (call $random)) (br $l)) (i64.const 0)", ("fuel", "time")),
}


@pytest.mark.parametrize("name", HARD)
def test_a_bad_call_ends_in_its_reason_and_leaves_nothing_behind(name):
    body, reason = HARD[name]
    # Sound for every request but r1, so that the next one shows what the failed call left.
    sound = (
        "(if (i32.ne (i32.load (i32.const 4156)) (i32.const 2))"
        "(then (return (i64.const 0xa00000000003))))"
        "(i32.store (i32.const 900) (i32.const 77))"
    )
    # Its fuel is to end it, not its time, which a busy machine spends for it.
    plugin = made('(data (i32.const 40960) "tag")\n' + on("request", sound + body), budget=SLOW)
    for _ in range(3):
        with pytest.raises(PluginError) as caught:
            plugin.call(Phase.REQUEST, VIEW)
        assert caught.value.reason in reason
        assert plugin.call(Phase.REQUEST, RequestView("other")) == [("tag", "", "")]
    assert plugin.reinstantiations >= 2 and plugin.instance.memory.read(900, 4, 4) == b"\0\0\0\0"
    plugin.close()


def test_recursion_without_end_is_stopped():
    plugin = made(
        "(func $f (param i64) (result i64) (i64.add (call $f (i64.add (local.get 0) (i64.const 1)))"
        "(i64.const 1)))" + on("request", "(call $f (i64.const 1))"),
        budget=Budget(fuel=10**9),
    )
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "stack"


def test_a_loop_with_fuel_without_end_is_stopped_by_time():
    plugin = made(
        on("request", "(loop $l (br $l)) (i64.const 0)"), budget=Budget(fuel=10**12, call_time=0.02)
    )
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "time"


def test_texts_that_are_not_utf8_and_a_thousand_tags():
    plugin = made('(data (i32.const 40960) "tag a \\ff\\fe")' + on("request", "(i64.const 0xa00000000008)"))
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "nonsense"
    said = made(says("\n".join(f"tag t{n} {n}" for n in range(1000)))).call(Phase.REQUEST, VIEW)
    assert len(said) == 1000


@pytest.mark.parametrize(
    "phase, body",
    [
        ("start", "(func $s (drop (call $random))) (start $s)" + on("request", "(i64.const 0)")),
        ("start", "(func $s (loop $l (br $l))) (start $s)" + on("request", "(i64.const 0)")),
    ],
)
def test_a_start_that_calls_the_host_or_never_ends_is_no_plug_in(phase, body):
    with pytest.raises(PluginError):
        made(body)


def test_a_save_may_read_but_not_write_and_the_wrong_phase_is_told():
    plugin = made(
        on("request", "(i64.const 0)") + '(func (export "on_save") (result i64)'
        "(drop (call $put (i32.const 0) (i32.const 1) (i32.const 0) (i32.const 1))) (i64.const 0))"
    )
    with pytest.raises(PluginError, match="called put in the phase save"):
        plugin.save_state()
    assert plugin.call(Phase.REQUEST, VIEW) == [] and plugin.host.key_values.values == {}


def test_a_host_call_from_the_wrong_phase_ends_the_call_at_once():
    plugin = made(
        on("request", "(i64.const 0)") + '(func (export "on_load") (param i32) (result i32)'
        "(call $log (i32.const 0) (i32.const 1)) (loop $l (br $l)) (i32.const 0))"
    )
    with pytest.raises(PluginError, match="called log in the phase load"):
        plugin.load_state(b"x")


@pytest.mark.parametrize(
    "raw, words",
    [
        (b"", "cannot be assembled"),
        (b"\0asm", "no sound module"),
        (b"\0asm\1\0\0\0garbage", "no sound module"),
        (b"(module", "cannot be assembled"),
        (b"\xff\xfe", "neither"),
        (b"(module)", "exports no memory"),
        (b'(module (import "env" "exit" (func)) (memory (export "memory") 1))', "imports env.exit"),
        (
            b'(module (import "calicomast" "log" (func (param i64))) (memory (export "memory") 1))',
            "as something else",
        ),
        (
            b'(module (import "calicomast" "log" (global i32)) (memory (export "memory") 1))',
            "as something else",
        ),
        (b'(module (memory (export "memory") 1))', "no constant i32 global"),
        (module("").encode(), "exports none of"),
        (module('(func (export "on_request"))').encode(), "exports on_request as something else"),
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
def test_what_is_no_plug_in_is_refused_with_its_reason(raw, words):
    with pytest.raises(InvalidModuleError, match=".") as caught:
        WasmPlugin("p", raw, {}, BUDGET)
    assert words in str(caught.value)


def test_a_memory_past_the_budget_is_refused_at_the_start():
    with pytest.raises(PluginError):
        made(on("request", "(i64.const 0)"), budget=Budget(memory_bytes=1024))


def test_every_cut_of_a_module_is_refused_or_sound():
    whole = assemble_module((EXAMPLES / "sampler" / "sampler.wat").read_bytes())
    for end in range(0, len(whole), 7):
        with pytest.raises(InvalidModuleError):
            WasmPlugin("p", whole[:end], {}, BUDGET)


def test_keys_settings_counters_time_and_randomness():
    plugin = made(
        '(data (i32.const 0) "key/a") (data (i32.const 16) "n")'
        + on(
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
    one, two = (made(on("request", "(f64.store (i32.const 200) (call $random)) (i64.const 0)")) for _ in "ab")
    for plugin in (one, two):
        plugin.call(Phase.REQUEST, VIEW)
    drawn = one.instance.memory.read(200, 8, 8)
    assert drawn == two.instance.memory.read(200, 8, 8) != bytes(8)


def test_missing_settings_and_keys_are_told_as_such():
    plugin = made(
        on(
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


def test_log_lines_are_rationed_and_cannot_forge_others(caplog):
    plugin = made(
        '(data (i32.const 0) "a\\nb")'
        + on("request", "(call $log (i32.const 0) (i32.const 3)) (i64.const 0)")
    )
    with caplog.at_level(logging.INFO, "apigateway.plugin"):
        for _ in range(20):
            plugin.call(Phase.REQUEST, VIEW)
    assert [r.getMessage() for r in caplog.records] == ["p: a?b"] * 5 and plugin.host.log.dropped == 15


def test_each_phase_is_told_which_it_is():
    body = "(i64.const 0)"
    plugin = made(
        "".join(
            on(
                phase,
                "(call $count (i32.const 0) (i32.const 1) (f64.convert_i32_u (i32.load "
                "(i32.const 4100)))) " + body,
            )
            for phase in ("request", "attempt", "answer", "tick")
        )
        + '(data (i32.const 0) "p")'
    )
    assert plugin.phases == {Phase.REQUEST, Phase.ATTEMPT, Phase.ANSWER, Phase.TICK}
    for phase in (Phase.REQUEST, Phase.ATTEMPT, Phase.ANSWER, Phase.TICK):
        plugin.call(phase, VIEW)
    assert plugin.counters() == {"p": 10.0}


def test_the_self_test_decides_and_state_goes_over():
    plugin = made(on("request", "(i64.const 0)") + '(func (export "self_test") (result i32) (i32.const 3))')
    with pytest.raises(PluginError, match="gave 3"):
        plugin.self_test()
    whole = (EXAMPLES / "sampler" / "sampler.wat").read_bytes()
    old, new = (WasmPlugin("s", whole, {"share": 0.0}, BUDGET) for _ in "ab")
    for _ in range(5):
        old.call(Phase.REQUEST, VIEW)
    assert new.load_state(old.save_state()) and int.from_bytes(new.save_state(), "little") == 5
    assert not new.load_state(b"odd")


def test_mutated_modules_do_no_harm():
    """Seeded: bytes of a sound module changed, taken out, put in. Each is refused or stays within its
    budget."""
    whole, rng = assemble_module((EXAMPLES / "calendar" / "calendar.wat").read_bytes()), random.Random(12)
    settings = {"class": "read", "from": 1.0, "until": 1e12, "wait": 1}
    served = refused = 0
    for _ in range(400):
        raw = bytearray(whole)
        for _ in range(rng.randint(1, 2)):
            at = rng.randrange(8, len(raw))
            if rng.random() < 0.7:
                raw[at] = rng.randrange(256)
            elif rng.random() < 0.5:
                del raw[at]
            else:
                raw.insert(at, rng.randrange(256))
        try:
            plugin = WasmPlugin("m", bytes(raw), settings, BUDGET)
        except (InvalidModuleError, PluginError):
            refused += 1
            continue
        for phase in plugin.phases:
            for _ in range(3):
                try:
                    plugin.call(phase, VIEW)
                    served += 1
                except PluginError:
                    pass
        plugin.close()
    assert refused > 100 and served > 50


def test_the_clock_of_epochs_rests_and_wakes():
    plugin = made(
        on("request", "(loop $l (br $l)) (i64.const 0)"), budget=Budget(fuel=10**12, call_time=0.005)
    )
    until = time.monotonic() + 30
    while plugin.engine.is_clock_running and time.monotonic() < until:
        time.sleep(0.05)  # until it has seen no call for IDLE_EPOCHS epochs
    assert not plugin.engine.is_clock_running
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "time"
