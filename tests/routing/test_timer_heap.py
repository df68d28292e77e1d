import math

from apigateway.routing.timer_heap import TIMER_TOLERANCE_S, PendingTimer, TimerHeap


def test_keys_when_due_then_come_in_their_order():
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
    assert heap.pop_due(3.0 - TIMER_TOLERANCE_S / 2) == "c"  # a clock that is a little early


def test_next_due_when_keys_are_not_live_then_passes_over_them():
    heap = TimerHeap()
    heap.push(1.0, "gone")
    heap.push(2.0, "here")
    assert heap.next_due({"here"}) == 2.0
    assert heap.pop_due(9.0) == "here" and heap.next_due(set()) == math.inf


def test_alarm_when_something_is_due_sooner_then_needs_a_timer():
    alarm = PendingTimer()
    assert not alarm.schedule(math.inf)
    assert alarm.schedule(5.0) and not alarm.schedule(5.0) and not alarm.schedule(6.0) and alarm.schedule(4.0)
    alarm.expire(3.0)  # an older timer
    assert not alarm.schedule(4.0)
    alarm.expire(4.0)
    assert alarm.schedule(6.0)
