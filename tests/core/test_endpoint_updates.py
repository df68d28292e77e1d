"""Endpoint lists applied to the connection pools and the decision module."""

import pytest
from core.fakes import DispatcherHarness

from apigateway import messages

ADDRESSES = {"h1": ("127.0.0.1", 1), "h2": ("127.0.0.1", 2)}


class FakeEndpointSource:
    """An endpoint source whose last list had version 7."""

    version = 7


class AddressRecordingModule:
    """Records the addresses in the pool at each event."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.recorded_addresses = []

    def handle(self, now, event):
        self.recorded_addresses.append(dict(self.upstream.addresses))
        return []


def make_list(mode, **states):
    endpoints = [messages.Endpoint(name, "z1", 0, 1.0, "k", state, 0.0) for name, state in states.items()]
    return messages.EndpointList(mode, 1, tuple(endpoints))


def test_endpoint_list_when_endpoints_are_added_and_removed_then_the_module_is_notified_in_between():
    harness = DispatcherHarness()
    harness.core.on_endpoint_list(make_list("full", h1="up"), ADDRESSES)
    harness.core.module = module = AddressRecordingModule(harness.upstream)
    harness.core.on_endpoint_list(make_list("full", h2="up"), ADDRESSES)
    assert module.recorded_addresses == [ADDRESSES]  # h2 was added and h1 not yet removed
    assert harness.upstream.addresses == {"h1": None, "h2": ADDRESSES["h2"]}


@pytest.mark.parametrize("state", ["leaving", "down"])
def test_endpoint_list_when_a_delta_removes_an_endpoint_then_the_others_remain(state):
    harness = DispatcherHarness()
    harness.core.on_endpoint_list(make_list("full", h1="up", h2="up"), ADDRESSES)
    harness.core.on_endpoint_list(make_list("delta", h1=state), {})
    assert harness.upstream.known_endpoints() == {"h2"}


def test_core_when_it_has_had_endpoints_then_it_stays_ready():
    harness = DispatcherHarness()
    assert not harness.core.is_ready
    harness.core.on_endpoint_list(make_list("full", h1="up"), ADDRESSES)
    assert harness.core.is_ready
    harness.core.on_endpoint_list(make_list("full"), {})
    assert harness.core.is_ready and not harness.upstream.known_endpoints()


@pytest.mark.parametrize("discovery_mode, is_notified", [("ask", True), ("push", False)])
def test_endpoint_list_when_fetching_failed_then_a_module_that_polls_is_notified(discovery_mode, is_notified):
    harness = DispatcherHarness(discovery_mode=discovery_mode)
    harness.core.endpoint_source = FakeEndpointSource()
    harness.core.on_endpoint_list_failed()
    assert harness.module.events == [messages.EndpointList("failed", 7, ())] * is_notified
