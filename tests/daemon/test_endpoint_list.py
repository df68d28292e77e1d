"""Test the stored endpoint list and the merging of changes."""

import asyncio
import logging

import pytest
from gateway_harness import run_on_uvloop

from apigateway import messages
from apigateway.daemon.endpoint_list import EndpointListState, merge_listing
from apigateway.membership.listing import EndpointListing

EMPTY = EndpointListing(messages.EndpointList("cached", 0, ()), {})


def make_endpoint(name, state="up", zone="east"):
    return messages.Endpoint(name, zone=zone, cell=0, weight=1.0, kind="std", state=state, started_at=0.0)


def make_listing(mode, version, *endpoints):
    addresses = {item.id: ("127.0.0.1", int(item.id[1:])) for item in endpoints if item.state != "down"}
    return EndpointListing(messages.EndpointList(mode, version, endpoints), addresses)


class FakeCore:
    """Records endpoint lists and events; ready once it has received endpoints, as the core is."""

    def __init__(self):
        self.is_ready = False
        self.lists = []
        self.events = []

    def on_endpoint_list(self, endpoint_list, addresses):
        self.lists.append((endpoint_list, addresses))
        self.is_ready = self.is_ready or bool(endpoint_list.endpoints)

    def dispatch(self, event):
        self.events.append(event)


def test_merge_when_the_change_is_a_complete_list_then_replaces_the_old_list():
    change = make_listing("full", 7, make_endpoint("h2"))
    assert merge_listing(make_listing("full", 6, make_endpoint("h1")), change) is change


def test_merge_when_the_change_is_a_delta_then_adds_replaces_and_removes():
    old = make_listing("full", 6, make_endpoint("h1"), make_endpoint("h2"), make_endpoint("h3"))
    merged = merge_listing(
        old,
        make_listing(
            "delta", 7, make_endpoint("h2", "leaving"), make_endpoint("h3", "down"), make_endpoint("h4")
        ),
    )
    assert [(item.id, item.state) for item in merged.endpoint_list.endpoints] == [
        ("h1", "up"),
        ("h2", "leaving"),
        ("h4", "up"),
    ]
    assert merged.endpoint_list.mode == "full" and merged.endpoint_list.version == 7
    assert merged.addresses == {name: ("127.0.0.1", int(name[1:])) for name in ("h1", "h2", "h4")}


@run_on_uvloop
async def test_apply_when_the_list_has_endpoints_then_sets_endpoints_known():
    core = FakeCore()
    state = EndpointListState(core, EMPTY)
    state.apply(make_listing("full", 1))
    assert not state.endpoints_known.is_set()
    state.apply(make_listing("full", 2, make_endpoint("h1")))
    await asyncio.wait_for(state.endpoints_known.wait(), 1.0)
    assert [endpoint_list.version for endpoint_list, _ in core.lists] == [1, 2]


@run_on_uvloop
async def test_apply_when_a_watch_ended_without_a_change_then_the_core_is_not_called():
    core = FakeCore()
    state = EndpointListState(core, EMPTY)
    state.apply(make_listing("full", 1, make_endpoint("h1")))
    state.received_at = 0.0
    state.apply(make_listing("delta", 2))
    assert len(core.lists) == 1 and state.received_at > 0.0


@pytest.mark.parametrize(
    ("zones", "log_text"),
    [
        (("east", "west"), "all of them stay in use"),
        (("east",), "evacuated zones (sites.leave): east"),
        ((), "none"),
    ],
)
@run_on_uvloop
async def test_evacuate_zones_then_logs_the_zones_or_that_all_stay_in_use(zones, log_text, caplog):
    core = FakeCore()
    state = EndpointListState(
        core, make_listing("full", 1, make_endpoint("h1"), make_endpoint("h2", zone="west"))
    )
    with caplog.at_level(logging.INFO):
        state.evacuate_zones(zones)
    assert core.events == [messages.EvacuateZones(zones)]
    assert log_text in caplog.messages[0]


@run_on_uvloop
async def test_endpoints_draining_only_in_another_list_then_are_up_here_and_draining_there():
    state = EndpointListState(
        FakeCore(),
        make_listing("full", 2, make_endpoint("h1"), make_endpoint("h2"), make_endpoint("h3", "leaving")),
    )
    other = make_listing(
        "full",
        1,
        make_endpoint("h1", "leaving"),
        make_endpoint("h2"),
        make_endpoint("h3", "leaving"),
        make_endpoint("h4", "leaving"),
    )
    assert [item.id for item in state.endpoints_draining_only_in(other)] == ["h1"]
