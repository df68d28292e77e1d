"""Schemas of the rate limit service's tables in a settings file.

Does not import gRPC code.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigSection

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RuleSection(ConfigSection, frozen=True, kw_only=True):
    """Schema of `[[ratelimit.rules]]`: maps descriptors to customers (mapping.py)."""

    domain: Text
    entries: Annotated[list[str], msgspec.Meta(min_length=1, max_length=16)]
    customer: Text
    plan: Text
    cls: str = msgspec.field(name="class")
    units: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    first: Annotated[int, msgspec.Meta(ge=0)] = 0
    spread: Annotated[int, msgspec.Meta(ge=0)] = 0  # 0 means all gateways
    named: bool = False
    token: bool = False


class ServerTlsSection(ConfigSection, frozen=True, kw_only=True):
    """Schema of `[ratelimit.tls]`: the certificate, its key and the CA of client certificates."""

    cert: str = ""
    key: str = ""
    client_ca: str = ""


class RateLimitSection(ConfigSection, frozen=True, kw_only=True):
    """Schema of `[ratelimit]`: the rate limit service and the tokens of its checks."""

    patience: Seconds = 1.0
    unmapped: Literal["ok", "over", "error"] = "ok"
    override: Literal["ignore", "tighten", "refuse"] = "ignore"
    max_descriptors: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 100
    token_keys: Annotated[list[str], msgspec.Meta(max_length=16)] = []
    token_time: Annotated[float, msgspec.Meta(gt=0, le=300)] = 5.0
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    rules: list[RuleSection] = []
    tls: ServerTlsSection = ServerTlsSection()
