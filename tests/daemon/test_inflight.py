"""Test the marks of writes in flight that workers share."""

import os
import time

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.core.outcomes import AcquireFailure
from apigateway.daemon import inflight
from apigateway.daemon.inflight import InFlightWriteTable, shared_memory_size


def create_memory(region_count):
    descriptor = os.memfd_create("marks")
    os.ftruncate(descriptor, shared_memory_size(region_count))
    return descriptor


def test_acquire_when_another_worker_holds_the_mark_then_fails_until_it_is_released():
    descriptor = create_memory(3)
    first, second = InFlightWriteTable(descriptor, 0, 3), InFlightWriteTable(descriptor, 2, 3)
    offset = first.acquire("a", 3.0)
    assert (
        offset >= 0
        and second.acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
        and first.acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
        and second.acquire("b", 3.0) >= 0
    )
    first.release(offset)
    assert second.acquire("a", 3.0) >= 0


def test_mark_when_its_worker_has_died_then_is_held_until_it_expires(monkeypatch):
    descriptor = create_memory(2)
    InFlightWriteTable(descriptor, 0, 2).acquire("a", 3.0)
    for number in (0, 1):
        assert InFlightWriteTable(descriptor, number, 2).acquire("a", 3.0) == AcquireFailure.ALREADY_HELD
    now = time.monotonic()
    monkeypatch.setattr(inflight.time, "monotonic", lambda: now + 3.0 + inflight.EXPIRY_MARGIN_S + 0.1)
    assert InFlightWriteTable(descriptor, 1, 2).acquire("a", 3.0) >= 0


def test_acquire_when_no_slot_is_free_then_fails(monkeypatch):
    monkeypatch.setattr(inflight, "MAX_PROBES", 2)
    monkeypatch.setattr(inflight, "SLOTS_PER_REGION", 4)
    table = InFlightWriteTable(create_memory(1), 0, 1)
    results = [table.acquire(str(number), 3.0) for number in range(20)]
    assert AcquireFailure.NO_FREE_SLOT in results and sum(offset >= 0 for offset in results) <= 4


@seed(3)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abcdef"), st.booleans()), max_size=60))
def test_acquire_in_any_order_then_a_mark_never_has_two_holders(steps):
    descriptor, held = create_memory(3), {}
    tables = [InFlightWriteTable(descriptor, number, 3) for number in range(3)]
    for number, request_id, is_release in steps:
        if is_release and request_id in held and held[request_id][0] == number:
            tables[number].release(held.pop(request_id)[1])
        elif not is_release:
            offset = tables[number].acquire(request_id, 3.0)
            assert (offset >= 0) == (request_id not in held)
            if offset >= 0:
                held[request_id] = number, offset
    for table in tables:
        table.close()
    os.close(descriptor)
