"""What is known of endpoints by their ids: the roster, the subset's index, their health."""

import math

import pytest

from apigateway.messages import Endpoint
from apigateway.routing.endpoint_health import EndpointHealth
from apigateway.routing.failure_backoff import FailureBackoff
from apigateway.routing.roster import Roster
from apigateway.routing.subset_index import SubsetIndex


class Item:
    def __init__(self, host):
        self.host = host
        self.is_up = host.state == "up"
        self.gone_at = math.inf
        self.attempts_out = {}
        self.max_attempts = 2
        self.in_subset = False
        self.position = -1
        self.backoff = FailureBackoff(0.1, 1.0)


def host(name, state="up", started=0.0, zone="z"):
    return Endpoint(name, zone, 0, 1.0, "k", state, started)


def make(listed, old):
    return Item(listed)


def test_roster_when_a_list_is_complete_then_what_is_missing_is_gone():
    roster = Roster()
    roster.update_listed(1.0, (host("a"), host("b")), True, make)
    first = roster["a"]
    roster.update_listed(2.0, (host("b"),), True, make)
    assert not first.is_up and first.gone_at == 2.0 and roster["b"].gone_at == math.inf
    assert roster.gone_for(3.0, 0.5) == [first] and roster.gone_for(3.0, 1.0) == []
    roster.update_listed(4.0, (host("a"),), False, make)
    assert roster["a"] is first and first.is_up and first.gone_at == math.inf


def test_roster_when_an_endpoint_has_started_anew_then_makes_a_new_item():
    roster = Roster()
    roster.update_listed(1.0, (host("a", started=1.0),), True, make)
    first = roster["a"]
    roster.update_listed(2.0, (host("a", "down", started=1.0),), False, make)
    assert roster["a"] is first and not first.is_up and first.gone_at == 2.0
    roster.update_listed(3.0, (host("a", "down", started=3.0),), False, make)
    assert roster["a"] is first and first.gone_at == 2.0  # it is not up yet
    roster.update_listed(4.0, (host("a", started=4.0),), False, make)
    assert roster["a"] is not first


def test_subset_index_when_attempts_come_and_go_then_lists_those_with_capacity():
    index = SubsetIndex(0, 1)
    items = [Item(host(f"h{n}")) for n in range(3)]
    index.available = items
    index.rebuild_subset(items, rate=1.0)
    assert index.subset == items and index.with_capacity == items
    for n in range(2):
        index.add_attempt(items[0], ("r", n), 1.0)
    assert index.attempts_out == 2 and items[0] not in index.with_capacity
    index.remove_attempt(items[0], ("r", 0))
    index.remove_attempt(items[0], ("r", 0))  # it is not out any more
    assert index.attempts_out == 1 and items[0] in index.with_capacity
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
    health.on_available([item])
    health.on_result(item, "connect_failed", scope, 1.0)
    assert item in health.paused and health.outliers.at("a", "class read", 1.0) == pytest.approx(0.02)
    assert health.success_probability(item, scope, 1.0) < 0.9
    assert [(one, at > 1.0) for one, at in health.pause_ends(1.0)] == [(item, True)]
    health.on_result(item, "ok", scope, 2.0)
    assert not health.paused and health.success_probability(item, scope, 2.0) > 0.9


def test_endpoint_health_when_an_error_comes_then_pauses_its_class_there():
    health = EndpointHealth()
    item = Item(host("a"))
    health.on_result(item, "error", ("host", "class read", "plan p"), 1.0)
    assert item.backoff.is_paused(("class read",), 1.0) and not item.backoff.is_paused(("host",), 1.0)
