"""What a gateway tells operators of its state, typed, and its JSON for `api-gateway hosts` and the like.

The JSON's keys are read by operators' scripts: they stay as they are. Not loaded on the platform.
"""

from __future__ import annotations

import math
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from apigateway import messages
from apigateway.daemon.endpoint_load import EndpointLoad, assumed_load
from apigateway.daemon.endpoint_source import reconciler_of
from apigateway.policy import Gateway
from apigateway.upstream.address import Address, write_address

if TYPE_CHECKING:
    from apigateway.daemon.gateway_server import GatewayServer
    from apigateway.external_ratelimit.limiter import LimiterStatus
    from apigateway.membership.listing import Listing
    from apigateway.membership.reconciler import EndpointReconciler

# The decision module's words for states of an endpoint, in those of operators; others are the same.
_STATE_FOR_OPERATORS = {"leaving": "draining", "down": "gone"}


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """An endpoint as the source tells of it.

    Attributes:
        doubt: Why the reconciler does not accept what the source reports; empty: it does.
        since_s: How long its state has been so; None: not known.
    """

    endpoint: messages.Endpoint
    address: Address | None
    doubt: str = ""
    since_s: float | None = None

    def as_json(self) -> dict[str, Any]:
        """Return it as JSON."""
        endpoint = self.endpoint
        return {
            "id": endpoint.id,
            "address": write_address(self.address) if self.address else "",
            "zone": endpoint.zone,
            "cell": endpoint.cell,
            "kind": endpoint.kind,
            "state": _STATE_FOR_OPERATORS.get(endpoint.state, endpoint.state),
            "doubt": self.doubt,
            "since": self.since_s,
        }


@dataclass(frozen=True, slots=True)
class SelectionStatus:
    """What the decision module knows of the endpoints it selects from.

    Attributes:
        loads: By endpoint id; endpoints that it does not know are absent.
        choice_counts: What decided its choices since the start.
        evacuated_zones: By the settings.
        zones_with_faults: By zone, as the decision module's zone health tells.
    """

    loads: dict[str, EndpointLoad]
    choice_counts: dict[str, int]
    evacuated_zones: Sequence[str]
    zones_with_faults: dict[str, dict[str, Any]]

    def choice_of(self, endpoint_id: str) -> dict[str, Any]:
        """Return an endpoint's load as JSON; empty: it is not known."""
        load = self.loads.get(endpoint_id)
        return load.as_json() if load is not None else {}


@dataclass(frozen=True, slots=True)
class EndpointListStatus:
    """The endpoint list for `api-gateway hosts`.

    Attributes:
        source: Where it comes from, in words.
        age_s: How long ago the source last reported; None: never.
        endpoints: All of them.
        selection: None where the decision module is not this package's own.
    """

    source: str
    age_s: float | None
    endpoints: list[EndpointStatus]
    selection: SelectionStatus | None

    def as_json(self) -> dict[str, Any]:
        """Return it as JSON."""
        hosts = [endpoint.as_json() for endpoint in self.endpoints]
        tree: dict[str, Any] = {"source": self.source, "age": self.age_s, "hosts": hosts}
        if self.selection is None:
            return tree
        for host in hosts:
            host["choice"] = self.selection.choice_of(host["id"])
        return tree | {
            "choices": self.selection.choice_counts,
            "left": list(self.selection.evacuated_zones),
            "sites": self.selection.zones_with_faults,
        }


@dataclass(frozen=True, slots=True)
class RateLimitListenerStatus:
    """One listener of the rate limit service.

    Attributes:
        address: HOST:PORT.
        is_tls: Whether it speaks TLS.
        connection_count: Open now.
        failed_handshake_count: Of TLS, since the start.
        answer_counts: By answer, since the start.
    """

    address: str
    is_tls: bool
    connection_count: int
    failed_handshake_count: int
    answer_counts: dict[str, int]

    def as_json(self) -> dict[str, Any]:
        """Return it as JSON."""
        return {
            "address": self.address,
            "tls": self.is_tls,
            "connections": self.connection_count,
            "handshakes failed": self.failed_handshake_count,
            "answers": self.answer_counts,
        }


@dataclass(frozen=True, slots=True)
class RateLimitStatus:
    """The rate limit service for `api-gateway ratelimit status`.

    Attributes:
        listeners: All of them.
        token_counts: By event; None: there are no tokens.
        external_service: As the client of the external rate limit service tells; None: there is none.
    """

    listeners: Sequence[RateLimitListenerStatus] = ()
    token_counts: dict[str, int] | None = None
    external_service: LimiterStatus | None = None

    def as_json(self) -> dict[str, Any]:
        """Return it as JSON."""
        return {
            "listeners": [listener.as_json() for listener in self.listeners],
            "tokens": self.token_counts,
            "outer": self.external_service,
        }


def endpoint_list_status(server: GatewayServer) -> EndpointListStatus:
    """Return what a gateway knows of its endpoints."""
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


def _reconciled_endpoints(reconciler: EndpointReconciler, now: float) -> list[EndpointStatus]:
    return [
        EndpointStatus(
            record.accepted.endpoint, record.accepted.address, record.doubt, now - record.state_since
        )
        for record in reconciler.records.values()
    ]


def _received_endpoints(listing: Listing) -> list[EndpointStatus]:
    return [
        EndpointStatus(endpoint, listing.addresses.get(endpoint.id)) for endpoint in listing.hosts.endpoints
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
    """Return the plug-ins' status as JSON, as they tell it."""
    return server.plugins.status() if server.plugins is not None else {"plugins": [], "records": None}


def ratelimit_status(server: GatewayServer) -> RateLimitStatus:
    """Return the state of a gateway's rate limit services."""
    return server.ratelimit.status() if server.ratelimit is not None else RateLimitStatus()
