"""Tests of plug-ins in the dispatcher: rejections, routes, failures, swaps with requests in flight."""

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


def test_decision_module_gets_only_the_rejection_of_a_rejected_request():
    harness = make_harness(make_runner(ScriptedPlugin(propose_on_request(("refuse", "1.5")))))
    sink = harness.submit("a", [messages.Reject("a", 1.5)])
    assert (
        harness.module.events == [messages.RejectedByPlugin("a", 1.5)]
        and sink.answers == ["refused"]
        and not harness.core.in_flight
    )
    assert harness.manager.version.open_requests == 0


def test_decision_module_rejects_at_once_and_charges_no_units_if_a_plugin_rejects():
    from helpers import DecisionHarness

    harness = DecisionHarness()
    quotas = dict(harness.gateway.quotas)
    assert harness.handle(messages.RejectedByPlugin("x", 0.7)) == [messages.Reject("x", 0.7)]
    assert (
        harness.handle(messages.RejectedByPlugin("y", 60.0)) == [messages.Reject("y", 1.0)]
        and harness.gateway.quotas == quotas
        and not harness.gateway.pending
    )


def test_route_reaches_the_decision_module_and_each_phase_is_called():
    plugin = ScriptedPlugin(propose_on_request(("route", "batch"), ("tag", "district", "kochi")))
    harness = make_harness(make_runner(plugin))
    harness.submit("a", [messages.ForwardRequest("a", "h1")])
    assert harness.module.events[0].route == "batch"
    harness.upstream.sent[0].end("ok")
    assert [(phase, outcome) for phase, _, outcome in plugin.calls] == [
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


def test_request_is_rejected_if_its_plugin_exceeds_the_budget_and_settings_demand_it():
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
    # The retry time is clamped to the longest one that is allowed.
    event = harness.module.events[-1]
    assert isinstance(event, messages.RejectedByPlugin) and event.retry_after == 2.0


RULE_BREAKING_PROPOSALS = [
    ("no request is lost", [("hold", "5"), ("serve", "")]),
    (
        "no effect happens twice",
        [("send", "h1"), ("send", "h2"), ("retry", "9"), ("effect", "safe"), ("class", "read")],
    ),
    ("drains are respected", [("host", "h1"), ("drain", "h1 no")]),
    ("cold hosts", [("host", "h2"), ("send", "h2")]),
    ("ceilings are respected", [("plan", "enterprise"), ("customer", "x"), ("units", "0")]),
    ("client deadlines are respected", [("deadline", "99"), ("left", "99")]),
]


@pytest.mark.parametrize("rule, proposals", RULE_BREAKING_PROPOSALS)
def test_plugin_that_proposes_to_break_a_rule_changes_nothing(rule, proposals, monkeypatch):
    # The time that plug-ins take is deducted from the request's remaining time. With a frozen clock they take
    # none, even on a busy machine, so that the module must get an equal request.
    frozen_clock = SimpleNamespace(monotonic=lambda: 1000.0)
    monkeypatch.setattr(manager, "time", frozen_clock)
    monkeypatch.setattr(runner, "time", frozen_clock)
    harness = make_harness(make_runner(ScriptedPlugin([Proposal(*p) for p in proposals])))
    request = make_request("a")
    sink = RecordingSink()
    harness.module.next_actions = [messages.ForwardRequest("a", "h1")]
    harness.core.submit("front", request, FakeUpstreamRequest(), sink)
    assert harness.module.events[0] == request and [a.endpoint_id for a in harness.upstream.sent] == ["h1"]
    harness.upstream.sent[0].end("ok")
    assert sink.answers == ["served"]
    denied = harness.manager.version.runners[0].denied
    assert sum(denied.values()) == 3 * len(proposals) and all(denial.endswith(": fixed") for denial in denied)


def test_request_ends_on_its_first_version_which_closes_after_its_last_request():
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
    assert {request_id for _, request_id, _ in old.calls} == {"a", "b"} and {
        request_id for _, request_id, _ in new.calls
    } == {"c"}
    assert old.closed and not new.closed and not harness.manager.draining_versions


def test_swap_with_hundreds_in_flight_loses_no_request_when_the_new_plugin_traps():
    old = ScriptedPlugin(propose_on_request(("tag", "a", "1")))
    harness = make_harness(make_runner(old), max_in_flight=1000, max_client_bytes=10**6)
    sinks = [harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400)]
    failing = ScriptedPlugin(PluginError(FailureReason.TRAP))
    harness.manager.swap(make_version(make_runner(failing, failure_threshold=3)))
    sinks += [harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")]) for n in range(400, 800)]
    for attempt in harness.upstream.sent:
        attempt.end("ok")
    assert all(sink.answers == ["served"] for sink in sinks)
    assert old.closed and len(failing.calls) == 3 and len(old.calls) == 3 * 400


def test_two_hundred_swaps_leave_no_open_version():
    plugins = [ScriptedPlugin(None, state=b"0")]
    harness = make_harness(make_runner(plugins[0]), max_in_flight=1000, max_client_bytes=10**6)
    for n in range(200):
        harness.submit(str(n), [messages.ForwardRequest(str(n), "h1")])
        plugins.append(ScriptedPlugin(None))
        harness.manager.swap(make_version(make_runner(plugins[-1])))
    # The state was transferred at each swap.
    assert len(harness.manager.draining_versions) == 200 and plugins[-1].state == b"0"
    for attempt in random.Random(1).sample(harness.upstream.sent, 200):
        attempt.end("ok")
    assert not harness.manager.draining_versions and [p.closed for p in plugins] == [True] * 200 + [False]
    assert harness.manager.status()["version"] == 201


def test_swap_keeps_the_old_version_if_its_state_cannot_be_loaded():
    old, failing = (
        ScriptedPlugin(None, state=b"x"),
        ScriptedPlugin(None, state=PluginError(FailureReason.TRAP)),
    )
    harness = make_harness(make_runner(old))
    with pytest.raises(StateTransferError):
        harness.manager.swap(make_version(make_runner(failing)))
    assert harness.manager.version.runners[0].plugin is old and not old.closed
    broken = ScriptedPlugin(None, state=PluginError(FailureReason.TRAP))
    harness = make_harness(make_runner(broken))
    fresh = ScriptedPlugin(None)
    # A plug-in that cannot save its state is still replaced.
    harness.manager.swap(make_version(make_runner(fresh)))
    assert fresh.state is None and broken.closed


def test_plugin_that_two_versions_share_closes_with_the_later_one():
    kept, removed = ScriptedPlugin(None), ScriptedPlugin(None)
    same = make_runner(kept, "kept")
    harness = make_harness(same, make_runner(removed, "gone"))
    harness.manager.swap(make_version(same))
    assert removed.closed and not kept.closed
    harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.manager.retire()
    harness.core.plugins = None
    assert not kept.closed
    harness.upstream.sent[0].end("ok")
    assert kept.closed


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "end_attempt", "disconnect", "swap", "tick", "expire"]),
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
def test_each_request_ends_once_with_arbitrary_proposals_and_swaps(steps, responses):
    """The fake decision module forwards each request, and rejects those that a plug-in rejected."""
    logging.disable(logging.CRITICAL)
    call_number = iter(range(10**9))
    plugins, sinks, disconnected = [], {}, set()

    def make_next_version():
        plugins.append(
            ScriptedPlugin(lambda phase, view: responses[next(call_number) % len(responses)], state=b"s")
        )
        return make_version(
            make_runner(plugins[-1], failure_threshold=10**6, cpu_share=1.0, cpu_share_window=1000.0)
        )

    harness = make_harness(max_in_flight=10_000, max_client_bytes=10**9)
    harness.manager.version = make_next_version()
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
        for action, choice, result in steps:
            pending_attempts = [attempt for attempt in harness.upstream.sent if not attempt.result]
            if action == "submit":
                request_id = str(len(sinks))
                sinks[request_id] = RecordingSink()
                harness.core.submit(
                    "front", make_request(request_id), FakeUpstreamRequest(), sinks[request_id]
                )
            elif action == "swap":
                harness.manager.swap(make_next_version())
            elif action == "tick":
                harness.manager.tick()
            elif action == "disconnect" and sinks:
                request_id = str(choice % len(sinks))
                disconnected.add(request_id) if not sinks[request_id].answers else None
                harness.core.on_client_disconnected(sinks[request_id])
            elif action == "expire" and harness.core.in_flight:
                harness.core.deadline_guard.on_deadline(
                    list(harness.core.in_flight.values())[choice % len(harness.core.in_flight)]
                )
            elif action == "end_attempt" and pending_attempts:
                pending_attempts[choice % len(pending_attempts)].end(result)
        for attempt in harness.upstream.sent:
            attempt.end("reset")
        harness.loop.timers.clear()
    finally:
        logging.disable(logging.NOTSET)
    for request_id, sink in sinks.items():
        assert len(sink.answers) == (request_id not in disconnected), (request_id, sink.answers)
    assert (
        not harness.core.in_flight
        and not harness.manager.draining_versions
        and harness.manager.version.open_requests == 0
    )
    assert [p.closed for p in plugins] == [True] * (len(plugins) - 1) + [False]
    for plugin in plugins:  # a plug-in is called once for the end of each request that it was called for
        started = [request_id for phase, request_id, _ in plugin.calls if phase == Phase.REQUEST]
        finished = [request_id for phase, request_id, _ in plugin.calls if phase == Phase.ANSWER]
        assert sorted(started) == sorted(finished)


def test_plugin_that_passes_validation_and_then_fails_is_no_longer_called(tmp_path):
    # Traps for a customer that starts with f.
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64)'
            "(if (i32.eq (i32.load8_u (i32.load (i32.const 4160)))"
            "(i32.const 102)) (then unreachable)) (i64.const 0))"
        )
    )
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


def test_plugin_that_uses_almost_all_fuel_per_call_is_limited_to_its_cpu_share(tmp_path):
    (tmp_path / "a.wat").write_text(
        module(
            '(func (export "on_request") (param i32) (result i64) (local $n i32)'
            "(local.set $n (i32.const 30000))"
            "(loop $l (local.set $n (i32.sub (local.get $n) (i32.const 1))) (br_if $l (local.get $n)))"
            "(i64.const 0))"
        )
    )
    harness = make_harness(max_in_flight=2000, max_client_bytes=10**6)
    # A long time budget, because a call that loses its core for 10 ms would exceed the default one.
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
