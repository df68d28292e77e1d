import math

from apigateway.routing.timer_heap import TIMER_TOLERANCE_S, PendingTimer, TimerHeap


def test_due_keys_are_popped_in_order_of_their_due_times():
    heap = TimerHeap()
    for due_at, key in ((3.0, "c"), (1.0, "a"), (2.0, "b"), (2.0, "a")):
        heap.push(due_at, key)
    assert heap.pop_due(0.5) is None
    assert [heap.pop_due(2.0), heap.pop_due(2.0), heap.pop_due(2.0), heap.pop_due(2.0)] == [
        "a",
        "a",
        "b",
        None,
    ]
    assert heap.pop_due(3.0 - TIMER_TOLERANCE_S / 2) == "c"  # a timer that expires slightly early


def test_next_due_skips_keys_that_are_not_live():
    heap = TimerHeap()
    heap.push(1.0, "gone")
    heap.push(2.0, "here")
    assert heap.next_due({"here"}) == 2.0
    assert heap.pop_due(9.0) == "here" and heap.next_due(set()) == math.inf


def test_pending_timer_needs_a_new_timer_only_for_an_earlier_due_time():
    timer = PendingTimer()
    assert not timer.schedule(math.inf)
    assert timer.schedule(5.0) and not timer.schedule(5.0) and not timer.schedule(6.0) and timer.schedule(4.0)
    timer.expire(3.0)  # a superseded timer
    assert not timer.schedule(4.0)
    timer.expire(4.0)
    assert timer.schedule(6.0)
