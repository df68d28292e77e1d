"""Admission control with a manual scheduler and clock instead of an event loop."""

from core.fakes import ManualScheduler

from apigateway.core.admission import AdmissionController


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
