"""Marks of writes that workers share."""

import os
import time

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.core.outcomes import AcquireFailure
from apigateway.daemon import inflight
from apigateway.daemon.inflight import InFlightWriteTable, shared_memory_size


def memory(count):
    descriptor = os.memfd_create("marks")
    os.ftruncate(descriptor, shared_memory_size(count))
    return descriptor


def test_acquire_when_another_worker_holds_the_mark_then_fails_until_it_is_released():
    file = memory(3)
    one, two = InFlightWriteTable(file, 0, 3), InFlightWriteTable(file, 2, 3)
    place = one.acquire("a", 3.0)
    assert (
        place >= 0
        and two.acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
        and one.acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
        and two.acquire("b", 3.0) >= 0
    )
    one.release(place)
    assert two.acquire("a", 3.0) >= 0


def test_mark_when_its_worker_has_died_then_holds_until_the_deadline_has_passed(monkeypatch):
    file = memory(2)
    InFlightWriteTable(file, 0, 2).acquire("a", 3.0)
    for number in (0, 1):
        assert InFlightWriteTable(file, number, 2).acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
    now = time.monotonic()
    monkeypatch.setattr(inflight.time, "monotonic", lambda: now + 3.0 + inflight.EXPIRY_MARGIN_S + 0.1)
    assert InFlightWriteTable(file, 1, 2).acquire("a", 3.0) >= 0


def test_acquire_when_no_slot_is_free_then_fails(monkeypatch):
    monkeypatch.setattr(inflight, "MAX_PROBES", 2)
    monkeypatch.setattr(inflight, "SLOTS_PER_REGION", 4)
    marks = InFlightWriteTable(memory(1), 0, 1)
    told = [marks.acquire(str(n), 3.0) for n in range(20)]
    assert AcquireFailure.NO_FREE_SLOT in told and sum(place >= 0 for place in told) <= 4


@seed(3)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abcdef"), st.booleans()), max_size=60))
def test_acquire_in_any_order_then_a_mark_never_has_two_holders(steps):
    file, held = memory(3), {}
    views = [InFlightWriteTable(file, n, 3) for n in range(3)]
    for number, id, clear in steps:
        if clear and id in held and held[id][0] == number:
            views[number].release(held.pop(id)[1])
        elif not clear:
            place = views[number].acquire(id, 3.0)
            assert (place >= 0) == (id not in held)
            if place >= 0:
                held[id] = number, place
    for view in views:
        view.close()
    os.close(file)
