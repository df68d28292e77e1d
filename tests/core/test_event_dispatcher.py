"""The order of events for the decision module, and errors in the module or in an action."""

import logging

from core.fakes import DispatcherHarness

from apigateway import messages


def test_module_when_it_raises_then_its_request_fails_and_its_attempts_are_cancelled():
    harness = DispatcherHarness()
    assert harness.submit("a", RuntimeError("broken")).answers == ["failed"]
    sink = harness.submit("b", [messages.ForwardRequest("b", "h1")])
    harness.upstream.sent[0].is_written = True
    harness.module.next_actions = RuntimeError("broken")
    harness.upstream.sent[0].end("reset")
    assert sink.answers == ["failed"] and not harness.core.in_flight
    assert isinstance(harness.module.events[-1], messages.ClientDisconnected)


def test_action_when_it_fails_then_the_next_action_is_carried_out(caplog):
    harness = DispatcherHarness()
    with caplog.at_level(logging.CRITICAL):
        sink = harness.submit("a", [object(), messages.Reject("a", 0.5)])
    assert sink.answers == ["refused"]


def test_client_disconnected_when_other_events_are_queued_then_it_is_handled_first():
    """Otherwise the module would decide on a request whose client disconnected during an earlier event."""
    harness = DispatcherHarness()
    sink = harness.submit("a")
    other_sink = harness.submit("b")
    harness.core.events.action_handlers[messages.LogMessage] = lambda _: (
        harness.core.dispatch(messages.TimerExpired(7)),
        harness.core.on_client_disconnected(sink),
    )
    harness.module.next_actions = [messages.LogMessage("")]
    harness.core.dispatch(messages.TimerExpired(0))
    assert [type(event) for event in harness.module.events[-3:]] == [
        messages.TimerExpired,
        messages.ClientDisconnected,
        messages.TimerExpired,
    ]
    harness.core.on_client_disconnected(other_sink)
    assert not harness.core.in_flight
