"""Containers: FIFO queues, expiring keys, decaying counts, recent values, retry budget, fault scopes."""

import pytest

from apigateway.routing.decaying_counts import DecayingCounts
from apigateway.routing.expiring_keys import ExpiringKeys
from apigateway.routing.fault_scope import FaultScopes
from apigateway.routing.keyed_fifo import KeyedFifo
from apigateway.routing.recent_values import RecentValues
from apigateway.routing.retry_budget import RetryBudget


def test_keyed_fifo_pops_the_oldest_item_of_a_key():
    fifo = KeyedFifo()
    fifo.push("a", 1)
    fifo.push("a", 2)
    fifo.push("b", 3)
    assert [fifo.pop("a"), fifo.pop("b"), fifo.pop("a"), fifo.pop("a")] == [1, 3, 2, None]


def test_expiring_keys_are_cleared_when_the_limit_is_exceeded():
    keys = ExpiringKeys(2)
    keys.add("a", 5.0)
    assert (
        keys.remaining_time("a", 3.0) == 2.0
        and keys.remaining_time("a", 6.0) == 0.0
        and keys.remaining_time("b", 1.0) == 0.0
    )
    keys.add("b", 5.0)
    keys.add("c", 5.0)
    assert list(keys) == ["c"]


def test_decaying_counts_return_the_lowest_level_of_a_top_share():
    counts = DecayingCounts()
    for level in (1, 1, 2, 3):
        counts.add(level)
    assert counts.top_share_threshold(0.25) == (3, 1.0) and counts.top_share_threshold(0.75) == (1, 0.5)
    assert DecayingCounts().top_share_threshold(0.5) is None
    counts.decay(0.004)
    assert len(counts) == 0


def test_recent_values_rank_a_value_among_the_latest_when_full():
    values = RecentValues(4)
    for value in (9.0, 1.0, 2.0, 2.0, 3.0):
        values.add(value)
    assert len(values) == 4
    assert values.rank(2.0, 0.5) == 2.0 and values.rank(9.0, 0.5) == 4.0 and values.rank(0.0, 1.0) == 0.0


def test_retry_budget_does_not_exceed_its_limit():
    budget = RetryBudget(1.0, 2.0)
    budget.deposit(0.5)
    assert budget.retries == 1.5
    budget.deposit(0.7)
    assert budget.retries == pytest.approx(2.0)


def test_fault_scopes_return_the_same_object_for_the_same_class_and_plan():
    scopes = FaultScopes()
    read_basic = scopes.get("read", "basic", "basic")
    assert read_basic[:] == ("host", "class read", "plan basic")
    assert (
        scopes.get("read", "basic", "other") is read_basic
        and scopes.get("read", "gold", "gold") is not read_basic
    )
