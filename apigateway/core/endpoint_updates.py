"""Pass the endpoint list on to the connection pools and to the decision module."""

from __future__ import annotations

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.interfaces import Addresses
from apigateway.messages import DiscoveryMode, EndpointStatus, ListMode


class EndpointUpdates:
    """What an `EndpointSource` reports."""

    def __init__(self, context: CoreContext, events: EventDispatcher) -> None:
        self._context = context
        self._events = events

    def on_list(self, endpoint_list: messages.EndpointList, addresses: Addresses) -> None:
        """Apply a new endpoint list.

        The decision module is notified between the endpoints that come and those that go: what ends with one
        that goes is then not sent there once more.
        """
        upstream = self._context.upstream
        up = {endpoint.id for endpoint in endpoint_list.endpoints if endpoint.state == EndpointStatus.UP}
        for endpoint_id in up & addresses.keys():
            upstream.update_endpoint(endpoint_id, addresses[endpoint_id])
        self._events.dispatch(endpoint_list)
        listed = {endpoint.id for endpoint in endpoint_list.endpoints}
        if endpoint_list.mode != ListMode.DELTA:
            listed |= upstream.known_endpoints()
        for endpoint_id in listed - up:
            upstream.update_endpoint(endpoint_id, None)
        self._context.is_ready = self._context.is_ready or bool(upstream.known_endpoints())

    def on_list_failed(self) -> None:
        """Tell the decision module that an endpoint list it asked for could not be had."""
        source = self._context.endpoint_source
        if source is not None and self._context.settings.discovery_mode == DiscoveryMode.POLL:
            self._events.dispatch(messages.EndpointList(ListMode.FAILED, source.version, ()))
