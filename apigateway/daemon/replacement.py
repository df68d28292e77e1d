"""Hold the parts that a reload has built; swap them into the serving gateway, or discard them."""

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
    """The new parts that a reload builds while the gateway serves.

    Attributes:
        settings: The new settings.
        config: The new runtime configuration.
        ratelimit: Rate limit services, new or already in use; None if there were none and none are
            configured.
        ratelimit_config: Their new configuration; None if none are configured any more.
        plugin_update: The new plug-ins; None if none are configured.
        endpoint_source: The new endpoint source; None to keep the current one.
        sockets: Sockets of the added listeners.
        frontends: Frontends of the added listeners.
        plugin_changes: Description of changed plug-ins for the log; empty if there are none.
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
        """Close the added listeners; used if the reload fails."""
        for frontend in self.frontends:
            frontend.start_draining()
            frontend.close()
            if self.ratelimit is not None:
                self.ratelimit.remove_frontend(frontend)
        for sock in self.sockets.values():
            sock.close()


def swap_in(server: GatewayServer, replacement: Replacement, removed: Collection[Address]) -> None:
    """Switch the gateway to a replacement, in one step that neither waits nor fails.

    Args:
        server: The gateway.
        replacement: The completed replacement, whose plug-ins are swapped in already.
        removed: Addresses of the listeners to close.
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
        ratelimit.apply(replacement.ratelimit_config, server.frontends)
    for frontend in retired:
        if ratelimit is not None:
            ratelimit.remove_frontend(frontend)
        server.retire_frontend(frontend)
