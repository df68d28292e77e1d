import math
import random

import pytest

from apigateway.routing.lease_ledger import LeaseLedger, LedgerEntry


def make_ledger(rate=1.0, burst=10.0, gateway_count=2, phase=0.0, now=100.0):
    return LeaseLedger(rate, burst, gateway_count, phase, now, random.Random(1).random)


def test_phase_shifts_the_start_of_the_windows():
    ledger = make_ledger(phase=0.5, now=104.0)
    assert ledger.window_length == 10.0
    assert ledger.window_start == 95.0 and ledger.window_end == 105.0
    ledger.advance_window(105.0)
    assert ledger.window_start == 105.0


def test_next_window_expires_leases_and_carries_over_an_overdraft():
    ledger = make_ledger()
    ledger.total_units = 8.0
    ledger.leased_units = 3.0
    ledger.unreported_units = 2.0
    ledger.used_units = 5.0
    ledger.advance_window(110.0)
    assert ledger.leased_units == ledger.unreported_units == ledger.used_units == 0.0
    assert ledger.previous_used_units == 5.0
    assert ledger.total_units == ledger.debt_units == ledger.carried_units == 8.0 + 2 * 2.0 - 10.0
    ledger.advance_window(130.0)  # skips a window
    assert ledger.previous_used_units == 0.0 and ledger.total_units == 0.0


def test_next_window_does_not_extrapolate_use_when_a_share_is_below_one_unit():
    ledger = make_ledger(burst=4.0, rate=0.4, gateway_count=8)
    assert ledger.has_subunit_share
    ledger.total_units = 4.0
    ledger.unreported_units = 1.0
    ledger.advance_window(110.0)
    assert ledger.debt_units == 1.0


def test_unreported_units_reduce_the_remaining_units():
    ledger = make_ledger()
    ledger.total_units = 4.0
    assert ledger.remaining(100.0) == 6.0
    ledger.take(2.0, is_leased=False)
    assert ledger.remaining(100.0) == 4.0 and ledger.used_units == 2.0
    assert ledger.remaining_and_reset(100.0, kept_units=1.0) == (3.0, 10.0)
    assert make_ledger(rate=0.0).remaining_and_reset(100.0, 0.0) == (math.inf, 0.0)


def test_units_refunded_in_their_window_return_to_the_lease():
    ledger = make_ledger()
    ledger.take(2.0, is_leased=False)
    ledger.refund(2.0, ledger.window_index)
    assert ledger.leased_units == 2.0 and ledger.used_units == 0.0
    ledger.refund(2.0, ledger.window_index - 1)
    assert ledger.leased_units == 2.0


def test_call_reports_and_requests_units_in_one_sum():
    ledger = make_ledger()
    ledger.take(2.0, is_leased=False)
    ledger.unclaimed_units = 1.0
    entry = ledger.begin_call(5, 0.5)
    assert entry == LedgerEntry(ledger.window_index, 2.0, 5, 0.5, 1.0) and entry.amount == 6.5
    assert ledger.total_units == 2.0 and ledger.unreported_units == ledger.unclaimed_units == 0.0


@pytest.mark.parametrize(
    "result, reported, unreported, unconfirmed, unclaimed, total",
    [
        ("spoilt", 6.0, 0.0, 0.0, 5.0, 2.0),
        ("timeout", 0.0, 0.0, 6.0, 0.0, 2.0),
        ("full", 0.0, 2.0, 0.0, 1.0, 0.0),
    ],
)
def test_units_of_a_call_without_a_total_are_accounted_by_its_result(
    result, reported, unreported, unconfirmed, unclaimed, total
):
    ledger = make_ledger()
    ledger.take(2.0, is_leased=False)
    ledger.unclaimed_units = 1.0
    ledger.on_call_without_total(result, ledger.begin_call(5, 0.0))
    assert (ledger.reported_units, ledger.unreported_units, ledger.unconfirmed_units) == (
        reported,
        unreported,
        unconfirmed,
    )
    assert (ledger.unclaimed_units, ledger.total_units) == (unclaimed, total)


def test_total_below_the_own_units_means_that_the_count_was_lost():
    ledger = make_ledger()
    ledger.reported_units = 4.0
    entry = LedgerEntry(ledger.window_index, requested=2.0)
    assert ledger.reconcile_total(2.0, entry) == 4.0 and ledger.reported_units == 0.0


def test_debt_is_added_when_the_total_contains_only_the_own_units():
    ledger = make_ledger()
    ledger.debt_units = 3.0
    entry = LedgerEntry(ledger.window_index, requested=2.0)
    assert ledger.reconcile_total(2.0, entry) == 3.0 and ledger.debt_units == 0.0
    assert ledger.reconcile_total(9.0, entry) == 0.0


def test_whole_units_are_dropped_when_a_total_is_far_below_the_limit():
    ledger = make_ledger()
    assert ledger.drop_surplus(0.0, 12.7) == 2 and ledger.carried_units == 2.0
    assert ledger.drop_surplus(5.0, 12.7) == 0


def test_denied_units_are_subtracted_from_the_total():
    ledger = make_ledger()
    ledger.on_granted(9.0, LedgerEntry(ledger.window_index, requested=5.0), missing=1.0, denied=2.0)
    assert (ledger.leased_units, ledger.total_units, ledger.reported_units) == (3.0, 8.0, 4.0)


def test_local_share_approaches_the_share_used_by_this_gateway():
    ledger = make_ledger()
    ledger.total_units = 8.0
    ledger.reported_units = 8.0
    ledger.used_units = 8.0
    ledger.advance_window(110.0)
    assert ledger.local_share == 0.75
