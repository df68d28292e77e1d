"""The life cycle of requests under random sequences of events."""

import logging

from core.fakes import DispatcherHarness, FakeUpstreamRequest, RecordingSink, make_request
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from apigateway import messages

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "end", "write", "disconnect", "deadline", "timer"]),
        st.integers(0, 5),  # index of the attempt, sink or request
        st.sampled_from(
            ["forward", "forward_twice", "reject", "fail", "nothing", "raise", "cancel", "invalid"]
        ),
        st.sampled_from(["ok", "error", "full", "reset", "connect_failed", "timeout"]),
        st.booleans(),  # whether the sink of a submitted request is broken
    ),
    max_size=40,
)


def make_module_answer(answer, request_id):
    """Return the module's reaction to the next event: actions, or an exception to raise."""
    return {
        "forward": [messages.ForwardRequest(request_id, "h1")],
        "forward_twice": [
            messages.ForwardRequest(request_id, "h1"),
            messages.ForwardRequest(request_id, "h2"),
        ],
        "reject": [messages.Reject(request_id, 0.1)],
        "fail": [messages.Fail(request_id)],
        "nothing": [],
        "raise": RuntimeError("broken"),
        "cancel": [messages.CancelAttempt(request_id, 0), messages.ForwardRequest(request_id, "h3")],
        "invalid": [
            None,
            messages.ForwardRequest("unknown", "h1"),
            messages.Reject(request_id),
            messages.Fail(request_id),
        ],
    }[answer]


def request_id_of(attempt):
    return attempt.tag[0].request_id if attempt else "none"


class LifecycleSteps:
    """Runs random steps on a dispatcher of small capacity and checks its state after each step."""

    def __init__(self):
        self.harness = DispatcherHarness(max_in_flight=5, max_attempts=3)
        self.sinks = []
        self.disconnected = set()  # sinks whose client disconnected before the answer

    def run_step(self, number, step):
        kind, index, module_answer, result, is_sink_broken = step
        attempt = self.active_attempt(index)
        request_id = f"r{number}" if kind == "submit" else request_id_of(attempt)
        self.harness.module.next_actions = make_module_answer(module_answer, request_id)
        if kind == "submit":
            self.submit(request_id, is_sink_broken)
        elif kind == "disconnect" and self.sinks:
            self.disconnect(self.sinks[index % len(self.sinks)])
        elif kind == "deadline" and self.harness.core.in_flight:
            requests = list(self.harness.core.in_flight.values())
            self.harness.core.deadline_guard.on_deadline(requests[index % len(requests)])
        elif kind == "timer":
            self.harness.core.dispatch(messages.TimerExpired(0))
        elif attempt is not None and kind == "write":
            attempt.is_written = True
        elif attempt is not None:
            attempt.end(result)

    def active_attempt(self, index):
        active = [attempt for attempt in self.harness.upstream.sent if not attempt.result]
        return active[index % len(active)] if active else None

    def submit(self, request_id, is_sink_broken):
        sink = RecordingSink(is_sink_broken)
        self.sinks.append(sink)
        self.harness.core.submit("front", make_request(request_id), FakeUpstreamRequest(), sink)

    def disconnect(self, sink):
        if not sink.answers:
            self.disconnected.add(sink)
        self.harness.core.on_client_disconnected(sink)

    def check_state(self):
        core = self.harness.core
        for in_flight in core.in_flight.values():
            assert len(in_flight.active_attempts) <= 1
        assert core.request_budget.used == len(core.in_flight) <= 5
        waiting = {request.request_id for request in core.in_flight.values() if not request.is_finished}
        answered = sum(bool(sink.answers) for sink in self.sinks)
        assert len(self.sinks) == answered + len(self.disconnected) + len(waiting)
        assert not self.harness.upstream.sent_after_finish

    def end_all(self):
        self.harness.module.next_actions = []
        self.harness.loop.fire_timers()
        for attempt in self.harness.upstream.sent:
            attempt.end("reset")

    def check_end(self):
        core = self.harness.core
        outcomes = [
            (event.request_id, event.attempt)
            for event in self.harness.module.events
            if isinstance(event, messages.AttemptOutcome)
        ]
        for sink in self.sinks:
            assert len(sink.answers) == (sink not in self.disconnected), sink.answers
            if sink.token is not None:  # each attempt that the module asked for has exactly one outcome
                request = sink.token
                assert (
                    sorted(outcomes.count((request.request_id, n)) for n in range(request.attempt_count))
                    == [1] * request.attempt_count
                )
        assert not core.in_flight and not core.request_budget.used and not core.memory_budget.used


@seed(1)
@settings(max_examples=300, deadline=None, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(STEPS)
def test_request_under_any_sequence_of_steps_then_it_is_answered_once(steps):
    lifecycle = LifecycleSteps()
    logging.disable(logging.CRITICAL)
    try:
        for number, step in enumerate(steps):
            lifecycle.run_step(number, step)
            lifecycle.check_state()
        lifecycle.end_all()
    finally:
        logging.disable(logging.NOTSET)
    lifecycle.check_end()
