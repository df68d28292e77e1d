"""Acceptance of requests, release of their capacity, and the drain."""

import asyncio

import pytest
from core.fakes import (
    DispatcherHarness,
    FakeUpstreamRequest,
    RecordingCheckSink,
    RecordingSink,
    ScriptedRegistry,
    make_quota_check,
    make_write_request,
)

from apigateway import messages
from apigateway.core import executed_requests
from apigateway.core.request_lifecycle import DuplicateRequestError


def test_request_when_its_id_is_in_flight_then_no_frontend_accepts_it():
    harness = DispatcherHarness()
    harness.core.register_frontend("other")
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    with pytest.raises(DuplicateRequestError):
        harness.submit("a", frontend="other")
    harness.upstream.sent[0].end("ok")
    assert sink.answers == ["served"]
    # its request has ended, so the id is free
    assert harness.submit("a", [messages.Reject("a")], frontend="other").answers == ["refused"]


def test_write_when_held_by_another_worker_and_no_capacity_then_not_rejected_as_not_run():
    harness = DispatcherHarness(max_in_flight=1)
    harness.core.in_flight_registry = registry = ScriptedRegistry(7)
    harness.module.next_actions = [messages.ForwardRequest("a", "h1")]
    harness.core.submit("front", make_write_request("a"), FakeUpstreamRequest(), RecordingSink())
    registry.held_elsewhere = {"b"}
    sink_without_capacity = RecordingSink()
    with pytest.raises(DuplicateRequestError):
        harness.core.submit("front", make_write_request("b"), FakeUpstreamRequest(), RecordingSink())
    harness.core.submit("front", make_write_request("c"), FakeUpstreamRequest(), sink_without_capacity)
    assert sink_without_capacity.answers == ["refused"]
    assert [request_id for request_id, _ in registry.acquired] == ["a"]
    assert harness.core.is_in_flight("a", False) and harness.core.is_in_flight("b", True)
    assert not harness.core.is_in_flight("b", False) and not harness.core.is_in_flight("c", True)


def test_write_when_another_worker_holds_it_then_not_accepted_and_own_slot_is_released_with_its_request():
    harness = DispatcherHarness()
    harness.core.in_flight_registry = registry = ScriptedRegistry(7, -1, -2)
    accepted_sink = RecordingSink()
    sink_without_capacity = RecordingSink()
    harness.module.next_actions = [messages.ForwardRequest("a", "h1")]
    harness.core.submit("front", make_write_request("a"), FakeUpstreamRequest(), accepted_sink)
    with pytest.raises(DuplicateRequestError):
        harness.core.submit("front", make_write_request("b"), FakeUpstreamRequest(), RecordingSink())
    harness.core.submit("front", make_write_request("c"), FakeUpstreamRequest(), sink_without_capacity)
    assert sink_without_capacity.answers == ["refused"]
    assert set(harness.core.in_flight) == {"a"} and harness.core.request_budget.used == 1
    harness.submit("read")  # reads may run twice, so they are not registered
    assert [request_id for request_id, _ in registry.acquired] == ["a", "b", "c"] and not registry.released
    harness.upstream.sent[0].end("ok")
    assert accepted_sink.answers == ["served"] and registry.released == [7]


def submit_write(harness, request_id="a", actions=None):
    """Submit a write that is forwarded, and return its sink."""
    sink = RecordingSink()
    harness.module.next_actions = [messages.ForwardRequest(request_id, "h1")] if actions is None else actions
    harness.core.submit("front", make_write_request(request_id), FakeUpstreamRequest(), sink)
    for attempt in harness.upstream.sent:
        attempt.is_written = True
    return sink


# Guards against a write that runs twice because its id comes again.
@pytest.mark.parametrize("result", ["ok", "error", "reset", "timeout", "cancelled"])
def test_write_when_it_may_have_run_then_its_id_is_not_accepted_again(result):
    harness = DispatcherHarness()
    sink = submit_write(harness)
    harness.core.on_client_disconnected(sink)
    harness.upstream.sent[0].end(result)
    assert not harness.core.in_flight and harness.core.is_in_flight("a", True)
    with pytest.raises(DuplicateRequestError):
        submit_write(harness)
    assert len(harness.upstream.sent) == 1


@pytest.mark.parametrize("result", ["connect_failed", "full"])
def test_write_when_it_has_not_run_then_its_id_is_accepted_again(result):
    harness = DispatcherHarness()
    sink = submit_write(harness)
    harness.core.on_client_disconnected(sink)
    harness.upstream.sent[0].end(result)
    submit_write(harness)
    assert len(harness.upstream.sent) == 2


# Guards against an error for a request that waited and comes again before the end of its connection is read.
def test_write_when_its_client_has_left_unnoticed_then_a_repeat_takes_its_place_unless_it_may_have_run():
    harness = DispatcherHarness()
    waiting_sink = submit_write(harness, "waiting", [])
    sent_sink = submit_write(harness, "sent")
    waiting_sink.is_connected = sent_sink.is_connected = False
    submit_write(harness, "waiting")
    with pytest.raises(DuplicateRequestError):
        submit_write(harness, "sent")
    assert harness.core.in_flight["waiting"].sink is not waiting_sink and not waiting_sink.answers


def test_write_when_its_client_left_and_it_may_have_run_then_other_workers_still_see_its_mark():
    harness = DispatcherHarness()
    harness.core.in_flight_registry = registry = ScriptedRegistry(7, 8)
    for request_id, result in (("a", "reset"), ("b", "connect_failed")):
        harness.core.on_client_disconnected(submit_write(harness, request_id))
        harness.upstream.sent[-1].end(result)
    assert registry.released == [8]


def test_executed_requests_when_too_many_or_old_then_the_oldest_are_dropped(monkeypatch):
    monkeypatch.setattr(executed_requests, "MAX_IDS", 100)
    executed = executed_requests.ExecutedRequests()
    for number in range(250):
        executed.add(str(number), 10.0)
    assert len(executed) == 100
    assert executed.contains("249", 10.0) and not executed.contains("149", 10.0)
    later = 10.0 + executed_requests.RETENTION_S
    assert not executed.contains("249", later)
    for number in range(60):
        executed.add(f"later {number}", later)
    assert len(executed) == 60


def test_quota_check_when_its_id_is_in_flight_or_no_capacity_then_not_accepted():
    harness = DispatcherHarness(max_in_flight=1)
    harness.core.plugins = None
    harness.core.submit_check("front", make_quota_check("a"), RecordingCheckSink())
    with pytest.raises(DuplicateRequestError):
        harness.core.submit_check("front", make_quota_check("a"), RecordingCheckSink())
    sink_without_capacity = RecordingCheckSink()
    harness.core.submit_check("front", make_quota_check("b"), sink_without_capacity)
    assert sink_without_capacity.answers == ["refused"]


def test_check_in_flight_when_its_frontend_leaves_then_it_finishes_and_the_drain_ends():
    harness = DispatcherHarness()
    sink = RecordingCheckSink()
    harness.core.submit_check("front", make_quota_check("a"), sink)
    harness.core.unregister_frontend("front")
    harness.core.is_draining = True
    harness.core.on_client_disconnected(sink)
    assert not harness.core.in_flight and harness.core.in_flight_table.drained.is_set()
    assert not harness.core.request_budget.used and not harness.core.request_budget.used_by_frontend


def test_drain_when_nothing_is_in_flight_then_it_ends_at_once():
    harness = DispatcherHarness()
    harness.core.is_draining = True
    asyncio.run(harness.core.drain(0.0))
    assert not harness.core.in_flight_table.drained.is_set()  # the drain did not wait


def test_drain_when_the_last_request_ends_then_it_ends():
    harness = DispatcherHarness()
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.core.is_draining = True

    async def end_while_draining():
        drain = asyncio.ensure_future(harness.core.drain(60.0))
        await asyncio.sleep(0)
        assert not drain.done()
        harness.upstream.sent[0].end("ok")
        await drain

    asyncio.run(end_while_draining())
    assert sink.answers == ["served"] and not harness.core.in_flight


def test_drain_when_its_time_is_over_then_requests_in_flight_fail():
    harness = DispatcherHarness()
    sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    harness.core.is_draining = True
    asyncio.run(harness.core.drain(0.01))
    assert sink.answers == ["failed"] and not harness.core.in_flight
    assert harness.upstream.sent[0].result == "connect_failed"


def test_request_during_the_drain_is_rejected_and_those_in_flight_are_waited_for():
    harness = DispatcherHarness()
    first_sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])

    harness.core.is_draining = True

    async def submit_while_draining():
        drain = asyncio.ensure_future(harness.core.drain(60.0))
        await asyncio.sleep(0)
        late_sink = harness.submit("b", [messages.ForwardRequest("b", "h1")])
        late_check_sink = RecordingCheckSink()
        harness.core.submit_check("front", make_quota_check("c"), late_check_sink)
        assert late_sink.answers == late_check_sink.answers == ["refused"] and not drain.done()
        harness.module.next_actions = []
        harness.upstream.sent[0].end("ok")
        await drain

    asyncio.run(submit_while_draining())
    assert first_sink.answers == ["served"] and len(harness.upstream.sent) == 1


def test_waiting_request_when_the_end_of_the_drain_frees_its_host_then_is_not_forwarded():
    # Guards against attempts that begin only to be cancelled, although the request may then have run.
    harness = DispatcherHarness()
    first_sink = harness.submit("a", [messages.ForwardRequest("a", "h1")])
    waiting_sink = harness.submit("b")
    harness.upstream.sent[0].is_written = True

    def handle(now, event):
        is_host_free = isinstance(event, messages.AttemptOutcome) and event.request_id == "a"
        return [messages.ForwardRequest("b", "h1")] if is_host_free else []

    harness.module.handle = handle
    asyncio.run(harness.core.drain(0.0))
    assert first_sink.answers == waiting_sink.answers == ["failed"] and not harness.core.in_flight
    assert [attempt.tag[0].request_id for attempt in harness.upstream.sent] == ["a"]
