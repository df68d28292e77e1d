"""The endpoint list as last received, and the way by which each change of it reaches the core."""

from __future__ import annotations

import asyncio
import logging
import time

from apigateway import messages
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.membership.listing import EndpointListing

log = logging.getLogger(__name__)


class EndpointListState:
    """The whole endpoint list, kept up to date from the changes that the source reports.

    Attributes:
        listing: The list, with the endpoints' addresses.
        received_at: When a source last reported, by the system's monotonic clock.
        is_known: Set once the core has endpoints.
    """

    def __init__(self, core: RequestDispatcher, listing: EndpointListing) -> None:
        self.listing = listing
        self.received_at = time.monotonic()
        self.is_known = asyncio.Event()
        self._core = core

    def apply(self, change: EndpointListing) -> None:
        """Take in a list or a change from the source, and tell the core."""
        self.received_at = time.monotonic()
        if (
            self._core.is_ready
            and change.endpoint_list.mode == messages.ListMode.DELTA
            and not change.endpoint_list.endpoints
        ):
            return  # a watch that ended without a change
        self.listing = merge_listing(self.listing, change)
        self._core.on_endpoint_list(change.endpoint_list, change.addresses)
        if self._core.is_ready:
            self.is_known.set()

    def evacuate_zones(self, zones: tuple[str, ...]) -> None:
        """Send nothing new to endpoints of these zones from now on, as long as there are others."""
        self._core.dispatch(messages.EvacuateZones(zones))
        known_zones = {endpoint.zone for endpoint in self.listing.endpoint_list.endpoints}
        if known_zones and known_zones <= set(zones):
            log.warning(
                "sites.leave names all zones of the list (%s): none is left", " ".join(sorted(known_zones))
            )
        else:
            log.info("sites left by the settings: %s", ", ".join(zones) or "none")

    def available_but_draining_in(self, other: EndpointListing) -> tuple[messages.Endpoint, ...]:
        """Return the endpoints, as in the other list, that are up here and not there."""
        up = {
            endpoint.id
            for endpoint in self.listing.endpoint_list.endpoints
            if endpoint.state == messages.EndpointStatus.UP
        }
        return tuple(
            endpoint
            for endpoint in other.endpoint_list.endpoints
            if endpoint.state != messages.EndpointStatus.UP and endpoint.id in up
        )


def merge_listing(old: EndpointListing, change: EndpointListing) -> EndpointListing:
    """Return the complete list after a change; a change that is a complete list replaces the old one."""
    if change.endpoint_list.mode != messages.ListMode.DELTA:
        return change
    by_id = {endpoint.id: endpoint for endpoint in old.endpoint_list.endpoints}
    by_id |= {endpoint.id: endpoint for endpoint in change.endpoint_list.endpoints}
    kept = tuple(endpoint for endpoint in by_id.values() if endpoint.state != messages.EndpointStatus.DOWN)
    addresses = {**old.addresses, **change.addresses}
    return EndpointListing(
        messages.EndpointList(messages.ListMode.FULL, change.endpoint_list.version, kept),
        {endpoint.id: addresses[endpoint.id] for endpoint in kept if endpoint.id in addresses},
    )
