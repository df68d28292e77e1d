"""Admission control with a manual scheduler and clock instead of an event loop."""

import pytest
from core.fakes import ManualScheduler

from apigateway.core.admission import READ_TIME_SLICE_S, AdmissionController


class ScriptedGate:
    """Admits every request and records its calls."""

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
    """An admission controller with a clock that the test advances."""

    def __init__(self):
        self.now = 10.0
        self.gate = ScriptedGate()
        self.loop = ManualScheduler()
        self.admission = AdmissionController(self.gate, self.loop, lambda: self.now)

    def check_request(self, duration=0.0, arrived_at=None):
        """Check one request and advance the clock by `duration` seconds."""
        self.admission.retry_after_if_shed(0, "c", 3.0, self.now if arrived_at is None else arrived_at)
        self.now += duration

    def run_iteration(self):
        """Run the callbacks of the next event loop iteration."""
        callbacks, self.loop.ready_callbacks = self.loop.ready_callbacks, []
        for callback, arguments in callbacks:
            callback(*arguments)

    def fire_probe(self, lag=0.0):
        """Fire all timers, `lag` seconds late."""
        timers, self.loop.timers = self.loop.timers, []
        for delay, _, timer in timers:
            self.now += delay + lag
            timer.fire()


def test_iteration_when_its_time_slice_is_used_up_then_other_connections_wait_in_order():
    harness = AdmissionHarness()
    read = []

    def make_connection(name, commands):
        def read_commands():
            while commands and not harness.admission.is_time_slice_used_up:
                read.append((name, commands.pop(0)))
                harness.check_request(READ_TIME_SLICE_S * 0.6)
            if commands:
                harness.admission.deferred_connections.append(read_commands)

        return read_commands

    for name in "abc":
        make_connection(name, list(range(5)))()
    assert read == [("a", 0), ("a", 1), ("a", 2)]  # then the time slice is used up
    harness.run_iteration()
    assert read[3:] == [("a", 3), ("a", 4), ("b", 0)]
    for _ in range(10):
        harness.run_iteration()
    assert len(read) == 15 and not harness.admission.deferred_connections
    assert [command for name, command in read if name == "c"] == list(range(5))
    harness.run_iteration()
    assert not harness.loop.ready_callbacks  # an idle controller schedules no callbacks


def test_iteration_when_a_connection_raises_then_the_connections_queued_behind_it_are_read():
    harness = AdmissionHarness()
    read = []

    def raise_error():
        raise RuntimeError("the connection is broken")

    harness.admission.deferred_connections.extend([raise_error, lambda: read.append("next")])
    with pytest.raises(RuntimeError):
        harness.admission.start_iteration()
    harness.run_iteration()
    assert read == ["next"] and not harness.admission.deferred_connections


def test_gate_when_a_request_waited_then_the_gate_gets_its_wait_time():
    harness = AdmissionHarness()
    harness.check_request(arrived_at=harness.now - 0.5)
    assert harness.gate.waits == [0.5]


def test_lag_probe_when_late_then_the_gate_gets_the_lag_and_probing_stops_without_requests():
    harness = AdmissionHarness()
    harness.check_request()
    harness.fire_probe(0.3)
    harness.fire_probe(0.0)
    assert [round(lag, 6) for lag in harness.gate.lags] == [0.3, 0.0] and not harness.loop.timers
    harness.check_request()
    harness.run_iteration()
    harness.check_request()
    assert len(harness.loop.timers) == 1


def test_retry_after_when_overloaded_then_the_gate_gets_it_and_otherwise_not():
    harness = AdmissionHarness()
    harness.admission.on_retry_after("c", 1.0)
    harness.gate.is_overloaded = True
    harness.admission.on_retry_after("d", 1.0)
    assert harness.gate.retry_afters == [("d", 1.0)]
