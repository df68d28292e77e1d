"""Admission control without an event loop: the scheduler and the clock are the test's."""

import pytest
from core.fakes import ManualScheduler

from apigateway.core.admission import READ_TIME_SLICE_S, AdmissionController


class ScriptedGate:
    """Let everything pass, and keep what it is told."""

    def __init__(self):
        self.is_overloaded = False
        self.shed_count = 0
        self.admitted_count = 0
        self.lag = 0.0
        self.waits = []
        self.lags = []
        self.retry_afters = []

    def on_loop_lag(self, now, lag):
        self.lags.append(lag)

    def retry_after_if_shed(self, now, waited, step, customer, remaining):
        self.waits.append(waited)
        return -1.0

    def on_retry_after(self, now, customer, retry_after):
        self.retry_afters.append((customer, retry_after))


class AdmissionHarness:
    """An admission controller at a clock that the test moves."""

    def __init__(self):
        self.now = 10.0
        self.gate = ScriptedGate()
        self.loop = ManualScheduler()
        self.admission = AdmissionController(self.gate, self.loop, lambda: self.now)

    def ask(self, duration=0.0, arrived_at=None):
        """Ask about one request, which takes `duration` seconds."""
        self.admission.retry_after_if_shed(0, "c", 3.0, self.now if arrived_at is None else arrived_at)
        self.now += duration

    def run_turn(self):
        """Run the callbacks of the loop's next turn."""
        callbacks, self.loop.ready_callbacks = self.loop.ready_callbacks, []
        for callback, arguments in callbacks:
            callback(*arguments)

    def fire_probe(self, lag=0.0):
        """Fire the timers that are set, `lag` seconds late."""
        timers, self.loop.timers = self.loop.timers, []
        for delay, _, timer in timers:
            self.now += delay + lag
            timer.fire()


def test_turn_when_its_time_slice_is_used_up_then_the_rest_waits_in_order():
    harness = AdmissionHarness()
    read = []

    def make_connection(name, commands):
        def read_commands():
            while commands and not harness.admission.is_time_slice_used_up:
                read.append((name, commands.pop(0)))
                harness.ask(READ_TIME_SLICE_S * 0.6)
            if commands:
                harness.admission.deferred_connections.append(read_commands)

        return read_commands

    for name in "abc":
        make_connection(name, list(range(5)))()
    assert read == [("a", 0), ("a", 1), ("a", 2)]  # then the turn is over for all
    harness.run_turn()
    assert read[3:] == [("a", 3), ("a", 4), ("b", 0)]
    for _ in range(10):
        harness.run_turn()
    assert len(read) == 15 and not harness.admission.deferred_connections
    assert [command for name, command in read if name == "c"] == list(range(5))
    harness.run_turn()
    assert not harness.loop.ready_callbacks  # at rest nothing is left to be called


def test_turn_when_a_connection_raises_then_those_behind_it_are_read():
    harness = AdmissionHarness()
    read = []

    def broken():
        raise RuntimeError("the connection is broken")

    harness.admission.deferred_connections.extend([broken, lambda: read.append("next")])
    with pytest.raises(RuntimeError):
        harness.admission.start_iteration()
    harness.run_turn()
    assert read == ["next"] and not harness.admission.deferred_connections


def test_gate_when_a_request_waited_then_it_is_given_the_wait():
    harness = AdmissionHarness()
    harness.ask(arrived_at=harness.now - 0.5)
    assert harness.gate.waits == [0.5]


def test_lag_probe_when_late_then_the_gate_is_given_the_lag_and_it_ends_when_nobody_asks():
    harness = AdmissionHarness()
    harness.ask()
    harness.fire_probe(0.3)
    harness.fire_probe(0.0)
    assert [round(lag, 6) for lag in harness.gate.lags] == [0.3, 0.0] and not harness.loop.timers
    harness.ask()
    harness.run_turn()
    harness.ask()
    assert len(harness.loop.timers) == 1


def test_retry_after_when_overloaded_only_then_the_gate_is_told():
    harness = AdmissionHarness()
    harness.admission.on_retry_after("c", 1.0)
    harness.gate.is_overloaded = True
    harness.admission.on_retry_after("d", 1.0)
    assert harness.gate.retry_afters == [("d", 1.0)]
