"""Tests of modules that fail: each failure has its reason, and the next call succeeds."""

import random

import pytest
from plugins.wasm.wasm_plugins import BUDGET, EXAMPLES, VIEW, export_phase, make_plugin

from apigateway.plugins.interfaces import Budget, Phase, PluginError, RequestView
from apigateway.plugins.testkit import says
from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin, assemble_module

# With this budget, the fuel runs out before the time.
LONG_TIME_BUDGET = Budget(fuel=50_000, memory_bytes=1024 * 1024, call_time=5.0)


FAILING_BODIES = {
    "loops forever": ("(loop $l (br $l)) (i64.const 0)", "fuel"),
    "traps": ("unreachable", "trap"),
    "divides by zero": ("(i64.div_u (i64.const 1) (i64.const 0))", "trap"),
    "reads out of bounds": ("(i64.load (i32.const -8))", "memory"),
    "allocates endlessly": ("(loop $l (drop (memory.grow (i32.const 1))) (br $l)) (i64.const 0)", "fuel"),
    "uses memory that could not be allocated": (
        "(i64.store (i32.mul (memory.grow (i32.const 100)) (i32.const 65536)) (i64.const 1)) (i64.const 0)",
        "memory",
    ),
    "returns an address out of bounds": ("(i64.const 0x7fffffff00000008)", "nonsense"),
    "returns a length out of bounds": ("(i64.const 0x00000000ffffffff)", "nonsense"),
    "returns all bits set": ("(i64.const -1)", "nonsense"),
    "logs text from out of bounds": ("(call $log (i32.const 65530) (i32.const 100)) (i64.const 0)", "trap"),
    "requests a setting with a negative length": (
        "(drop (call $setting (i32.const 0) (i32.const -1) (i32.const 0) (i32.const 8)))(i64.const 0)",
        "trap",
    ),
    "requests a setting into a buffer out of bounds": (
        "(drop (call $setting (i32.const 0) (i32.const 1) (i32.const 65530) (i32.const 100))) (i64.const 0)",
        "trap",
    ),
    "puts a value from out of bounds": (
        "(drop (call $put (i32.const 0) (i32.const 1) (i32.const 65536) (i32.const 1)))(i64.const 0)",
        "trap",
    ),
    "fills memory endlessly": (
        "(loop $l (memory.fill (i32.const 0) (i32.const 1) (i32.const 65536)) (br $l))(i64.const 0)",
        "fuel",
    ),
    "calls the host endlessly": ("(loop $l (drop (call $random)) (br $l)) (i64.const 0)", ("fuel", "time")),
}


@pytest.mark.parametrize("name", FAILING_BODIES)
def test_failed_call_has_its_reason_and_leaves_no_state(name):
    body, reason = FAILING_BODIES[name]
    # Succeeds for each request except r1, so that the next request shows what the failed call left behind.
    success_body = (
        "(if (i32.ne (i32.load (i32.const 4156)) (i32.const 2))"
        "(then (return (i64.const 0xa00000000003))))"
        "(i32.store (i32.const 900) (i32.const 77))"
    )
    # The long time budget lets the fuel run out first, even on a busy machine.
    plugin = make_plugin(
        '(data (i32.const 40960) "tag")\n' + export_phase("request", success_body + body),
        budget=LONG_TIME_BUDGET,
    )
    for _ in range(3):
        with pytest.raises(PluginError) as caught:
            plugin.call(Phase.REQUEST, VIEW)
        assert caught.value.reason in reason
        assert plugin.call(Phase.REQUEST, RequestView("other")) == [("tag", "", "")]
    assert plugin.reinstantiations >= 2 and plugin.instance.memory.read(900, 4, 4) == b"\0\0\0\0"
    plugin.close()


def test_endless_recursion_is_stopped_by_the_stack_limit():
    plugin = make_plugin(
        "(func $f (param i64) (result i64) (i64.add (call $f (i64.add (local.get 0) (i64.const 1)))"
        "(i64.const 1)))" + export_phase("request", "(call $f (i64.const 1))"),
        budget=Budget(fuel=10**9),
    )
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "stack"


def test_endless_loop_with_ample_fuel_is_stopped_by_the_time_limit():
    plugin = make_plugin(
        export_phase("request", "(loop $l (br $l)) (i64.const 0)"), budget=Budget(fuel=10**12, call_time=0.02)
    )
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "time"


def test_output_that_is_not_utf8_fails_and_a_thousand_tags_are_decoded():
    plugin = make_plugin(
        '(data (i32.const 40960) "tag a \\ff\\fe")' + export_phase("request", "(i64.const 0xa00000000008)")
    )
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "nonsense"
    proposals = make_plugin(says("\n".join(f"tag t{n} {n}" for n in range(1000)))).call(Phase.REQUEST, VIEW)
    assert len(proposals) == 1000


@pytest.mark.parametrize(
    "phase, body",
    [
        ("start", "(func $s (drop (call $random))) (start $s)" + export_phase("request", "(i64.const 0)")),
        ("start", "(func $s (loop $l (br $l))) (start $s)" + export_phase("request", "(i64.const 0)")),
    ],
)
def test_start_function_that_calls_the_host_or_never_ends_is_rejected(phase, body):
    with pytest.raises(PluginError):
        make_plugin(body)


def test_memory_beyond_the_budget_is_rejected_at_instantiation():
    with pytest.raises(PluginError):
        make_plugin(export_phase("request", "(i64.const 0)"), budget=Budget(memory_bytes=1024))


def test_input_names_the_phase_of_the_call():
    body = "(i64.const 0)"
    plugin = make_plugin(
        "".join(
            export_phase(
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


def test_failed_self_test_raises_and_saved_state_can_be_loaded():
    plugin = make_plugin(
        export_phase("request", "(i64.const 0)") + '(func (export "self_test") (result i32) (i32.const 3))'
    )
    with pytest.raises(PluginError, match="returned 3"):
        plugin.self_test()
    raw = (EXAMPLES / "sampler" / "sampler.wat").read_bytes()
    old, new = (WasmPlugin("s", raw, {"share": 0.0}, BUDGET) for _ in "ab")
    for _ in range(5):
        old.call(Phase.REQUEST, VIEW)
    assert new.load_state(old.save_state()) and int.from_bytes(new.save_state(), "little") == 5
    assert not new.load_state(b"odd")


def test_mutated_modules_are_rejected_or_stay_within_their_budget():
    """The modules are made from a valid one by changing, deleting or inserting bytes, with a fixed seed."""
    binary, rng = assemble_module((EXAMPLES / "calendar" / "calendar.wat").read_bytes()), random.Random(12)
    settings = {"class": "read", "from": 1.0, "until": 1e12, "wait": 1}
    served = rejected = 0
    for _ in range(400):
        raw = bytearray(binary)
        for _ in range(rng.randint(1, 2)):
            position = rng.randrange(8, len(raw))
            if rng.random() < 0.7:
                raw[position] = rng.randrange(256)
            elif rng.random() < 0.5:
                del raw[position]
            else:
                raw.insert(position, rng.randrange(256))
        try:
            plugin = WasmPlugin("m", bytes(raw), settings, BUDGET)
        except (InvalidModuleError, PluginError):
            rejected += 1
            continue
        for phase in plugin.phases:
            for _ in range(3):
                try:
                    plugin.call(phase, VIEW)
                    served += 1
                except PluginError:
                    pass
        plugin.close()
    assert rejected > 100 and served > 50
