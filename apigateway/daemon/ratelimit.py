"""Run and reconfigure the rate limit service's listeners and the client of an external rate limit service.

Imported only if the settings have a gRPC listener, keys for tokens, or an external service; each of them
imports only what it needs.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.daemon.config import Config
from apigateway.daemon.gateway_status import RateLimitListenerStatus, RateLimitStatus
from apigateway.daemon.ratelimit_config import RateLimitConfig
from apigateway.frontends.grpc.tokens import QuotaTokens, RedeemedTokens, TokenKeys
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import Frontend
    from apigateway.external_ratelimit.limiter import EnvoyRateLimiter
    from apigateway.external_ratelimit.service_config import ExternalServiceConfig
    from apigateway.frontends.grpc.frontend import GrpcFrontend

HEALTH_SERVICE = "grpc.health.v1.Health"


class RateLimitServices:
    """All rate limit services of one gateway; they are in use once `apply` was called.

    Attributes:
        config: The configuration in use, or the one for the first call of `apply`.
        tokens: Issues and redeems quota tokens; None if there are no token keys.
    """

    def __init__(self, core: RequestDispatcher, config: Config, ratelimit_config: RateLimitConfig) -> None:
        """Store the arguments.

        Args:
            core: Handles the checks, and queries the external service.
            config: The gateway's configuration; only values that no reload changes are used.
            ratelimit_config: Configuration for the first call of `apply`.
        """
        self.config = ratelimit_config
        self.tokens: QuotaTokens | None = None
        self._core = core
        self._gateway_name = config.name
        self._gateway_index = config.settings.gateway_index
        self._gateways_at_address = config.gateways_at_address
        self._external_service: EnvoyRateLimiter | None = None
        self._listeners: list[RateLimitListener] = []

    def apply(self, config: RateLimitConfig | None, frontends: Iterable[Frontend]) -> None:
        """Switch to a configuration, in one step that cannot fail.

        Args:
            config: The configuration; None if the settings configure no rate limit service any more.
            frontends: All frontends of the gateway.
        """
        if config is not None:
            self.config = config
            self._apply_token_keys(config.token_keys)
            self._apply_external_service(config.external_service)
        else:
            self.tokens = None
            self._apply_external_service(None)
        for frontend in frontends:
            frontend.set_tokens(self.tokens)
        if config is not None:
            for listener in self._listeners:
                listener.apply(config, self.tokens)
        self._core.external_ratelimit = self._external_service

    def create_frontend(
        self, address: Address, max_connections: int, max_partial_bytes: int, config: RateLimitConfig
    ) -> GrpcFrontend:
        """Return the frontend of a new listener; `config` need not be in use yet."""
        listener = RateLimitListener(self._core, address, max_connections, max_partial_bytes)
        listener.apply(config, self.tokens)
        self._listeners.append(listener)
        return listener.frontend

    def remove_frontend(self, frontend: Frontend) -> None:
        """Remove the listener of a retired frontend, if it is one of these listeners."""
        self._listeners = [listener for listener in self._listeners if listener.frontend is not frontend]

    def status(self) -> RateLimitStatus:
        """Return the status for operators."""
        external_service = self._external_service
        return RateLimitStatus(
            [listener.status() for listener in self._listeners],
            dict(self.tokens.counts) if self.tokens is not None else None,
            external_service.status() if external_service is not None else None,
        )

    def close(self) -> None:
        """Close the connection to the external service."""
        if self._external_service is not None:
            self._external_service.close()

    def _apply_token_keys(self, keys: TokenKeys | None) -> None:
        section = self.config.section
        if keys is None:
            self.tokens = None
        elif self.tokens is None:
            redeemed = RedeemedTokens(self._gateway_index, self._gateways_at_address, section.max_tokens)
            self.tokens = QuotaTokens(keys, redeemed, section.token_time, time.time, os.urandom)
        else:  # the record of redeemed tokens survives a key rotation
            self.tokens.keys = keys
            self.tokens.lifetime = section.token_time
            self.tokens.redeemed.max_tokens = section.max_tokens

    def _apply_external_service(self, service: ExternalServiceConfig | None) -> None:
        if service is None:
            self.close()
            self._external_service = None
        elif self._external_service is None:
            from apigateway.external_ratelimit.limiter import EnvoyRateLimiter  # imported only if used

            self._external_service = EnvoyRateLimiter(service, self._gateway_name)
        else:
            self._external_service.update_config(service)


class RateLimitListener:
    """One gRPC listener with its services: rate limits, health, reflection.

    Attributes:
        frontend: Frontend with the listener's connections.
    """

    def __init__(
        self, core: RequestDispatcher, address: Address, max_connections: int, max_partial_bytes: int
    ) -> None:
        from apigateway.frontends.grpc.frontend import GrpcFrontend  # imported only for a gRPC listener
        from apigateway.frontends.grpc.health import HealthService
        from apigateway.frontends.grpc.mapping import DescriptorMapping
        from apigateway.frontends.grpc.reflection import ReflectionService
        from apigateway.frontends.grpc.service import (
            SERVICE_NAME,
            SHOULD_RATE_LIMIT_PATH,
            RateLimitService,
            ServiceSettings,
        )

        frontend = GrpcFrontend(core, address, max_connections, max_partial_bytes)
        self.frontend = frontend
        self._service = RateLimitService(core, frontend, ServiceSettings(DescriptorMapping([], (), (), 1)))
        health = HealthService(
            (SERVICE_NAME,), lambda: core.is_ready and not core.is_draining and not frontend.is_draining
        )
        frontend.on_shutdown = health.notify_watches
        reflection = ReflectionService((SERVICE_NAME, HEALTH_SERVICE))
        frontend.set_methods(
            {SHOULD_RATE_LIMIT_PATH: self._service.should_rate_limit, **health.methods()},
            {**health.streams(), **reflection.streams()},
        )

    def apply(self, config: RateLimitConfig, tokens: QuotaTokens | None) -> None:
        """Switch to another configuration."""
        from apigateway.frontends.grpc.service import ServiceSettings

        section = config.section
        self._service.settings = ServiceSettings(
            config.mapping,
            section.patience,
            section.unmapped,
            section.override,
            section.max_descriptors,
            tokens,
        )
        self.frontend.tls_context = config.tls_context

    def status(self) -> RateLimitListenerStatus:
        """Return the status for operators."""
        frontend = self.frontend
        return RateLimitListenerStatus(
            address=f"{frontend.address[0]}:{frontend.port}",
            is_tls=frontend.tls_context is not None,
            connection_count=len(frontend.connections),
            failed_handshake_count=frontend.failed_handshakes,
            answer_counts=dict(self._service.counts),
        )
