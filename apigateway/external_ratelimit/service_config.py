"""Configuration of the external rate limit service, built from the settings and the files they name."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field

from apigateway.external_ratelimit.circuit_breaker import CheckSettings
from apigateway.upstream.address import Address

SHOULD_RATE_LIMIT_PATH = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"


@dataclass(frozen=True, slots=True)
class ExternalServiceConfig:
    """How a gateway calls the external service.

    Attributes:
        address: The address of the service.
        checks: Which requests are checked, and the circuit breaker settings.
        domain: The domain of each rate limit request.
        descriptor_entries: The key and value of each entry. A value may contain the placeholders {customer},
            {plan}, {class} and {units}, filled from the request, and {gateway}, the name of this gateway.
        batch_size: The maximum number of requests of one event loop iteration that share a rate limit
            request. Use more than one only for a service that counts each descriptor separately.
        server_name: The name that the server certificate must match; if empty, the host of the address.
        ssl_context: The TLS context; None for plain text.
        tls_digests: Digests of the files behind `ssl_context`; equal digests mean equal contexts.
    """

    address: Address
    checks: CheckSettings
    domain: str
    descriptor_entries: tuple[tuple[str, str], ...]
    batch_size: int = 1
    server_name: str = ""
    ssl_context: ssl.SSLContext | None = field(default=None, compare=False)
    tls_digests: tuple[str, ...] = ()

    def has_same_endpoint(self, other: ExternalServiceConfig) -> bool:
        """Return whether a channel created from `other` may be reused."""
        own = (self.address, self.server_name, self.tls_digests)
        return own == (other.address, other.server_name, other.tls_digests)
