"""Swap what a reload has built into the gateway that serves, or discard it."""

from __future__ import annotations

import socket
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apigateway.daemon.config import Config
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.settings import Settings
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import EndpointSource, Frontend
    from apigateway.daemon.plugins import PluginUpdate
    from apigateway.daemon.ratelimit import RateLimitServices
    from apigateway.daemon.ratelimit_config import RateLimitConfig


@dataclass(slots=True)
class Replacement:
    """What a reload builds beside the gateway that serves.

    Attributes:
        settings: As read.
        config: What the gateway is to run with.
        ratelimit: Rate limit services, new or those in force; None: there were none and are to be none.
        ratelimit_config: What they are to go over to; None: none are wanted any more.
        plugin_update: None: no plug-ins are wanted.
        endpoint_source: None: it stays.
        sockets: Of the added listeners.
        frontends: Of the added listeners.
        plugin_changes: What plug-ins are other than before, for the log; empty: none.
    """

    settings: Settings
    config: Config
    ratelimit: RateLimitServices | None
    ratelimit_config: RateLimitConfig | None
    plugin_update: PluginUpdate | None
    endpoint_source: EndpointSource | None = None
    sockets: dict[Address, socket.socket] = field(default_factory=dict)
    frontends: list[Frontend] = field(default_factory=list)
    plugin_changes: str = ""

    def close_listeners(self) -> None:
        """Close the added listeners, which are not to serve."""
        for frontend in self.frontends:
            frontend.start_draining()
            frontend.close()
            if self.ratelimit is not None:
                self.ratelimit.forget_frontend(frontend)
        for sock in self.sockets.values():
            sock.close()


def swap_in(server: GatewayServer, replacement: Replacement, removed: Collection[Address]) -> None:
    """Have the gateway serve by a replacement, in one step: nothing here waits, and nothing can fail.

    Args:
        server: The gateway.
        replacement: Complete; its plug-ins are swapped in already.
        removed: Addresses of listeners that are to close.
    """
    old = server.config
    config = replacement.config
    server.config = config
    if config.counter != old.counter:
        server.change_counter_address(config.counter)
    if replacement.endpoint_source is not None:
        server.switch_endpoint_source(replacement.endpoint_source)
    if config.evacuated_zones != old.evacuated_zones:
        server.endpoint_list.evacuate_zones(config.evacuated_zones)
    server.core.request_budget.limit = config.max_in_flight
    server.apply_overload_settings(config)
    retired = server.replace_frontends(replacement.frontends, removed)
    ratelimit = replacement.ratelimit
    if ratelimit is not None:
        server.ratelimit = ratelimit
        ratelimit.take_up(replacement.ratelimit_config, server.frontends)
    for frontend in retired:
        if ratelimit is not None:
            ratelimit.forget_frontend(frontend)
        server.retire_frontend(frontend)
