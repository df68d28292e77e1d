"""Events to the decision module in their order, and what happens when it or an action raises."""

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


def test_action_when_it_cannot_be_carried_out_then_the_next_one_is(caplog):
    harness = DispatcherHarness()
    with caplog.at_level(logging.CRITICAL):
        sink = harness.submit("a", [object(), messages.Reject("a", 0.5)])
    assert sink.answers == ["refused"]


def test_client_disconnected_when_other_events_wait_then_it_goes_before_them():
    """A client's end that is noticed while the module works: what it decides next knows of it."""
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
