"""What a gateway tells operators of its state, typed, and its JSON for `api-gateway hosts` and the like.

The JSON's keys are read by operators' scripts: they stay as they are. Not loaded on the platform.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from apigateway import messages
from apigateway.daemon.endpoint_load import EndpointLoad
from apigateway.upstream.address import Address, format_address

if TYPE_CHECKING:
    from apigateway.external_ratelimit.limiter import LimiterStatus

# The decision module's words for states of an endpoint, in those of operators; others are the same.
_STATE_FOR_OPERATORS: dict[messages.EndpointStatus, str] = {
    messages.EndpointStatus.DRAINING: "draining",
    messages.EndpointStatus.DOWN: "gone",
}


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
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
            "address": format_address(self.address) if self.address else "",
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
    endpoints: list[ListedEndpoint]
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
