"""The simulated quota counter."""

from apigateway.simulation.clock import START_TIME, SimulatedClock
from apigateway.simulation.quota_counter import QuotaCounter
from apigateway.simulation.scenario import CounterSettings


def test_overloaded_counter_answers_late_and_silent_counter_still_counts():
    clock = SimulatedClock()
    counter = QuotaCounter(clock, CounterSettings(parts=1, capacity=100.0))
    replies = []
    for _ in range(20):
        counter.add(4, 1.0, 60.0, lambda reply: replies.append((clock.now - START_TIME, reply.total)))
    clock.run_until(START_TIME + 0.105)
    assert [total for _, total in replies] == [float(n + 1) for n in range(11)]
    counter.is_silent = True
    clock.run_until(START_TIME + 1)
    assert len(replies) == 11 and counter.entries[4].total == 20.0
