"""The scheduler of clients' input with a manual clock and loop."""

import pytest
from core.fakes import ManualScheduler

from apigateway.core.input_scheduler import (
    BULK_COST_FACTOR,
    IDLE_CREDIT_S,
    IMMEDIATE_TIME_S,
    MIN_SLICE_TIME_S,
    ROUND_TIME_S,
    SLICE_TIME_S,
    TURN_TIME_S,
    ConnectionInput,
    InputScheduler,
)


class SchedulerHarness:
    """A scheduler with a clock that advances with each command, and connections with commands to handle."""

    def __init__(self):
        self.now = 10.0
        self.loop = ManualScheduler()
        self.scheduler = InputScheduler(self.loop, lambda: self.now)
        self.handled = []  # the names of connections, a command each

    def add(self, name, count, cost_s):
        """Return the input of a connection with `count` commands that take `cost_s` each."""
        commands = [cost_s] * count

        def handle_input(until):
            while commands:
                self.now += commands.pop()
                self.handled.append(name)
                if self.now >= until:
                    break
            return bool(commands)

        return ConnectionInput(handle_input)

    def run_iteration(self):
        """Run the callbacks of the next event loop iteration, and return how long they took."""
        callbacks, self.loop.ready_callbacks = self.loop.ready_callbacks, []
        started_at = self.now
        for callback, arguments in callbacks:
            callback(*arguments)
        return self.now - started_at


def test_input_when_there_is_time_then_it_is_handled_at_once():
    harness = SchedulerHarness()
    harness.scheduler.handle(harness.add("a", 1, SLICE_TIME_S / 10))
    assert harness.handled == ["a"] and not harness.loop.ready_callbacks


def test_turn_when_many_connections_flood_then_it_takes_no_longer_than_its_time_and_a_command():
    harness = SchedulerHarness()
    cost_s = SLICE_TIME_S / 7
    for number in range(60):
        harness.scheduler.handle(harness.add(number, 1000, cost_s))
    assert harness.now - 10.0 <= IMMEDIATE_TIME_S + SLICE_TIME_S + cost_s
    for _ in range(50):
        assert harness.run_iteration() <= TURN_TIME_S + cost_s
    # Each has had its share of all that was handled.
    counts = [harness.handled.count(number) for number in range(60)]
    assert max(counts) - min(counts) <= 2 * SLICE_TIME_S / cost_s


@pytest.mark.parametrize("flood_count", [1, 6, 400])
def test_connection_when_it_sends_one_command_then_it_is_next_however_many_flood(flood_count):
    harness = SchedulerHarness()
    for number in range(flood_count):
        harness.scheduler.handle(harness.add(number, 10_000, SLICE_TIME_S / 5))
    sparse_commands = []
    sparse = ConnectionInput(
        lambda until: bool(sparse_commands and harness.handled.append(sparse_commands.pop()))
    )
    harness.scheduler.handle(sparse)
    for _ in range(20):  # after a round of those that flood
        harness.run_iteration()
    for _ in range(20):
        sparse_commands.append("sparse")
        harness.scheduler.handle(sparse)
        before = len(harness.handled)
        harness.run_iteration()
        assert harness.handled[before] == "sparse"


def test_connection_when_it_is_new_then_it_is_handled_within_a_round_of_those_that_flood():
    harness = SchedulerHarness()
    for number in range(200):
        harness.scheduler.handle(harness.add(number, 10_000, MIN_SLICE_TIME_S))
    for _ in range(20):
        harness.run_iteration()
    harness.scheduler.handle(harness.add("new", 1, MIN_SLICE_TIME_S))
    started_at = harness.now
    while "new" not in harness.handled:
        harness.run_iteration()
    assert harness.now - started_at <= ROUND_TIME_S + TURN_TIME_S


def test_connection_whose_commands_are_dear_then_it_gets_as_much_time_and_fewer_commands():
    harness = SchedulerHarness()
    harness.scheduler.handle(harness.add("dear", 1000, 4 * SLICE_TIME_S))
    harness.scheduler.handle(harness.add("cheap", 100_000, SLICE_TIME_S / 10))
    for _ in range(100):
        harness.run_iteration()
    dear, cheap = harness.handled.count("dear"), harness.handled.count("cheap")
    assert cheap == pytest.approx(40 * dear, rel=0.1)


def test_connection_when_its_commands_ask_for_no_work_then_others_get_more_time():
    harness = SchedulerHarness()
    flood = harness.add("flood", 1_000_000, SLICE_TIME_S / 5)
    flood.cost_factor = BULK_COST_FACTOR
    harness.scheduler.handle(flood)
    harness.scheduler.handle(harness.add("requests", 1_000_000, SLICE_TIME_S / 5))
    for _ in range(200):
        harness.run_iteration()
    ratio = harness.handled.count("requests") / harness.handled.count("flood")
    assert ratio == pytest.approx(BULK_COST_FACTOR, rel=0.1)


def test_connection_when_it_was_idle_for_long_then_it_has_saved_up_little_time():
    harness = SchedulerHarness()
    late = harness.add("late", 10_000, SLICE_TIME_S / 5)
    harness.scheduler.handle(harness.add("flood", 100_000, SLICE_TIME_S / 5))
    for _ in range(100):
        harness.run_iteration()
    harness.scheduler.handle(late)
    while harness.handled[-1] != "flood" or "late" not in harness.handled:
        harness.run_iteration()  # until what it had saved up is used
    assert harness.handled.count("late") * SLICE_TIME_S / 5 <= IDLE_CREDIT_S + TURN_TIME_S
    harness.handled.clear()
    for _ in range(100):
        harness.run_iteration()
    assert harness.handled.count("flood") == pytest.approx(harness.handled.count("late"), rel=0.1)


def test_connection_when_its_input_raises_then_those_behind_it_are_handled():
    harness = SchedulerHarness()

    def raise_error(until):
        raise RuntimeError("the connection is broken")

    harness.scheduler.enqueue(ConnectionInput(raise_error))
    harness.scheduler.enqueue(harness.add("next", 1, 0.0))
    with pytest.raises(RuntimeError):
        harness.run_iteration()
    harness.run_iteration()
    assert harness.handled == ["next"] and not harness.scheduler.queue_length
    harness.run_iteration()
    assert not harness.loop.ready_callbacks  # an idle scheduler schedules no callbacks


def test_connection_when_it_is_resumed_by_its_own_commands_then_it_is_queued_once():
    harness = SchedulerHarness()

    def handle_input(until):
        harness.scheduler.enqueue(source)
        return True

    source = ConnectionInput(handle_input)
    harness.scheduler.handle(source)
    assert harness.scheduler.queue_length == 1 and source.is_queued


# Guards against time that was used while nobody waited, which others need not make up for.
def test_connection_that_was_busy_alone_when_a_flood_begins_then_it_is_not_behind_it():
    harness = SchedulerHarness()
    command_s = SLICE_TIME_S / 4
    busy = harness.add("busy", 1, command_s)
    for _ in range(800):  # one request after another, with nobody else
        harness.scheduler.handle(busy)
        busy = _with_next_command(harness, busy, command_s)
        harness.run_iteration()
    floods = []
    for number in range(80):
        floods.append(harness.add(number, 10_000, command_s))
        floods[-1].cost_factor = BULK_COST_FACTOR
        harness.scheduler.enqueue(floods[-1])
    harness.scheduler.enqueue(busy)
    harness.handled.clear()
    started_at = harness.now
    while "busy" not in harness.handled and harness.now < started_at + 1.0:
        harness.run_iteration()
    assert harness.now - started_at <= ROUND_TIME_S + TURN_TIME_S


def _with_next_command(harness, source, cost_s):
    source.handle_input = harness.add("busy", 1, cost_s).handle_input
    return source


# Guards against new connections that come without end and each go first.
def test_connection_that_was_idle_when_new_ones_keep_coming_then_its_pipeline_is_handled_at_once():
    harness = SchedulerHarness()
    command_s = SLICE_TIME_S / 4
    pipeline = harness.add("pipeline", 40, command_s)  # half of its credit
    harness.scheduler.enqueue(pipeline)
    while "pipeline" not in harness.handled or pipeline.is_queued:
        harness.run_iteration()
    used_s = 40 * command_s
    for number in range(100):  # as many as there is time for, so that some wait at any time
        harness.scheduler.enqueue(harness.add(number, 1, command_s))
    started_at = harness.now
    while harness.now < started_at + IDLE_CREDIT_S + used_s:
        harness.scheduler.enqueue(harness.add("new", 40, command_s))
        harness.run_iteration()
    harness.handled.clear()
    pipeline.handle_input = harness.add("pipeline", 40, command_s).handle_input
    harness.scheduler.enqueue(pipeline)
    started_at = harness.now
    while harness.handled.count("pipeline") < 40 and harness.now < started_at + 1.0:
        harness.scheduler.enqueue(harness.add("new", 40, command_s))
        harness.run_iteration()
    assert harness.now - started_at <= used_s + 2 * TURN_TIME_S


# Guards against a log that tells only of waits that have ended, and nothing of input that is never handled.
def test_longest_wait_when_input_still_waits_then_its_wait_counts():
    harness = SchedulerHarness()
    harness.scheduler.enqueue(harness.add("waiting", 1, SLICE_TIME_S))
    harness.now += 3.0
    assert harness.scheduler.take_longest_wait_s() == pytest.approx(3.0)
    harness.now += 1.0
    assert harness.scheduler.take_longest_wait_s() == pytest.approx(4.0)
