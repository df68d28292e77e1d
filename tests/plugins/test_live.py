"""Plug-ins in the core, without a socket: refusals, routes, swaps with requests in work, records,
failures."""

import json
import logging
import os
import random
import sys
import time

import pytest
from core.fakes import DispatcherHarness, FakeUpstreamRequest, RecordingSink, make_request
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.config_validation import InvalidConfigFileError
from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.interfaces import Budget, BudgetPolicy, FailureReason, Phase, PluginError, Proposal
from apigateway.plugins.isolated_validation import PROCESS_ENDED, ValidationJob, validate_isolated
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.manager import PluginManager, StateTransferError
from apigateway.plugins.proposals import ProposalLimits
from apigateway.plugins.records import RequestRecorder, parse_record, read_records
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import BudgetSection, HooksSection, PluginSection, RuleSection
from apigateway.plugins.testkit import module, says
from apigateway.plugins.testkit import settings as gateway

ALLOWANCE = ProposalLimits(frozenset(["batch"]), 8, 512, 2.0)


class Scripted:
    """A plug-in of the test's own: says what `say` makes of phase and view, or raises it."""

    kind = "scripted"

    def __init__(self, say, phases=Phase, state=None):
        self.say, self.phases, self.state = say, frozenset(phases), state
        self.seen, self.closed = [], False

    def call(self, phase, view):
        assert not self.closed, "called after its end"
        self.seen.append((phase, view.request_id, view.outcome))
        said = self.say(phase, view) if callable(self.say) else self.say
        if isinstance(said, Exception):
            raise said
        return said or []

    def save_state(self):
        if isinstance(self.state, Exception):
            raise self.state
        return self.state

    def load_state(self, state):
        if isinstance(self.state, Exception):
            raise self.state
        self.state = state
        return True

    def counters(self):
        return {}

    def status(self):
        return {}

    def close(self):
        assert not self.closed, "closed twice"
        self.closed = True


def seat(plugin, name="p", **budget):
    return PluginRunner(name, plugin, Budget(**budget), f"{id(plugin)}", 0.0)


def version(*seats, chain=5.0):
    return ChainVersion(list(seats), ALLOWANCE, chain)


def hooked(*seats, recorder=None, **kw):
    w = DispatcherHarness(**kw)
    w.core.plugins = w.hooks = PluginManager(version(*seats), lambda: 1000.0, w.loop, 1.0, recorder)
    return w


def on_request(*said):
    return lambda phase, view: [Proposal(*p) for p in said] if phase == Phase.REQUEST else []


def test_a_refusal_reaches_the_module_as_barred_and_nothing_else_of_the_request():
    w = hooked(seat(Scripted(on_request(("refuse", "1.5")))))
    place = w.submit("a", [messages.Reject("a", 1.5)])
    assert (
        w.module.events == [messages.RejectedByPlugin("a", 1.5)]
        and place.answers == ["refused"]
        and not w.core.in_flight
    )
    assert w.hooks.version.open_requests == 0


def test_the_module_answers_a_barred_request_at_once_and_takes_no_units():
    from helpers import World as Decisions

    w = Decisions()
    accounts = dict(w.gw.quotas)
    assert w.do(messages.RejectedByPlugin("x", 0.7)) == [messages.Reject("x", 0.7)]
    assert (
        w.do(messages.RejectedByPlugin("y", 60.0)) == [messages.Reject("y", 1.0)]
        and w.gw.quotas == accounts
        and not w.gw.pending
    )


def test_a_route_and_tags_go_with_the_request():
    plugin = Scripted(on_request(("route", "batch"), ("tag", "district", "kochi")))
    w = hooked(seat(plugin))
    w.submit("a", [messages.ForwardRequest("a", "h1")])
    assert w.module.events[0].route == "batch"
    w.upstream.sent[0].end("ok")
    assert [(p, o) for p, _, o in plugin.seen] == [
        (Phase.REQUEST, ""),
        (Phase.ATTEMPT, ""),
        (Phase.ANSWER, "served"),
    ]


@pytest.mark.parametrize(
    "how", [RuntimeError("broken"), PluginError(FailureReason.TRAP), MemoryError(), RecursionError()]
)
def test_a_plug_in_that_raises_is_skipped_in_each_phase(how):
    w = hooked(seat(Scripted(how)))
    place = w.submit("a", [messages.ForwardRequest("a", "h1")])
    w.upstream.sent[0].end("ok")
    assert place.answers == ["served"] and not w.core.in_flight and w.hooks.version.open_requests == 0
    w.hooks.tick()
    assert sum(w.hooks.version.runners[0].failures.values()) == 4


def test_past_its_budget_a_request_is_refused_where_settings_say_so():
    w = hooked(
        seat(
            Scripted(PluginError(FailureReason.FUEL), [Phase.REQUEST]),
            when_exceeded=BudgetPolicy.REJECT,
            failure_threshold=2,
            open_time=30.0,
        )
    )
    for n in range(4):
        place = w.submit(str(n), [messages.Reject(str(n))])
        assert place.answers == ["refused"]
    told = w.hooks.status()["plugins"][0]
    assert told["failed"] == {"fuel": 2} and told["not asked"] == {"out": 2} and told["state"] == "out"
    # cut to what may be told
    told = w.module.events[-1]
    assert isinstance(told, messages.RejectedByPlugin) and told.retry_after == 2.0


def test_all_plug_ins_together_hold_a_request_up_for_no_longer_than_the_chain():
    calls = []
    seats = [seat(Scripted(lambda phase, view: calls.append(1), [Phase.REQUEST]), f"p{n}") for n in range(5)]
    w = hooked()
    w.hooks.version = version(*seats, chain=-1.0)  # it is over with the first
    w.submit("a", [messages.Reject("a")])
    assert len(calls) == 1 and [s.skipped for s in seats] == [{}] + [{"chain": 1}] * 4


def test_later_plug_ins_see_the_tags_of_earlier_ones_and_a_refusal_ends_the_chain():
    seen = []
    first, last = (
        Scripted(on_request(("tag", "a", "1"))),
        Scripted(lambda phase, view: seen.append(dict(view.tags))),
    )
    w = hooked(seat(first, "one"), seat(last, "two"))
    w.submit("a")
    assert seen == [{"a": "1"}]
    first.say = on_request(("refuse", "0"))
    w.submit("b", [messages.Reject("b")])
    assert len(seen) == 2 and ("answer", "b", "refused") in last.seen  # not asked, but told how it ended


FIVE_RULES = [
    ("no request lost", [("hold", "5"), ("serve", "")]),
    (
        "no effect twice",
        [("send", "h1"), ("send", "h2"), ("retry", "9"), ("effect", "safe"), ("class", "read")],
    ),
    ("drains kept", [("host", "h1"), ("drain", "h1 no")]),
    ("cold hosts", [("host", "h2"), ("send", "h2")]),
    ("ceilings kept", [("plan", "enterprise"), ("customer", "x"), ("units", "0")]),
    ("the client's time", [("deadline", "99"), ("left", "99")]),
]


@pytest.mark.parametrize("rule, said", FIVE_RULES)
def test_a_plug_in_that_tries_a_rule_by_name_changes_nothing(rule, said):
    w = hooked(seat(Scripted([Proposal(*p) for p in said])))
    asked = make_request("a")
    place = RecordingSink()
    w.module.next_actions = [messages.ForwardRequest("a", "h1")]
    w.core.submit("front", asked, FakeUpstreamRequest(), place)
    assert w.module.events[0] == asked and [a.endpoint_id for a in w.upstream.sent] == ["h1"]
    w.upstream.sent[0].end("ok")
    assert place.answers == ["served"]
    denied = w.hooks.version.runners[0].denied
    assert sum(denied.values()) == 3 * len(said) and all(what.endswith(": fixed") for what in denied)


def test_each_request_ends_on_the_version_it_began_with_and_the_old_goes_with_the_last():
    old, new = Scripted(None), Scripted(None)
    w = hooked(seat(old))
    first, second = (
        w.submit("a", [messages.ForwardRequest("a", "h1")]),
        w.submit("b", [messages.ForwardRequest("b", "h1")]),
    )
    w.hooks.swap(version(seat(new)))
    w.submit("c", [messages.ForwardRequest("c", "h1")])
    for attempt in list(w.upstream.sent):
        assert not old.closed or attempt is w.upstream.sent[2]
        attempt.end("ok")
    assert first.answers == second.answers == ["served"]
    assert {id for _, id, _ in old.seen} == {"a", "b"} and {id for _, id, _ in new.seen} == {"c"}
    assert old.closed and not new.closed and not w.hooks.draining_versions


def test_swapped_with_hundreds_in_flight_the_new_one_trapping_at_its_first_call():
    old = Scripted(on_request(("tag", "a", "1")))
    w = hooked(seat(old), max_in_flight=1000, max_body_bytes=10**6)
    places = [w.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400)]
    bad = Scripted(PluginError(FailureReason.TRAP))
    w.hooks.swap(version(seat(bad, failure_threshold=3)))
    places += [w.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400, 800)]
    for attempt in w.upstream.sent:
        attempt.end("ok")
    assert all(place.answers == ["served"] for place in places)
    assert old.closed and len(bad.seen) == 3 and len(old.seen) == 3 * 400


def test_two_hundred_swaps_in_a_row_leave_nothing_behind():
    made = [Scripted(None, state=b"0")]
    w = hooked(seat(made[0]), max_in_flight=1000, max_body_bytes=10**6)
    for n in range(200):
        w.submit(str(n), [messages.ForwardRequest(str(n), "h1")])
        made.append(Scripted(None))
        w.hooks.swap(version(seat(made[-1])))
    assert (
        len(w.hooks.draining_versions) == 200 and made[-1].state == b"0"
    )  # each carried it over to the next
    for attempt in random.Random(1).sample(w.upstream.sent, 200):
        attempt.end("ok")
    assert not w.hooks.draining_versions and [p.closed for p in made] == [True] * 200 + [False]
    assert w.hooks.status()["version"] == 201


def test_a_version_that_cannot_take_the_state_leaves_the_old_in_force():
    old, bad = Scripted(None, state=b"x"), Scripted(None, state=PluginError(FailureReason.TRAP))
    w = hooked(seat(old))
    with pytest.raises(StateTransferError):
        w.hooks.swap(version(seat(bad)))
    assert w.hooks.version.runners[0].plugin is old and not old.closed
    broken = Scripted(None, state=PluginError(FailureReason.TRAP))
    w = hooked(seat(broken))
    fresh = Scripted(None)
    w.hooks.swap(version(seat(fresh)))  # the one that is replaced may be the broken one
    assert fresh.state is None and broken.closed


def test_what_both_versions_share_goes_with_the_later():
    kept, gone = Scripted(None), Scripted(None)
    same = seat(kept, "kept")
    w = hooked(same, seat(gone, "gone"))
    w.hooks.swap(version(same))
    assert gone.closed and not kept.closed
    w.submit("a", [messages.ForwardRequest("a", "h1")])
    w.hooks.retire()
    w.core.plugins = None
    assert not kept.closed
    w.upstream.sent[0].end("ok")
    assert kept.closed


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "end", "gone", "swap", "tick", "late"]),
        st.integers(0, 50),
        st.sampled_from(["ok", "reset", "full", "timeout"]),
    ),
    max_size=60,
)
SAID = st.lists(
    st.builds(
        Proposal,
        st.sampled_from(["tag", "refuse", "route", "send", "deadline"]),
        st.sampled_from(["a", "b", "batch", "1", "nan"]),
        st.text(max_size=4),
    ),
    max_size=6,
)


@seed(5)
@settings(max_examples=150, deadline=None, database=None)
@given(
    STEPS,
    st.lists(
        st.one_of(SAID, st.sampled_from([PluginError(FailureReason.TRAP), RuntimeError("x")])), min_size=1
    ),
)
def test_whatever_plug_ins_say_and_when_they_are_swapped_each_request_ends_once(steps, said):
    """The module is the test's and answers soundly: it sends what it hears of and refuses what is barred."""
    logging.disable(logging.CRITICAL)
    turn = iter(range(10**9))
    made, places, gone = [], {}, set()

    def one():
        made.append(Scripted(lambda phase, view: said[next(turn) % len(said)], state=b"s"))
        return version(seat(made[-1], failure_threshold=10**6, cpu_share=1.0, cpu_share_window=1000.0))

    w = hooked(max_in_flight=10_000, max_body_bytes=10**9)
    w.hooks.version = one()
    w.module.handle = lambda now, event: (
        [messages.ForwardRequest(event.request_id, "h1")]
        if isinstance(event, messages.Request)
        else [messages.Reject(event.request_id, event.retry_after)]
        if isinstance(event, messages.RejectedByPlugin)
        else [messages.Fail(event.request_id)]
        if isinstance(event, messages.AttemptOutcome) and not event.is_final
        else []
    )
    try:
        for what, which, result in steps:
            out = [a for a in w.upstream.sent if not a.result]
            if what == "take":
                id = str(len(places))
                places[id] = RecordingSink()
                w.core.submit("front", make_request(id), FakeUpstreamRequest(), places[id])
            elif what == "swap":
                w.hooks.swap(one())
            elif what == "tick":
                w.hooks.tick()
            elif what == "gone" and places:
                id = str(which % len(places))
                gone.add(id) if not places[id].answers else None
                w.core.on_client_disconnected(places[id])
            elif what == "late" and w.core.in_flight:
                w.core.deadline_guard.on_deadline(
                    list(w.core.in_flight.values())[which % len(w.core.in_flight)]
                )
            elif what == "end" and out:
                out[which % len(out)].end(result)
        for attempt in w.upstream.sent:
            attempt.end("reset")
        w.loop.timers.clear()
    finally:
        logging.disable(logging.NOTSET)
    for id, place in places.items():
        assert len(place.answers) == (id not in gone), (id, place.answers)
    assert not w.core.in_flight and not w.hooks.draining_versions and w.hooks.version.open_requests == 0
    assert [p.closed for p in made] == [True] * (len(made) - 1) + [False]
    for plugin in made:  # each request that a plug-in was asked about it was told the end of, once
        begun = [id for phase, id, _ in plugin.seen if phase == Phase.REQUEST]
        ended = [id for phase, id, _ in plugin.seen if phase == Phase.ANSWER]
        assert sorted(begun) == sorted(ended)


# Loading


def part(name="p", **kw):
    return PluginSection(name=name, **kw)


def loading(tmp_path, *parts, old=None):
    return load_chain(
        parts, HooksSection(), PluginEnvironment(str(tmp_path / "gateway.toml"), gateway()), old
    )


@pytest.mark.parametrize(
    "make, key, words",
    [
        (lambda p: part(), "plugins[0].file", "neither a file nor rules"),
        (lambda p: part(file="x.py"), "plugins[0].file", "cannot be read"),
        (lambda p: (p / "x.py").write_text("1") and part(file="x.py"), "plugins[0].file", "neither .wasm"),
        (
            lambda p: (p / "x.wasm").write_bytes(b"\0asm\1\0\0") and part(file="x.wasm"),
            "plugins[0].file",
            "no sound",
        ),
        (
            lambda p: (p / "x.wasm").write_bytes(bytes(50 * 1024 * 1024)) and part(file="x.wasm"),
            "plugins[0].file",
            "52428800 bytes",
        ),
        (lambda p: (p / "x.wat").mkdir() or part(file="x.wat"), "plugins[0].file", "no regular file"),
        (
            lambda p: (
                (p / "x.wat").write_text(
                    module(says("tag a 1").replace("(i64.const", "unreachable (i64.const"))
                )
                and part(file="x.wat")
            ),
            "plugins[0].file",
            "failed its proof (trap",
        ),
        (
            lambda p: (
                (p / "x.wat").write_text(module("(func $s (loop $l (br $l))) (start $s)" + says("")))
                and part(file="x.wat")
            ),
            "plugins[0].file",
            "failed its proof (fuel",
        ),
        (lambda p: part(rules=[RuleSection(when="1")]), "plugins[0].rules[0].when", "gives number"),
        (lambda p: part(rules=[RuleSection(tag={"A b": "id"})]), "plugins[0].rules[0].tag", "small letters"),
        (
            lambda p: part(rules=[RuleSection(on="answer", refuse="1")]),
            "plugins[0].rules[0].refuse",
            "not in the phase",
        ),
        (
            lambda p: part(rules=[RuleSection(tag={"a": "1 / 0"})]),
            "plugins[0].rules",
            "failed its proof (error",
        ),
        (
            lambda p: (p / "r.toml").write_text("[[rules]]\nwhen = 'nix'") and part(file="r.toml"),
            "rules[0].when",
            "no field 'nix'",
        ),
        (
            lambda p: (p / "r.toml").write_text("[[rules]]\nwhn = 'nix'") and part(file="r.toml"),
            "rules[0].whn",
            "unknown key",
        ),
        (lambda p: (p / "r.toml").write_text("x = ") and part(file="r.toml"), "plugins[0].file", "not TOML"),
        (lambda p: (p / "r.toml").write_text("\n") and part(file="r.toml"), "plugins[0].file", "no rule"),
    ],
)
def test_a_bad_plug_in_is_told_by_file_key_value_and_reason(make, key, words, tmp_path):
    with pytest.raises(InvalidConfigFileError) as caught:
        loading(tmp_path, make(tmp_path))
    (fault,) = caught.value.problems
    assert fault.key == key and words in fault.reason and fault.remedy and str(tmp_path) in fault.file


def test_all_faults_are_told_at_once_and_names_are_each_ones_own(tmp_path):
    with pytest.raises(InvalidConfigFileError) as caught:
        loading(tmp_path, part(rules=[RuleSection()]), part(rules=[RuleSection()]), part("q", file="nix.wat"))
    assert [fault.key for fault in caught.value.problems] == ["plugins[1].name", "plugins[2].file"]


def test_without_the_engine_a_module_is_refused_with_what_to_install(tmp_path, monkeypatch):
    (tmp_path / "a.wat").write_text(module(says("tag a 1")))
    monkeypatch.setitem(sys.modules, "wasmtime", None)
    with pytest.raises(InvalidConfigFileError, match="needs wasmtime.*pip install"):
        loading(tmp_path, part("a", file="a.wat"))
    assert loading(tmp_path, part("b", rules=[RuleSection()])).runners  # rules need none


def test_what_did_not_change_goes_on_with_its_state(tmp_path):
    (tmp_path / "a.wat").write_text(module(says("tag a 1")))
    parts = [part("a", file="a.wat"), part("b", rules=[RuleSection(tag={"b": "'1'"})])]
    old = loading(tmp_path, *parts)
    same = loading(tmp_path, *parts, old=old)
    assert [s in old.runners for s in same.runners] == [True, True]
    (tmp_path / "a.wat").write_text(module(says("tag a 2")))
    new = loading(tmp_path, *parts, old=old)
    assert [s in old.runners for s in new.runners] == [False, True]
    wider = loading(tmp_path, part("a", file="a.wat", budget=BudgetSection(fuel=5000)), parts[1], old=new)
    assert [s in new.runners for s in wider.runners] == [False, True]


def test_it_passes_its_proof_and_fails_in_service(tmp_path):
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64)'
            "(if (i32.eq (i32.load8_u (i32.load (i32.const 4160)))"
            "(i32.const 102)) (then unreachable)) (i64.const 0))"
        )
    )  # a customer that begins with f
    loaded = loading(tmp_path, part("a", file="a.wat", budget=BudgetSection(failures=3, rest=100.0)))
    w = hooked()
    w.hooks.version = loaded
    for n in range(6):
        place = RecordingSink()
        w.module.next_actions = [messages.ForwardRequest(str(n), "h1")]
        w.core.submit(
            "front",
            messages.Request(str(n), 3.0, "ff", "basic", "roster-read", 1.0, 0, 1),
            FakeUpstreamRequest(),
            place,
        )
        w.upstream.sent[-1].end("ok")
        assert place.answers == ["served"]
    told = w.hooks.status()["plugins"][0]
    assert told["failed"] == {"trap": 3} and told["state"] == "out" and told["not asked"] == {"out": 3}


class Ends:
    """Ends the process that reads it from a pickle."""

    def __reduce__(self):
        return os.abort, ()


class Hangs:
    def __reduce__(self):
        return time.sleep, (600,)


@pytest.mark.parametrize("how, words", [(Ends(), "exit code -6"), (Hangs(), "not done in 5 s")])
def test_a_module_that_ends_the_process_is_found_out_in_one_of_its_own(how, words):
    raw = module(says("tag a 1")).encode()
    made = [ValidationJob("p", raw, settings, Budget(), 0, gateway()) for settings in ({}, how, {}, {})]
    made[3] = ValidationJob("p", b"(module", {}, Budget(), 0, gateway())
    told = validate_isolated(made, 5.0)
    assert told[0] == told[2] == "" and words in told[1] and "cannot be assembled" in told[3]


@pytest.mark.parametrize(
    "body",
    [
        '(func (export "on_answer") (param (ref null any)))',
        '(func (export "self_test") (param exnref))',
        '(type $t (func)) (func (export "on_tick") (param (ref $t)))',
        '(func (export "on_load") (param (ref func)))',
        '(func (export "on_save") (param i31ref))',
    ],
)
def test_parts_of_the_standard_that_the_engines_interface_lacks_are_refused(body):
    """They ended the process: found by mutated modules."""
    (why,) = validate_isolated(
        [ValidationJob("p", module(says("") + body).encode(), {}, Budget(), 0, gateway())]
    )
    assert why and PROCESS_ENDED not in why


def test_one_that_burns_just_under_its_fuel_at_every_call_is_held_to_its_share(tmp_path):
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64) (local $n i32)'
            "(local.set $n (i32.const 30000))"
            "(loop $l (local.set $n (i32.sub (local.get $n) (i32.const 1))) (br_if $l (local.get $n)))"
            "(i64.const 0))"
        )
    )
    w = hooked(max_in_flight=2000, max_body_bytes=10**6)
    # Its time is not what this is about: a core that is taken away for 10 ms would count as too long a call.
    budget = BudgetSection(share=0.001, span=5.0, time_ms=1000.0)
    w.hooks.version = loading(tmp_path, part("a", file="a.wat", budget=budget))
    places = [w.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(1000)]
    for attempt in w.upstream.sent:
        attempt.end("ok")
    (told,) = w.hooks.status()["plugins"]
    assert not told["failed"] and told["state"] == "in"
    assert told["calls"]["request"] + told["not asked"]["share"] == 1000
    assert told["not asked"]["share"] > 500
    assert all(place.answers == ["served"] for place in places)


# Records


def test_records_tell_what_came_of_each_request_and_only_the_tagged_ones(tmp_path):
    file = tmp_path / "records.jsonl"
    recorder = RequestRecorder(str(file), "export", 10**6, 100)
    said = {
        Phase.REQUEST: lambda v: [Proposal("tag", "export", "1")] if v.request_id == "a" else [],
        Phase.ATTEMPT: lambda v: [Proposal("tag", "host", v.endpoint_id)],
    }
    w = hooked(seat(Scripted(lambda phase, view: said.get(phase, lambda v: [])(view))), recorder=recorder)
    for id in "ab":
        w.submit(id, [messages.ForwardRequest(id, "h1")])
        w.module.next_actions = [messages.ForwardRequest(id, "h2")]
        w.upstream.sent[-1].end("full")
        w.upstream.sent[-1].end("ok")
    w.hooks.close()
    ((number, told),) = read_records(str(file))
    assert (number, told["id"], told["outcome"], told["tags"]) == (1, "a", "served", {"export": "1"})
    assert told["attempts"] == [
        {"host": "h1", "tags": {"host": "h1"}},
        {"host": "h2", "tags": {"host": "h2"}},
    ]
    assert parse_record(told).service_class == "read"


def test_records_are_rotated_dropped_and_counted_and_a_cut_line_is_left_out(tmp_path):
    from apigateway.plugins.interfaces import RequestView
    from apigateway.plugins.proposals import RequestEffects

    file = tmp_path / "r.jsonl"
    recorder = RequestRecorder(str(file), "", 2000, 1000)
    for n in range(20):
        recorder.record(RequestView(str(n)), RequestEffects(), [])
    recorder.close()
    assert recorder.written == 20 and file.stat().st_size <= 2000 and (tmp_path / "r.jsonl.1").exists()
    whole = list(read_records(str(file)))
    with open(file, "a") as out:
        out.write('{"id": "cut')
    assert list(read_records(str(file))) == whole and json.loads(file.read_text().splitlines()[0])
    full = RequestRecorder(str(file), "", 10**6, 1)
    full.thread.join(0)
    full._write = lambda told: blocked.wait()  # a disk that hangs
    import threading

    blocked = threading.Event()
    for n in range(10):
        full.record(RequestView(str(n)), RequestEffects(), [])
    assert full.dropped >= 8
    blocked.set()
    full.close()
