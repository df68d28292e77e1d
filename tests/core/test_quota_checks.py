"""Quota checks: decided by the decision module, answered once, and never sent to an endpoint."""

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
    # a check that the module forwards is failed by the deadline guard
    harness.module.next_actions = [messages.ForwardRequest("c", "h1")]
    harness.core.submit_check("front", make_quota_check("c"), undecided_sink)
    harness.loop.fire_timers()
    assert undecided_sink.answers == ["failed"]
    assert not harness.upstream.sent and not harness.core.in_flight


def test_quota_check_when_client_left_or_module_raised_or_deadline_passed_then_late_answers_are_dropped():
    harness = DispatcherHarness()
    disconnected_sink, failed_sink, timed_out_sink = (RecordingCheckSink() for _ in range(3))
    harness.core.submit_check("front", make_quota_check("a"), disconnected_sink)
    harness.core.on_client_disconnected(disconnected_sink)
    assert isinstance(harness.module.events[-1], messages.ClientDisconnected)
    harness.module.next_actions = ValueError("the module is broken")
    harness.core.submit_check("front", make_quota_check("b"), failed_sink)
    harness.core.submit_check("front", make_quota_check("c"), timed_out_sink)
    harness.loop.fire_timers()
    harness.module.next_actions = [
        messages.QuotaGranted("a", 5.0, 1.0, 7),
        messages.QuotaGranted("c", 5.0, 1.0, 7),
    ]
    # The module returns the late answers with its next event.
    harness.core.submit_check("front", make_quota_check("d"), RecordingCheckSink())
    assert not disconnected_sink.answers and failed_sink.answers == timed_out_sink.answers == ["failed"]


def test_quota_check_when_there_are_plugins_then_they_are_not_called():
    harness = DispatcherHarness()
    harness.core.plugins = object()  # any call would raise
    harness.core.submit_check("front", make_quota_check("a"), RecordingCheckSink())
    assert type(harness.module.events[-1]) is messages.QuotaCheck


def test_quota_when_returned_then_the_units_or_the_reservation_are_reported():
    harness = DispatcherHarness()
    harness.core.return_quota(
        messages.QuotaCheck("a", 3.0, "c", "p", "read", 2.0, 0, 1),
        messages.QuotaGranted("a", 0.0, 1.0, 7),
    )
    assert harness.module.events[-1] == messages.ReturnUnits("c", 2.0, 7, "p")
    harness.core.return_quota(
        messages.QuotaReservation("b", 1.0, "c", "p", "read", 2.0, 0, 1),
        messages.QuotaGranted("b", 0.0, 1.0, 7),
    )
    assert harness.module.events[-1] == messages.ReturnReservation("c", 2.0, 7, "p")
