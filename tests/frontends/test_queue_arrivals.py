"""Since when connections may be in a listener's queue."""

import math

from apigateway.frontends.queue_arrivals import MIN_LOOK_INTERVAL_S, QueueArrivals


def test_connection_when_the_queue_was_seen_empty_then_it_came_after_that():
    arrivals = QueueArrivals()
    arrivals.restart(-math.inf)
    assert arrivals.take() == -math.inf
    arrivals.on_look(5.0, 0, has_pending=False)
    arrivals.on_ready(7.0)
    assert arrivals.take() == 7.0
    arrivals.on_look(8.0, 1, has_pending=True)
    arrivals.on_ready(9.0)
    assert arrivals.take() == 7.0


# Guards against requests that are refused as late because the queue has not been empty since a crowd began.
def test_connection_when_the_queue_is_never_empty_then_it_came_after_those_that_were_there():
    arrivals = QueueArrivals()
    arrivals.restart(0.0)
    for second in range(1, 100):
        assert arrivals.take() >= second - 4  # three were in the queue at each look, and one comes a second
        arrivals.on_look(float(second), 3, has_pending=True)
    assert arrivals.take() >= 95.0


def test_connection_when_it_was_there_at_a_look_then_it_does_not_count_as_later():
    arrivals = QueueArrivals()
    arrivals.restart(1.0)
    arrivals.on_look(2.0, 2, has_pending=True)
    assert [arrivals.take(), arrivals.take(), arrivals.take()] == [1.0, 1.0, 2.0]


def test_connection_when_the_platform_does_not_count_the_queue_then_it_may_be_as_old_as_the_queue():
    arrivals = QueueArrivals()
    arrivals.restart(1.0)
    arrivals.on_look(2.0, 0, has_pending=True)
    assert arrivals.take() == 1.0


def test_looks_when_the_queue_is_looked_at_often_then_few_are_kept():
    arrivals = QueueArrivals()
    arrivals.restart(0.0)
    for number in range(1000):
        arrivals.on_look(number * MIN_LOOK_INTERVAL_S / 100, 1000, has_pending=True)
    assert len(arrivals._looks) <= 11
