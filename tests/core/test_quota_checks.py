"""Quota checks: answered once by the decision module, and never sent to an endpoint."""

from core.fakes import DispatcherHarness, RecordingCheckSink, make_quota_check

from apigateway import messages


def test_quota_check_when_decided_then_answered_once_and_nothing_is_sent():
    harness = DispatcherHarness()
    granted_sink, denied_sink, undecided_sink = (RecordingCheckSink() for _ in range(3))
    harness.module.next_actions = [
        messages.QuotaGranted("a", 5.0, 1.0, 7),
        messages.QuotaDenied("a", True, 0.0, 0.0, 0.0),
        messages.Reject("a"),
    ]
    harness.core.submit_check("front", make_quota_check("a"), granted_sink)
    harness.module.next_actions = [messages.QuotaDenied("b", True, 0.5, 0.0, 0.0)]
    harness.core.submit_check("front", make_quota_check("b"), denied_sink)
    assert granted_sink.answers == [("granted", 5.0)] and denied_sink.answers == [("denied", True)]
    assert not harness.upstream.sent
    assert not harness.core.in_flight and not harness.core.request_budget.used
    # a module that forwards one: the deadline guard answers
    harness.module.next_actions = [messages.ForwardRequest("c", "h1")]
    harness.core.submit_check("front", make_quota_check("c"), undecided_sink)
    harness.loop.fire_timers()
    assert undecided_sink.answers == ["failed"]
    assert not harness.upstream.sent and not harness.core.in_flight


def test_quota_check_when_caller_left_or_module_fails_or_forgets_then_late_answers_are_dropped():
    harness = DispatcherHarness()
    left_sink, broken_sink, forgotten_sink = (RecordingCheckSink() for _ in range(3))
    harness.core.submit_check("front", make_quota_check("a"), left_sink)
    harness.core.on_client_disconnected(left_sink)
    assert isinstance(harness.module.events[-1], messages.ClientDisconnected)
    harness.module.next_actions = ValueError("the module is broken")
    harness.core.submit_check("front", make_quota_check("b"), broken_sink)
    harness.core.submit_check("front", make_quota_check("c"), forgotten_sink)
    harness.loop.fire_timers()
    harness.module.next_actions = [
        messages.QuotaGranted("a", 5.0, 1.0, 7),
        messages.QuotaGranted("c", 5.0, 1.0, 7),
    ]
    harness.core.submit_check("front", make_quota_check("d"), RecordingCheckSink())  # answers that come late
    assert not left_sink.answers and broken_sink.answers == forgotten_sink.answers == ["failed"]


def test_quota_check_when_there_are_plugins_then_none_is_asked():
    harness = DispatcherHarness()
    harness.core.plugins = object()  # would raise if it were asked
    harness.core.submit_check("front", make_quota_check("a"), RecordingCheckSink())
    assert type(harness.module.events[-1]) is messages.QuotaCheck


def test_quota_when_returned_then_the_module_hears_of_units_or_reservation():
    harness = DispatcherHarness()
    harness.core.return_quota(
        messages.QuotaCheck("a", 3.0, "c", "p", "read", 2.0, 0, 1),
        messages.QuotaGranted("a", 0.0, 1.0, 7),
    )
    assert harness.module.events[-1] == messages.ReturnUnits("c", 2.0, 7)
    harness.core.return_quota(
        messages.QuotaReservation("b", 1.0, "c", "p", "read", 2.0, 0, 1),
        messages.QuotaGranted("b", 0.0, 1.0, 7),
    )
    assert harness.module.events[-1] == messages.ReturnReservation("c", 2.0, 7)
