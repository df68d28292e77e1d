"""A share of a token bucket, with reserved units."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.routing.token_bucket import TokenBucketShare


def bucket_share(tokens=0.0, rate=10.0, burst=40.0, share_count=2):
    return TokenBucketShare(rate, burst, share_count, tokens, 100.0)


def test_share_refills_at_its_part_of_the_rate_up_to_its_part_of_the_burst():
    share = bucket_share()
    assert share.available(101.0) == pytest.approx(5.0)
    assert share.available(200.0) == share.capacity == 20.0


def test_fill_time_is_that_of_the_whole_bucket():
    assert bucket_share().fill_time == bucket_share(share_count=5).fill_time == 4.0
    assert bucket_share(rate=0.0).fill_time == 0.0


def test_clock_that_goes_back_refills_nothing():
    share = bucket_share()
    assert share.available(101.0) == share.available(99.0) == share.available(101.0)


def test_rate_of_zero_means_no_limit_and_no_wait():
    share = bucket_share(rate=0.0, burst=0.0)
    assert share.available(100.0) == math.inf
    assert share.wait_time(100.0, 5.0, False) == 0.0


def test_wait_time_includes_the_waiting_units():
    share = bucket_share(tokens=2.0)
    assert share.wait_time(100.0, 2.0, False) == 0.0
    assert share.wait_time(100.0, 4.0, False) == pytest.approx(2.0 / 5.0)
    share.waiting_units = 5.0
    assert share.wait_time(100.0, 4.0, False) == pytest.approx(7.0 / 5.0)


def test_units_above_the_capacity_are_never_available():
    assert bucket_share(tokens=20.0).wait_time(100.0, 21.0, False) == math.inf


def test_reserved_units_are_available_only_with_a_reservation():
    share = bucket_share(tokens=10.0)
    share.reserve(4.0)
    assert share.available(100.0) == 6.0
    assert share.available(100.0, from_reserved=True) == 10.0
    share.take_reserved(4.0)
    assert share.available(100.0) == share.available(100.0, from_reserved=True) == 6.0


def test_reserved_units_used_late_reduce_the_available_units():
    share = bucket_share(tokens=10.0)
    share.take_reserved(4.0)
    assert share.available(100.0) == 6.0


def test_cancelled_reservation_is_returned_to_the_tokens_only():
    share = bucket_share(tokens=10.0)
    share.reserve(4.0)
    share.cancel_reservation(4.0)
    assert (share.tokens, share.reserved) == (10.0, 0.0)


def test_more_shares_have_less_capacity_each():
    share = bucket_share(tokens=18.0)
    share.reserve(4.0)
    share.set_share_count(4)
    assert (share.capacity, share.tokens, share.reserved) == (10.0, 10.0, 0.0)


STEPS = st.tuples(st.sampled_from(["pass", "take", "reserve", "take_reserved"]), st.integers(0, 8))


@seed(3)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(STEPS, max_size=40))
def test_share_behaves_like_two_buckets_for_granted_and_for_used_units(steps):
    share, granted, used, now = bucket_share(tokens=20.0), 20.0, 20.0, 100.0
    for step, amount in steps:
        if step == "pass":
            now += amount / 4
            granted = min(20.0, granted + amount / 4 * 5.0)
            used = min(20.0, used + amount / 4 * 5.0)
            share.available(now)
        else:
            getattr(share, step)(amount)
            granted -= amount * (step != "take_reserved")
            used -= amount * (step != "reserve")
        assert share.tokens == pytest.approx(granted)
        assert share.tokens + share.reserved == pytest.approx(used)


def test_charge_and_refund_of_reserved_units_move_between_the_two_buckets():
    share = bucket_share(tokens=10.0)
    share.charge(2.0, False, False)
    assert (share.tokens, share.reserved) == (8.0, 0.0)
    share.charge(3.0, False, True)
    assert (share.tokens, share.reserved) == (5.0, 3.0)
    share.charge(1.0, True, False)
    assert (share.tokens, share.reserved) == (5.0, 2.0)
    share.refund(2.0, True)
    assert (share.tokens, share.reserved) == (7.0, 0.0)
    share.refund(1.0, False)
    assert (share.tokens, share.reserved) == (8.0, 0.0)
