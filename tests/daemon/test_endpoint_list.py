"""The endpoint list as last received, and its changes."""

import asyncio
import logging

import pytest
from gateway_harness import run_on_uvloop

from apigateway import messages
from apigateway.daemon.endpoint_list import EndpointListState, merge_listing
from apigateway.membership.listing import EndpointListing

EMPTY = EndpointListing(messages.EndpointList("cached", 0, ()), {})


def endpoint(name, state="up", zone="east"):
    return messages.Endpoint(name, zone=zone, cell=0, weight=1.0, kind="std", state=state, started_at=0.0)


def listing(mode, version, *endpoints):
    addresses = {one.id: ("127.0.0.1", int(one.id[1:])) for one in endpoints if one.state != "down"}
    return EndpointListing(messages.EndpointList(mode, version, endpoints), addresses)


class FakeCore:
    """Takes endpoint lists and events as the core does; it is ready once it was given endpoints."""

    def __init__(self):
        self.is_ready = False
        self.lists = []
        self.events = []

    def on_endpoint_list(self, endpoint_list, addresses):
        self.lists.append((endpoint_list, addresses))
        self.is_ready = self.is_ready or bool(endpoint_list.endpoints)

    def dispatch(self, event):
        self.events.append(event)


def test_merge_when_the_change_is_a_whole_list_then_replaces_the_old():
    change = listing("full", 7, endpoint("h2"))
    assert merge_listing(listing("full", 6, endpoint("h1")), change) is change


def test_merge_when_the_change_is_a_delta_then_adds_replaces_and_removes():
    old = listing("full", 6, endpoint("h1"), endpoint("h2"), endpoint("h3"))
    merged = merge_listing(
        old, listing("delta", 7, endpoint("h2", "leaving"), endpoint("h3", "down"), endpoint("h4"))
    )
    assert [(one.id, one.state) for one in merged.endpoint_list.endpoints] == [
        ("h1", "up"),
        ("h2", "leaving"),
        ("h4", "up"),
    ]
    assert merged.endpoint_list.mode == "full" and merged.endpoint_list.version == 7
    assert merged.addresses == {name: ("127.0.0.1", int(name[1:])) for name in ("h1", "h2", "h4")}


@run_on_uvloop
async def test_apply_when_there_are_endpoints_then_they_are_known():
    core = FakeCore()
    state = EndpointListState(core, EMPTY)
    state.apply(listing("full", 1))
    assert not state.is_known.is_set()
    state.apply(listing("full", 2, endpoint("h1")))
    await asyncio.wait_for(state.is_known.wait(), 1.0)
    assert [endpoint_list.version for endpoint_list, _ in core.lists] == [1, 2]


@run_on_uvloop
async def test_apply_when_a_watch_ended_without_a_change_then_the_core_hears_nothing():
    core = FakeCore()
    state = EndpointListState(core, EMPTY)
    state.apply(listing("full", 1, endpoint("h1")))
    state.received_at = 0.0
    state.apply(listing("delta", 2))
    assert len(core.lists) == 1 and state.received_at > 0.0


@pytest.mark.parametrize(
    ("zones", "word"),
    [(("east", "west"), "none is left"), (("east",), "sites left by the settings: east"), ((), "none")],
)
@run_on_uvloop
async def test_evacuate_zones_then_the_log_says_whether_any_is_left(zones, word, caplog):
    core = FakeCore()
    state = EndpointListState(core, listing("full", 1, endpoint("h1"), endpoint("h2", zone="west")))
    with caplog.at_level(logging.INFO):
        state.evacuate_zones(zones)
    assert core.events == [messages.EvacuateZones(zones)]
    assert word in caplog.messages[0]


@run_on_uvloop
async def test_available_but_draining_in_another_list_then_only_what_is_up_here_and_not_there():
    state = EndpointListState(
        FakeCore(), listing("full", 2, endpoint("h1"), endpoint("h2"), endpoint("h3", "leaving"))
    )
    other = listing(
        "full",
        1,
        endpoint("h1", "leaving"),
        endpoint("h2"),
        endpoint("h3", "leaving"),
        endpoint("h4", "leaving"),
    )
    assert [one.id for one in state.available_but_draining_in(other)] == ["h1"]
