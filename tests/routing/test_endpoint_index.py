"""The endpoint table, the subset index and the health of endpoints."""

import math

import pytest

from apigateway.messages import Endpoint
from apigateway.routing.endpoint_health import EndpointHealth
from apigateway.routing.endpoint_table import EndpointTable
from apigateway.routing.failure_backoff import FailureBackoff
from apigateway.routing.subset_index import SubsetIndex


class Item:
    def __init__(self, host):
        self.host = host
        self.is_up = host.state == "up"
        self.gone_at = math.inf
        self.attempts_in_flight = {}
        self.max_attempts_in_flight = 2
        self.in_subset = False
        self.position = -1
        self.backoff = FailureBackoff(0.1, 1.0)


def make_host(name, state="up", started_at=0.0, zone="z"):
    return Endpoint(name, zone, 0, 1.0, "k", state, started_at)


def make_item(host, old_item):
    return Item(host)


def test_endpoint_table_marks_endpoints_missing_from_a_complete_list_as_gone():
    table = EndpointTable()
    table.apply_list(1.0, (make_host("a"), make_host("b")), True, make_item)
    first = table["a"]
    table.apply_list(2.0, (make_host("b"),), True, make_item)
    assert not first.is_up and first.gone_at == 2.0 and table["b"].gone_at == math.inf
    assert table.gone_longer_than(3.0, 0.5) == [first] and table.gone_longer_than(3.0, 1.0) == []
    table.apply_list(4.0, (make_host("a"),), False, make_item)
    assert table["a"] is first and first.is_up and first.gone_at == math.inf


def test_endpoint_table_creates_a_new_item_for_a_restarted_endpoint():
    table = EndpointTable()
    table.apply_list(1.0, (make_host("a", started_at=1.0),), True, make_item)
    first = table["a"]
    table.apply_list(2.0, (make_host("a", "down", started_at=1.0),), False, make_item)
    assert table["a"] is first and not first.is_up and first.gone_at == 2.0
    table.apply_list(3.0, (make_host("a", "down", started_at=3.0),), False, make_item)
    assert table["a"] is first and first.gone_at == 2.0  # not up yet
    table.apply_list(4.0, (make_host("a", started_at=4.0),), False, make_item)
    assert table["a"] is not first


def test_subset_index_keeps_the_list_of_items_with_capacity_up_to_date():
    index = SubsetIndex(0, 1)
    items = [Item(make_host(f"h{n}")) for n in range(3)]
    index.available = items
    index.rebuild_subset(items, rate=1.0)
    assert index.subset == items and index.subset_with_capacity == items
    for n in range(2):
        index.add_attempt(items[0], ("r", n), 1.0)
    assert index.attempts_in_flight == 2 and items[0] not in index.subset_with_capacity
    index.remove_attempt(items[0], ("r", 0))
    index.remove_attempt(items[0], ("r", 0))  # no longer in flight
    assert index.attempts_in_flight == 1 and items[0] in index.subset_with_capacity
    assert not index.is_too_small(1000.0)  # it contains all items


def test_subset_index_selects_only_some_of_many_items():
    index = SubsetIndex(0, 100)
    index.available = [Item(make_host(f"h{n}")) for n in range(200)]
    index.rebuild_subset(index.available, rate=1.0)
    assert sum(item.in_subset for item in index.available) == len(index.subset) < 200
    assert index.is_too_small(1000.0) and not index.is_too_small(1.0)


def test_failed_connection_is_no_evidence_against_a_class():
    health = EndpointHealth()
    item = Item(make_host("a"))
    scope = ("host", "class read", "plan p")
    health.set_available([item])
    health.on_result(item, "connect_failed", scope, 1.0)
    assert item in health.failing and health.outliers.failure_probability(
        "a", "class read", 1.0
    ) == pytest.approx(0.02)
    assert health.success_probability(item, scope, 1.0) < 0.9
    assert [(endpoint, end > 1.0) for endpoint, end in health.pause_ends(1.0)] == [(item, True)]
    health.on_result(item, "ok", scope, 2.0)
    assert not health.failing and health.success_probability(item, scope, 2.0) > 0.9


def test_error_pauses_its_class_at_the_endpoint_only():
    health = EndpointHealth()
    item = Item(make_host("a"))
    health.on_result(item, "error", ("host", "class read", "plan p"), 1.0)
    assert item.backoff.is_paused(("class read",), 1.0) and not item.backoff.is_paused(("host",), 1.0)
