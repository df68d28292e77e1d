"""Hold the last endpoint list received, and pass each change of it to the core."""

from __future__ import annotations

import asyncio
import logging
import time

from apigateway import messages
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.membership.listing import EndpointListing

log = logging.getLogger(__name__)


class EndpointListState:
    """The complete endpoint list, updated from the changes that the source reports.

    Attributes:
        listing: The list, with the endpoints' addresses.
        received_at: When a source last reported, by `time.monotonic`.
        endpoints_known: Set once the core has endpoints.
    """

    def __init__(self, core: RequestDispatcher, listing: EndpointListing) -> None:
        self.listing = listing
        self.received_at = time.monotonic()
        self.endpoints_known = asyncio.Event()
        self._core = core

    def apply(self, change: EndpointListing) -> None:
        """Merge a list or a change from the source, and pass it to the core."""
        self.received_at = time.monotonic()
        if (
            self._core.is_ready
            and change.endpoint_list.mode == messages.ListMode.DELTA
            and not change.endpoint_list.endpoints
        ):
            return  # a watch request that timed out without a change
        self.listing = merge_listing(self.listing, change)
        self._core.on_endpoint_list(change.endpoint_list, change.addresses)
        if self._core.is_ready:
            self.endpoints_known.set()

    def evacuate_zones(self, zones: tuple[str, ...]) -> None:
        """Send no new requests to endpoints in these zones, as long as there are endpoints in others."""
        self._core.dispatch(messages.EvacuateZones(zones))
        known_zones = {endpoint.zone for endpoint in self.listing.endpoint_list.endpoints}
        if known_zones and known_zones <= set(zones):
            log.warning(
                "sites.leave lists every zone that has endpoints (%s); all of them stay in use",
                " ".join(sorted(known_zones)),
            )
        else:
            log.info("evacuated zones (sites.leave): %s", ", ".join(zones) or "none")

    def endpoints_draining_only_in(self, other: EndpointListing) -> tuple[messages.Endpoint, ...]:
        """Return the other list's entries of endpoints that are up in this list and not up in the other."""
        up_ids = {
            endpoint.id
            for endpoint in self.listing.endpoint_list.endpoints
            if endpoint.state == messages.EndpointStatus.UP
        }
        return tuple(
            endpoint
            for endpoint in other.endpoint_list.endpoints
            if endpoint.state != messages.EndpointStatus.UP and endpoint.id in up_ids
        )


def merge_listing(old: EndpointListing, change: EndpointListing) -> EndpointListing:
    """Return the complete list after a change; a change that is a complete list replaces the old list."""
    if change.endpoint_list.mode != messages.ListMode.DELTA:
        return change
    by_id = {endpoint.id: endpoint for endpoint in old.endpoint_list.endpoints}
    by_id |= {endpoint.id: endpoint for endpoint in change.endpoint_list.endpoints}
    remaining = tuple(
        endpoint for endpoint in by_id.values() if endpoint.state != messages.EndpointStatus.DOWN
    )
    addresses = {**old.addresses, **change.addresses}
    return EndpointListing(
        messages.EndpointList(messages.ListMode.FULL, change.endpoint_list.version, remaining),
        {endpoint.id: addresses[endpoint.id] for endpoint in remaining if endpoint.id in addresses},
    )
