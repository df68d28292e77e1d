"""Actions of the decision module that do not belong to a request."""

from core.fakes import DispatcherHarness

from apigateway import messages


class ScriptedCounter:
    """Replies at once; the total was 40 before."""

    def add(self, counter_key, amount, lifetime, on_counted):
        on_counted(counter_key, "ok", 40.0 + amount, 0.002)


def run_action(harness, action):
    """Dispatch an event to which the module responds with an action."""
    harness.module.next_actions = [action]
    harness.core.dispatch(messages.DrainGateway(False))


def test_counter_when_there_is_none_then_a_failed_connect_is_reported_later():
    harness = DispatcherHarness()
    run_action(harness, messages.AddToCounter(5, 2.0, 1.0))
    assert len(harness.module.events) == 1
    ((callback, arguments),) = harness.loop.ready_callbacks
    callback(*arguments)
    assert harness.module.events[-1] == messages.CounterResult(5, "connect_failed", 0.0, 0.0)


def test_counter_when_it_replies_then_the_total_is_reported():
    harness = DispatcherHarness()
    harness.core.counter = ScriptedCounter()
    run_action(harness, messages.AddToCounter(5, 2.0, 1.0))
    assert harness.module.events[-1] == messages.CounterResult(5, "ok", 42.0, 0.002)


def test_timer_when_it_fires_early_then_its_expiry_is_reported_at_the_due_time():
    harness = DispatcherHarness()
    now = 1000.0
    harness.core.clock = lambda: now
    run_action(harness, messages.SetTimer(0.5, 3))
    now = 1000.4995
    harness.loop.timers.pop()[2].fire()
    assert not [event for event in harness.module.events if isinstance(event, messages.TimerExpired)]
    now = 1000.5005
    harness.loop.timers.pop()[2].fire()
    assert harness.module.events[-1] == messages.TimerExpired(3) and not harness.loop.timers


def test_health_check_when_it_ends_then_its_result_is_reported():
    harness = DispatcherHarness()
    run_action(harness, messages.CheckHealth("h1"))
    assert harness.module.events[-1] == messages.HealthCheckResult("h1", "", 0.01, {})


def test_endpoint_list_when_there_is_no_source_then_nothing_is_fetched():
    harness = DispatcherHarness()
    run_action(harness, messages.FetchEndpoints())
    run_action(harness, messages.WatchEndpoints(True))
    assert [type(event) for event in harness.module.events] == [messages.DrainGateway] * 2
