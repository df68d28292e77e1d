"""The deadline guard, which fails requests that have no response in time."""

from core.fakes import DispatcherHarness

from apigateway.core import deadlines


def test_deadline_guard_when_the_module_decides_nothing_then_the_request_fails():
    harness = DispatcherHarness()
    sink = harness.submit("a")
    harness.loop.fire_timers()
    assert sink.answers == ["failed"] and not harness.core.in_flight


def test_deadline_guard_margin_when_compared_then_the_guard_fires_before_the_client_timeout():
    assert 0 < deadlines.DEADLINE_GUARD_MARGIN_S < deadlines.RESPONSE_MARGIN_S
