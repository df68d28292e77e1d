"""What is known of endpoints by their ids: the table, the subset's index, their health."""

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


def host(name, state="up", started=0.0, zone="z"):
    return Endpoint(name, zone, 0, 1.0, "k", state, started)


def make(listed, old):
    return Item(listed)


def test_endpoint_table_when_a_list_is_complete_then_what_is_missing_is_gone():
    table = EndpointTable()
    table.apply_list(1.0, (host("a"), host("b")), True, make)
    first = table["a"]
    table.apply_list(2.0, (host("b"),), True, make)
    assert not first.is_up and first.gone_at == 2.0 and table["b"].gone_at == math.inf
    assert table.gone_longer_than(3.0, 0.5) == [first] and table.gone_longer_than(3.0, 1.0) == []
    table.apply_list(4.0, (host("a"),), False, make)
    assert table["a"] is first and first.is_up and first.gone_at == math.inf


def test_endpoint_table_when_an_endpoint_has_started_anew_then_makes_a_new_item():
    table = EndpointTable()
    table.apply_list(1.0, (host("a", started=1.0),), True, make)
    first = table["a"]
    table.apply_list(2.0, (host("a", "down", started=1.0),), False, make)
    assert table["a"] is first and not first.is_up and first.gone_at == 2.0
    table.apply_list(3.0, (host("a", "down", started=3.0),), False, make)
    assert table["a"] is first and first.gone_at == 2.0  # it is not up yet
    table.apply_list(4.0, (host("a", started=4.0),), False, make)
    assert table["a"] is not first


def test_subset_index_when_attempts_come_and_go_then_lists_those_with_capacity():
    index = SubsetIndex(0, 1)
    items = [Item(host(f"h{n}")) for n in range(3)]
    index.available = items
    index.rebuild_subset(items, rate=1.0)
    assert index.subset == items and index.subset_with_capacity == items
    for n in range(2):
        index.add_attempt(items[0], ("r", n), 1.0)
    assert index.attempts_in_flight == 2 and items[0] not in index.subset_with_capacity
    index.remove_attempt(items[0], ("r", 0))
    index.remove_attempt(items[0], ("r", 0))  # it is not out any more
    assert index.attempts_in_flight == 1 and items[0] in index.subset_with_capacity
    assert not index.is_too_small(1000.0)  # all are in it


def test_subset_index_when_there_are_many_items_then_takes_some():
    index = SubsetIndex(0, 100)
    index.available = [Item(host(f"h{n}")) for n in range(200)]
    index.rebuild_subset(index.available, rate=1.0)
    assert sum(item.in_subset for item in index.available) == len(index.subset) < 200
    assert index.is_too_small(1000.0) and not index.is_too_small(1.0)


def test_endpoint_health_when_a_connection_fails_then_blames_no_class():
    health = EndpointHealth()
    item = Item(host("a"))
    scope = ("host", "class read", "plan p")
    health.set_available([item])
    health.on_result(item, "connect_failed", scope, 1.0)
    assert item in health.failing and health.outliers.failure_probability(
        "a", "class read", 1.0
    ) == pytest.approx(0.02)
    assert health.success_probability(item, scope, 1.0) < 0.9
    assert [(one, at > 1.0) for one, at in health.pause_ends(1.0)] == [(item, True)]
    health.on_result(item, "ok", scope, 2.0)
    assert not health.failing and health.success_probability(item, scope, 2.0) > 0.9


def test_endpoint_health_when_an_error_comes_then_pauses_its_class_there():
    health = EndpointHealth()
    item = Item(host("a"))
    health.on_result(item, "error", ("host", "class read", "plan p"), 1.0)
    assert item.backoff.is_paused(("class read",), 1.0) and not item.backoff.is_paused(("host",), 1.0)
