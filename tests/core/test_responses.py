"""The final response, even if the frontend raises."""

import logging

from core.fakes import DispatcherHarness

from apigateway import messages


def test_response_when_the_frontend_raises_then_the_capacity_of_its_request_is_released(caplog):
    harness = DispatcherHarness()
    with caplog.at_level(logging.CRITICAL):
        broken_sink = harness.submit("a", [messages.Reject("a")], is_sink_broken=True)
        good_sink = harness.submit("b", [messages.Reject("b")])
    assert broken_sink.answers == good_sink.answers == ["refused"]
    assert not harness.core.in_flight
    assert not harness.core.request_budget.used and not harness.core.memory_budget.used


def test_response_when_the_client_disconnected_then_none_is_sent_and_an_unwritten_attempt_is_cancelled():
    harness = DispatcherHarness()
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.core.on_client_disconnected(sink)
    assert harness.upstream.sent[0].result == "connect_failed"
    assert not harness.core.in_flight and sink.answers == []
    outcomes = [event for event in harness.module.events if isinstance(event, messages.AttemptOutcome)]
    assert [outcome.result for outcome in outcomes] == ["moot"]


# Guards against a body that an attempt keeps until it ends, although no further attempt may need it.
def test_body_is_released_with_the_final_response_although_an_attempt_is_active():
    harness = DispatcherHarness()
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.upstream.sent[0].is_written = True
    assert harness.core.memory_budget.used
    harness.module.next_actions = [messages.Reject("a")]
    harness.core.dispatch(messages.DrainGateway(True))
    assert sink.answers == ["refused"] and harness.core.in_flight
    in_flight = harness.core.in_flight["a"]
    assert not harness.core.memory_budget.used and not in_flight.upstream_request.size_bytes
