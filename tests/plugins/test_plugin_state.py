"""Tests of the limits on the state that a plug-in keeps between calls."""

import math

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins.plugin_state import MAX_COUNTERS, Counters, KeyValueStore, LogRateLimiter


@seed(3)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.binary(max_size=6), st.binary(max_size=60)), max_size=60))
def test_key_value_store_accepts_exactly_the_values_that_fit(changes):
    store, model = KeyValueStore(400), {}
    for key, value in changes:
        cost = sum(len(k) + len(v) + 64 for k, v in model.items() if k != key)
        fits = not value or cost + len(key) + len(value) + 64 <= 400
        assert store.put(key, value) is fits
        if fits:
            model.pop(key, None)
            model.update({key: value} if value else {})
        assert (
            store.values == model
            and store.used_bytes == sum(len(k) + len(v) + 64 for k, v in model.items()) <= 400
        )


def test_counters_and_log_lines_are_limited():
    counters = Counters()
    for n in range(MAX_COUNTERS + 5):
        counters.add(f"c{n}", 1.0)
    assert len(counters.values) == MAX_COUNTERS and counters.dropped == 5
    assert counters.add("c1", 2.0) and counters.values["c1"] == 3.0
    assert not counters.add("c1", math.nan) and not counters.add("a\nb", 1.0)
    rate_limiter = LogRateLimiter(1.0)
    assert [rate_limiter.try_acquire(10.0) for _ in range(6)] == [True] * 5 + [
        False
    ] and rate_limiter.try_acquire(11.0)
    assert not LogRateLimiter(0.0).try_acquire(1.0)
