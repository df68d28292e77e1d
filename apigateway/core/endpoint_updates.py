"""Apply endpoint lists to the connection pools and the decision module."""

from __future__ import annotations

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.interfaces import Addresses
from apigateway.messages import DiscoveryMode, EndpointStatus, ListMode


class EndpointUpdates:
    """Handles the endpoint lists and failures that an `EndpointSource` reports."""

    def __init__(self, context: CoreContext, events: EventDispatcher) -> None:
        self._context = context
        self._events = events

    def on_list(self, endpoint_list: messages.EndpointList, addresses: Addresses) -> None:
        """Apply a new endpoint list.

        Endpoints are added before the decision module is notified, and removed afterwards. An attempt that
        ends because its endpoint is removed is thus not sent to that endpoint again.
        """
        upstream = self._context.upstream
        up_ids = {endpoint.id for endpoint in endpoint_list.endpoints if endpoint.state == EndpointStatus.UP}
        for endpoint_id in up_ids & addresses.keys():
            upstream.update_endpoint(endpoint_id, addresses[endpoint_id])
        self._events.dispatch(endpoint_list)
        listed_ids = {endpoint.id for endpoint in endpoint_list.endpoints}
        if endpoint_list.mode != ListMode.DELTA:
            listed_ids |= upstream.known_endpoints()
        for endpoint_id in listed_ids - up_ids:
            upstream.update_endpoint(endpoint_id, None)
        self._context.is_ready = self._context.is_ready or bool(upstream.known_endpoints())

    def on_list_failed(self) -> None:
        """Notify the decision module that an endpoint list it asked for could not be fetched."""
        source = self._context.endpoint_source
        if source is not None and self._context.settings.discovery_mode == DiscoveryMode.POLL:
            self._events.dispatch(messages.EndpointList(ListMode.FAILED, source.version, ()))
