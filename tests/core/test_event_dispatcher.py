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


# Guards against a module error that repeats and costs the event loop a stack trace each time.
def test_module_when_it_raises_again_and_again_then_the_stack_is_logged_once_and_repeats_are_counted(caplog):
    harness = DispatcherHarness()
    for number in range(50):
        harness.submit(f"r{number}", ZeroDivisionError("broken"))
    assert sum("Traceback" in record.getMessage() for record in caplog.records) == 1
    assert len(caplog.records) == 1
    assert "Request" in caplog.text and "customer c" in caplog.text
    harness.loop.fire_timers()
    assert [record.getMessage()[:14] for record in caplog.records[1:]] == ["49 more errors"]
    harness.submit("other", KeyError("another error"))
    assert sum("Traceback" in record.getMessage() for record in caplog.records) == 2


def test_module_when_it_recurses_without_end_then_few_lines_are_logged(caplog):
    harness = DispatcherHarness()

    def first(depth):
        return second(depth + 1)

    def second(depth):
        return first(depth + 1)

    try:
        first(0)
    except RecursionError as error:
        harness.submit("a", error)
    assert 5 < len(caplog.text.splitlines()) < 200
