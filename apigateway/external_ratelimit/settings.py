"""Schema of the `[ask]` table of a settings file, which configures an external rate limit service.

Does not import gRPC code.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from apigateway.config_validation import ConfigSection

DEFAULT_ENTRIES = ("customer={customer}", "plan={plan}", "class={class}")

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_Entry = Annotated[str, msgspec.Meta(pattern=r"^[^=]+=.+$", max_length=256)]


class ClientTlsSection(ConfigSection, frozen=True, kw_only=True):
    """Schema of `[ask.tls]`: TLS for connections to the service."""

    on: bool = False
    ca: str = ""
    cert: str = ""
    key: str = ""
    name: str = ""


class ExternalRateLimitSection(ConfigSection, frozen=True, kw_only=True):
    """Schema of `[ask]`: the service, and which requests are checked.

    docs/operate/ratelimit.md documents the keys.
    """

    address: str = ""
    plans: list[str] = []
    classes: list[str] = []
    domain: Annotated[str, msgspec.Meta(min_length=1, max_length=256)] = "calicomast"
    entries: Annotated[list[_Entry], msgspec.Meta(min_length=1, max_length=16)] = msgspec.field(
        default_factory=lambda: list(DEFAULT_ENTRIES)
    )
    timeout: Annotated[float, msgspec.Meta(ge=0.005, le=60)] = 0.1
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25
    failing: Literal["own", "refuse"] = "own"
    batch: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    failures: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 5
    rest: _Seconds = 0.5
    most_rest: _Seconds = 30.0
    trials: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    steady: _Seconds = 30.0
    max_waiting: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000
    tls: ClientTlsSection = ClientTlsSection()
