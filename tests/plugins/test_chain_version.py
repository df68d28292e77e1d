"""Tests of a chain version, which calls its plug-ins in order."""

from plugins.plugin_fakes import (
    ScriptedPlugin,
    make_harness,
    make_runner,
    make_version,
    propose_on_request,
)

from apigateway import messages
from apigateway.plugins.interfaces import Phase


def test_later_plugins_are_skipped_when_the_chain_time_is_used_up():
    calls = []
    runners = [
        make_runner(ScriptedPlugin(lambda phase, view: calls.append(1), [Phase.REQUEST]), f"p{n}")
        for n in range(5)
    ]
    harness = make_harness()
    harness.manager.version = make_version(*runners, max_chain_time=-1.0)  # exceeded after the first plug-in
    harness.submit("a", [messages.Reject("a")])
    assert len(calls) == 1 and [runner.skipped for runner in runners] == [{}] + [{"chain": 1}] * 4


def test_later_plugins_see_the_tags_of_earlier_ones_and_a_rejection_ends_the_chain():
    seen_tags = []
    first, last = (
        ScriptedPlugin(propose_on_request(("tag", "a", "1"))),
        ScriptedPlugin(lambda phase, view: seen_tags.append(dict(view.tags))),
    )
    harness = make_harness(make_runner(first, "one"), make_runner(last, "two"))
    harness.submit("a")
    assert seen_tags == [{"a": "1"}]
    first.response = propose_on_request(("refuse", "0"))
    harness.submit("b", [messages.Reject("b")])
    # The last plug-in is not called for the request, but for its end.
    assert len(seen_tags) == 2 and ("answer", "b", "refused") in last.calls
