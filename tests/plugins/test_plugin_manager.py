"""Plug-ins in the core, without a socket: rejections, routes, failures, swaps with requests in flight."""

import logging
import random
from types import SimpleNamespace

import pytest
from core.fakes import FakeUpstreamRequest, RecordingSink, make_request
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from plugins.plugin_fakes import (
    ScriptedPlugin,
    load,
    make_harness,
    make_runner,
    make_version,
    plugin_section,
    propose_on_request,
)

from apigateway import messages
from apigateway.plugins import manager, runner
from apigateway.plugins.interfaces import BudgetPolicy, FailureReason, Phase, PluginError, Proposal
from apigateway.plugins.manager import StateTransferError
from apigateway.plugins.settings import BudgetSection
from apigateway.plugins.testkit import module


def test_rejection_reaches_the_module_and_nothing_else_of_the_request():
    harness = make_harness(make_runner(ScriptedPlugin(propose_on_request(("refuse", "1.5")))))
    sink = harness.submit("a", [messages.Reject("a", 1.5)])
    assert (
        harness.module.events == [messages.RejectedByPlugin("a", 1.5)]
        and sink.answers == ["refused"]
        and not harness.core.in_flight
    )
    assert harness.manager.version.open_requests == 0


def test_module_answers_a_request_rejected_by_a_plugin_at_once_and_takes_no_units():
    from helpers import DecisionHarness

    harness = DecisionHarness()
    accounts = dict(harness.gateway.quotas)
    assert harness.handle(messages.RejectedByPlugin("x", 0.7)) == [messages.Reject("x", 0.7)]
    assert (
        harness.handle(messages.RejectedByPlugin("y", 60.0)) == [messages.Reject("y", 1.0)]
        and harness.gateway.quotas == accounts
        and not harness.gateway.pending
    )


def test_route_and_tags_go_with_the_request():
    plugin = ScriptedPlugin(propose_on_request(("route", "batch"), ("tag", "district", "kochi")))
    harness = make_harness(make_runner(plugin))
    harness.submit("a", [messages.ForwardRequest("a", "h1")])
    assert harness.module.events[0].route == "batch"
    harness.upstream.sent[0].end("ok")
    assert [(p, o) for p, _, o in plugin.seen] == [
        (Phase.REQUEST, ""),
        (Phase.ATTEMPT, ""),
        (Phase.ANSWER, "served"),
    ]


@pytest.mark.parametrize(
    "error", [RuntimeError("broken"), PluginError(FailureReason.TRAP), MemoryError(), RecursionError()]
)
def test_plugin_that_raises_is_skipped_in_each_phase(error):
    harness = make_harness(make_runner(ScriptedPlugin(error)))
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.upstream.sent[0].end("ok")
    assert (
        sink.answers == ["served"]
        and not harness.core.in_flight
        and harness.manager.version.open_requests == 0
    )
    harness.manager.tick()
    assert sum(harness.manager.version.runners[0].failures.values()) == 4


def test_request_is_rejected_where_settings_say_so_when_its_plugin_is_past_its_budget():
    harness = make_harness(
        make_runner(
            ScriptedPlugin(PluginError(FailureReason.FUEL), [Phase.REQUEST]),
            when_exceeded=BudgetPolicy.REJECT,
            failure_threshold=2,
            open_time=30.0,
        )
    )
    for n in range(4):
        sink = harness.submit(str(n), [messages.Reject(str(n))])
        assert sink.answers == ["refused"]
    status = harness.manager.status()["plugins"][0]
    assert status["failed"] == {"fuel": 2} and status["not asked"] == {"out": 2} and status["state"] == "out"
    # cut to what may be status
    event = harness.module.events[-1]
    assert isinstance(event, messages.RejectedByPlugin) and event.retry_after == 2.0


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


@pytest.mark.parametrize("rule, proposals", FIVE_RULES)
def test_plugin_that_tries_a_rule_by_name_changes_nothing(rule, proposals, monkeypatch):
    # The time that plug-ins took is deducted from what the request has left. Here they take none, also where
    # the machine is busy, so that what the module hears of has to be the same to the last digit.
    standing_clock = SimpleNamespace(monotonic=lambda: 1000.0)
    monkeypatch.setattr(manager, "time", standing_clock)
    monkeypatch.setattr(runner, "time", standing_clock)
    harness = make_harness(make_runner(ScriptedPlugin([Proposal(*p) for p in proposals])))
    request = make_request("a")
    sink = RecordingSink()
    harness.module.next_actions = [messages.ForwardRequest("a", "h1")]
    harness.core.submit("front", request, FakeUpstreamRequest(), sink)
    assert harness.module.events[0] == request and [a.endpoint_id for a in harness.upstream.sent] == ["h1"]
    harness.upstream.sent[0].end("ok")
    assert sink.answers == ["served"]
    denied = harness.manager.version.runners[0].denied
    assert sum(denied.values()) == 3 * len(proposals) and all(what.endswith(": fixed") for what in denied)


def test_request_ends_on_the_version_it_began_with_and_the_old_closes_with_its_last():
    old, new = ScriptedPlugin(None), ScriptedPlugin(None)
    harness = make_harness(make_runner(old))
    first, second = (
        harness.submit("a", [messages.ForwardRequest("a", "h1")]),
        harness.submit("b", [messages.ForwardRequest("b", "h1")]),
    )
    harness.manager.swap(make_version(make_runner(new)))
    harness.submit("c", [messages.ForwardRequest("c", "h1")])
    for attempt in list(harness.upstream.sent):
        assert not old.closed or attempt is harness.upstream.sent[2]
        attempt.end("ok")
    assert first.answers == second.answers == ["served"]
    assert {id for _, id, _ in old.seen} == {"a", "b"} and {id for _, id, _ in new.seen} == {"c"}
    assert old.closed and not new.closed and not harness.manager.draining_versions


def test_swap_with_hundreds_in_flight_loses_no_request_when_the_new_plugin_traps():
    old = ScriptedPlugin(propose_on_request(("tag", "a", "1")))
    harness = make_harness(make_runner(old), max_in_flight=1000, max_body_bytes=10**6)
    sinks = [harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400)]
    bad = ScriptedPlugin(PluginError(FailureReason.TRAP))
    harness.manager.swap(make_version(make_runner(bad, failure_threshold=3)))
    sinks += [harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400, 800)]
    for attempt in harness.upstream.sent:
        attempt.end("ok")
    assert all(sink.answers == ["served"] for sink in sinks)
    assert old.closed and len(bad.seen) == 3 and len(old.seen) == 3 * 400


def test_two_hundred_swaps_in_a_row_leave_nothing_behind():
    made = [ScriptedPlugin(None, state=b"0")]
    harness = make_harness(make_runner(made[0]), max_in_flight=1000, max_body_bytes=10**6)
    for n in range(200):
        harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")])
        made.append(ScriptedPlugin(None))
        harness.manager.swap(make_version(make_runner(made[-1])))
    assert (
        len(harness.manager.draining_versions) == 200 and made[-1].state == b"0"
    )  # each carried it over to the next
    for attempt in random.Random(1).sample(harness.upstream.sent, 200):
        attempt.end("ok")
    assert not harness.manager.draining_versions and [p.closed for p in made] == [True] * 200 + [False]
    assert harness.manager.status()["version"] == 201


def test_swap_when_state_cannot_be_taken_leaves_the_old_version_in_force():
    old, bad = ScriptedPlugin(None, state=b"x"), ScriptedPlugin(None, state=PluginError(FailureReason.TRAP))
    harness = make_harness(make_runner(old))
    with pytest.raises(StateTransferError):
        harness.manager.swap(make_version(make_runner(bad)))
    assert harness.manager.version.runners[0].plugin is old and not old.closed
    broken = ScriptedPlugin(None, state=PluginError(FailureReason.TRAP))
    harness = make_harness(make_runner(broken))
    fresh = ScriptedPlugin(None)
    harness.manager.swap(make_version(make_runner(fresh)))  # the one that is replaced may be the broken one
    assert fresh.state is None and broken.closed


def test_plugin_that_versions_share_closes_with_the_later():
    kept, gone = ScriptedPlugin(None), ScriptedPlugin(None)
    same = make_runner(kept, "kept")
    harness = make_harness(same, make_runner(gone, "gone"))
    harness.manager.swap(make_version(same))
    assert gone.closed and not kept.closed
    harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.manager.retire()
    harness.core.plugins = None
    assert not kept.closed
    harness.upstream.sent[0].end("ok")
    assert kept.closed


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "end", "gone", "swap", "tick", "late"]),
        st.integers(0, 50),
        st.sampled_from(["ok", "reset", "full", "timeout"]),
    ),
    max_size=60,
)


RESPONSES = st.lists(
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
        st.one_of(RESPONSES, st.sampled_from([PluginError(FailureReason.TRAP), RuntimeError("x")])),
        min_size=1,
    ),
)
def test_each_request_ends_once_whatever_plugins_propose_and_whenever_they_are_swapped(steps, responses):
    """The module is the test's and answers soundly: it sends what it hears of and refuses what is barred."""
    logging.disable(logging.CRITICAL)
    turn = iter(range(10**9))
    made, sinks, gone = [], {}, set()

    def one():
        made.append(ScriptedPlugin(lambda phase, view: responses[next(turn) % len(responses)], state=b"s"))
        return make_version(
            make_runner(made[-1], failure_threshold=10**6, cpu_share=1.0, cpu_share_window=1000.0)
        )

    harness = make_harness(max_in_flight=10_000, max_body_bytes=10**9)
    harness.manager.version = one()
    harness.module.handle = lambda now, event: (
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
            out = [a for a in harness.upstream.sent if not a.result]
            if what == "take":
                id = str(len(sinks))
                sinks[id] = RecordingSink()
                harness.core.submit("front", make_request(id), FakeUpstreamRequest(), sinks[id])
            elif what == "swap":
                harness.manager.swap(one())
            elif what == "tick":
                harness.manager.tick()
            elif what == "gone" and sinks:
                id = str(which % len(sinks))
                gone.add(id) if not sinks[id].answers else None
                harness.core.on_client_disconnected(sinks[id])
            elif what == "late" and harness.core.in_flight:
                harness.core.deadline_guard.on_deadline(
                    list(harness.core.in_flight.values())[which % len(harness.core.in_flight)]
                )
            elif what == "end" and out:
                out[which % len(out)].end(result)
        for attempt in harness.upstream.sent:
            attempt.end("reset")
        harness.loop.timers.clear()
    finally:
        logging.disable(logging.NOTSET)
    for id, sink in sinks.items():
        assert len(sink.answers) == (id not in gone), (id, sink.answers)
    assert (
        not harness.core.in_flight
        and not harness.manager.draining_versions
        and harness.manager.version.open_requests == 0
    )
    assert [p.closed for p in made] == [True] * (len(made) - 1) + [False]
    for plugin in made:  # each request that a plug-in was asked about it was told the end of, once
        begun = [id for phase, id, _ in plugin.seen if phase == Phase.REQUEST]
        ended = [id for phase, id, _ in plugin.seen if phase == Phase.ANSWER]
        assert sorted(begun) == sorted(ended)


def test_plugin_that_passes_validation_and_fails_in_service_is_taken_out(tmp_path):
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64)'
            "(if (i32.eq (i32.load8_u (i32.load (i32.const 4160)))"
            "(i32.const 102)) (then unreachable)) (i64.const 0))"
        )
    )  # a customer that begins with f
    loaded = load(tmp_path, plugin_section("a", file="a.wat", budget=BudgetSection(failures=3, rest=100.0)))
    harness = make_harness()
    harness.manager.version = loaded
    for n in range(6):
        sink = RecordingSink()
        harness.module.next_actions = [messages.ForwardRequest(str(n), "h1")]
        harness.core.submit(
            "front",
            messages.Request(str(n), 3.0, "ff", "basic", "roster-read", 1.0, 0, 1),
            FakeUpstreamRequest(),
            sink,
        )
        harness.upstream.sent[-1].end("ok")
        assert sink.answers == ["served"]
    status = harness.manager.status()["plugins"][0]
    assert status["failed"] == {"trap": 3} and status["state"] == "out" and status["not asked"] == {"out": 3}


def test_plugin_just_under_its_fuel_at_each_call_is_held_to_its_cpu_share(tmp_path):
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64) (local $n i32)'
            "(local.set $n (i32.const 30000))"
            "(loop $l (local.set $n (i32.sub (local.get $n) (i32.const 1))) (br_if $l (local.get $n)))"
            "(i64.const 0))"
        )
    )
    harness = make_harness(max_in_flight=2000, max_body_bytes=10**6)
    # Its time is not what this is about: a core that is taken away for 10 ms would count as too long a call.
    budget = BudgetSection(share=0.001, span=5.0, time_ms=1000.0)
    harness.manager.version = load(tmp_path, plugin_section("a", file="a.wat", budget=budget))
    sinks = [harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(1000)]
    for attempt in harness.upstream.sent:
        attempt.end("ok")
    (status,) = harness.manager.status()["plugins"]
    assert not status["failed"] and status["state"] == "in"
    assert status["calls"]["request"] + status["not asked"]["share"] == 1000
    assert status["not asked"]["share"] > 500
    assert all(sink.answers == ["served"] for sink in sinks)
