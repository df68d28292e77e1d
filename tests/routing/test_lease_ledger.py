import math
import random

import pytest

from apigateway.routing.lease_ledger import LeaseLedger, LedgerEntry


def ledger(rate=1.0, burst=10.0, gateway_count=2, phase=0.0, now=100.0):
    return LeaseLedger(rate, burst, gateway_count, phase, now, random.Random(1).random)


def test_windows_when_a_phase_is_given_then_begin_so_much_later():
    one = ledger(phase=0.5, now=104.0)
    assert one.window_length == 10.0
    assert one.window_start == 95.0 and one.window_end == 105.0
    one.advance_window(105.0)
    assert one.window_start == 105.0


def test_window_when_it_turns_then_leases_lapse_and_an_overdraft_is_carried_along():
    one = ledger()
    one.total_units = 8.0
    one.leased_units = 3.0
    one.unreported_units = 2.0
    one.used_units = 5.0
    one.advance_window(110.0)
    assert one.leased_units == one.unreported_units == one.used_units == 0.0
    assert one.previous_used_units == 5.0
    assert one.total_units == one.debt_units == one.carried_units == 8.0 + 2 * 2.0 - 10.0
    one.advance_window(130.0)  # a window later than the next one
    assert one.previous_used_units == 0.0 and one.total_units == 0.0


def test_thin_ledger_when_it_turns_then_takes_its_own_use_for_that_of_all():
    one = ledger(burst=4.0, rate=0.4, gateway_count=8)
    assert one.has_subunit_share
    one.total_units = 4.0
    one.unreported_units = 1.0
    one.advance_window(110.0)
    assert one.debt_units == 1.0


def test_remaining_when_units_are_unreported_then_is_so_much_less():
    one = ledger()
    one.total_units = 4.0
    assert one.remaining(100.0) == 6.0
    one.take(2.0, is_leased=False)
    assert one.remaining(100.0) == 4.0 and one.used_units == 2.0
    assert one.remaining_and_reset(100.0, kept_units=1.0) == (3.0, 10.0)
    assert ledger(rate=0.0).remaining_and_reset(100.0, 0.0) == (math.inf, 0.0)


def test_units_when_given_back_in_their_window_then_are_leased_again():
    one = ledger()
    one.take(2.0, is_leased=False)
    one.refund(2.0, one.window_index)
    assert one.leased_units == 2.0 and one.used_units == 0.0
    one.refund(2.0, one.window_index - 1)
    assert one.leased_units == 2.0


def test_call_when_it_begins_then_reports_and_asks_in_one_sum():
    one = ledger()
    one.take(2.0, is_leased=False)
    one.unclaimed_units = 1.0
    entry = one.begin_call(5, 0.5)
    assert entry == LedgerEntry(one.window_index, 2.0, 5, 0.5, 1.0) and entry.amount == 6.5
    assert one.total_units == 2.0 and one.unreported_units == one.unclaimed_units == 0.0


@pytest.mark.parametrize(
    "result, reported, unreported, unconfirmed, spare, total",
    [
        ("spoilt", 6.0, 0.0, 0.0, 5.0, 2.0),
        ("timeout", 0.0, 0.0, 6.0, 0.0, 2.0),
        ("full", 0.0, 2.0, 0.0, 1.0, 0.0),
    ],
)
def test_call_when_it_tells_no_total_then_its_units_are_where_they_may_be(
    result, reported, unreported, unconfirmed, spare, total
):
    one = ledger()
    one.take(2.0, is_leased=False)
    one.unclaimed_units = 1.0
    one.on_call_without_total(result, one.begin_call(5, 0.0))
    assert (one.reported_units, one.unreported_units, one.unconfirmed_units) == (
        reported,
        unreported,
        unconfirmed,
    )
    assert (one.unclaimed_units, one.total_units) == (spare, total)


def test_total_when_it_is_less_than_ones_own_then_the_count_was_lost():
    one = ledger()
    one.reported_units = 4.0
    entry = LedgerEntry(one.window_index, requested=2.0)
    assert one.reconcile_total(2.0, entry) == 4.0 and one.reported_units == 0.0


def test_total_when_it_is_just_ones_own_then_the_debt_is_added():
    one = ledger()
    one.debt_units = 3.0
    entry = LedgerEntry(one.window_index, requested=2.0)
    assert one.reconcile_total(2.0, entry) == 3.0 and one.debt_units == 0.0
    assert one.reconcile_total(9.0, entry) == 0.0


def test_surplus_when_a_total_is_far_below_the_limit_then_whole_units_are_dropped():
    one = ledger()
    assert one.drop_surplus(0.0, 12.7) == 2 and one.carried_units == 2.0
    assert one.drop_surplus(5.0, 12.7) == 0


def test_grant_when_some_units_are_denied_then_they_are_taken_off_the_total():
    one = ledger()
    one.on_granted(9.0, LedgerEntry(one.window_index, requested=5.0), missing=1.0, denied=2.0)
    assert (one.leased_units, one.total_units, one.reported_units) == (3.0, 8.0, 4.0)


def test_local_share_when_the_total_is_known_then_moves_to_the_part_used_here():
    one = ledger()
    one.total_units = 8.0
    one.reported_units = 8.0
    one.used_units = 8.0
    one.advance_window(110.0)
    assert one.local_share == 0.75
