"""Which external service is asked, and how: what settings and the files that they name come to."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field

from apigateway.external_ratelimit.circuit_breaker import CheckSettings
from apigateway.upstream.address import Address

SHOULD_RATE_LIMIT_PATH = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"


@dataclass(frozen=True, slots=True)
class ExternalServiceConfig:
    """The external service as a gateway asks it.

    Attributes:
        address: Where it listens.
        checks: When it is asked, and when it is taken to fail.
        domain: The domain of each question.
        descriptor_entries: Key and value of each entry. A value may take from the request, in braces,
            customer, plan, class and units; and gateway, this one's name.
        batch_size: Most requests of one turn of the event loop that go in one question; more than one only
            for a service that counts each descriptor by itself.
        server_name: The name that its certificate has to have; empty: the host of the address.
        ssl_context: None without TLS.
        tls_digests: The files that `ssl_context` was made of; equal ones make an equal context.
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
        """Tell whether a channel by the other's config may be kept."""
        own = (self.address, self.server_name, self.tls_digests)
        return own == (other.address, other.server_name, other.tls_digests)
