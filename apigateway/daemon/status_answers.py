"""Answer status queries (status_query.py) with the current state of a gateway."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from apigateway.daemon.endpoint_load import assumed_load
from apigateway.daemon.endpoint_source import reconciler_of
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.gateway_status import (
    EndpointListStatus,
    ListedEndpoint,
    RateLimitStatus,
    SelectionStatus,
)
from apigateway.policy import Gateway

if TYPE_CHECKING:
    from apigateway.membership.listing import EndpointListing
    from apigateway.membership.reconciler import EndpointReconciler


def status_queries(server: GatewayServer) -> dict[str, Callable[[], dict[str, Any]]]:
    """Return functions that answer with JSON, by the name of the query."""
    return {
        "hosts": lambda: endpoint_list_status(server).as_json(),
        "plugins": lambda: plugins_status(server),
        "ratelimit": lambda: ratelimit_status(server).as_json(),
    }


def endpoint_list_status(server: GatewayServer) -> EndpointListStatus:
    """Return the status of a gateway's endpoint list."""
    reconciler = reconciler_of(server.endpoint_source)
    if reconciler is not None:
        age_s = server.clock() - reconciler.last_update_at
        endpoints = _reconciled_endpoints(reconciler, server.clock())
    else:
        age_s = time.monotonic() - server.endpoint_list.received_at
        endpoints = _received_endpoints(server.endpoint_list.listing)
    return EndpointListStatus(
        _source_name(server), age_s if age_s < math.inf else None, endpoints, _selection_status(server)
    )


def _reconciled_endpoints(reconciler: EndpointReconciler, now: float) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(
            record.accepted.endpoint, record.accepted.address, record.doubt, now - record.state_since
        )
        for record in reconciler.records.values()
    ]


def _received_endpoints(listing: EndpointListing) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(endpoint, listing.addresses.get(endpoint.id))
        for endpoint in listing.endpoint_list.endpoints
    ]


def _source_name(server: GatewayServer) -> str:
    if server.config.endpoint_file is not None:
        return f"file {server.config.endpoint_file}"
    url = getattr(server.endpoint_source, "url", "")
    return f"{'discovery' if server.config.discovery else 'registry'} {url}"


def _selection_status(server: GatewayServer) -> SelectionStatus | None:
    module = server.core.module
    if not isinstance(module, Gateway):
        return None
    pool = module.pool
    now = server.clock()
    loads = {endpoint_id: assumed_load(pool, endpoint_id, now) for endpoint_id in pool.endpoints}
    return SelectionStatus(
        {endpoint_id: load for endpoint_id, load in loads.items() if load is not None},
        dict(pool.choice_counts),
        server.config.evacuated_zones,
        pool.health.zone_health.status(now),
    )


def plugins_status(server: GatewayServer) -> dict[str, Any]:
    """Return the plug-ins' status as JSON."""
    return server.plugins.status() if server.plugins is not None else {"plugins": [], "records": None}


def ratelimit_status(server: GatewayServer) -> RateLimitStatus:
    """Return the status of a gateway's rate limit services."""
    return server.ratelimit.status() if server.ratelimit is not None else RateLimitStatus()
