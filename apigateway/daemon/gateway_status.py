"""Define the status that a gateway reports to operators, and its JSON form (`api-gateway hosts` and others).

The JSON's keys must not change, since operators' scripts read them. Not loaded on the platform.
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

# Names that operators see for the decision module's endpoint states; the other states keep their names.
_OPERATOR_STATE_NAMES: dict[messages.EndpointStatus, str] = {
    messages.EndpointStatus.DRAINING: "draining",
    messages.EndpointStatus.DOWN: "gone",
}


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as its source reports it.

    Attributes:
        endpoint: The endpoint.
        address: Its address; None if it is not known.
        doubt: Why the reconciler does not accept what the source reports; empty if it does.
        since_s: How long the endpoint has been in its state; None if not known.
    """

    endpoint: messages.Endpoint
    address: Address | None
    doubt: str = ""
    since_s: float | None = None

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        endpoint = self.endpoint
        return {
            "id": endpoint.id,
            "address": format_address(self.address) if self.address else "",
            "zone": endpoint.zone,
            "cell": endpoint.cell,
            "kind": endpoint.kind,
            "state": _OPERATOR_STATE_NAMES.get(endpoint.state, endpoint.state),
            "doubt": self.doubt,
            "since": self.since_s,
        }


@dataclass(frozen=True, slots=True)
class SelectionStatus:
    """The decision module's view of the endpoints that it selects from.

    Attributes:
        loads: Load by endpoint id; endpoints that the decision module does not have are absent.
        choice_counts: Number of selections since the start, by what decided them.
        evacuated_zones: Zones evacuated by the settings.
        zones_with_faults: Status by zone of the zones with a recent failure.
    """

    loads: dict[str, EndpointLoad]
    choice_counts: dict[str, int]
    evacuated_zones: Sequence[str]
    zones_with_faults: dict[str, dict[str, Any]]

    def load_json(self, endpoint_id: str) -> dict[str, Any]:
        """Return an endpoint's load as JSON; empty if it is not known."""
        load = self.loads.get(endpoint_id)
        return load.as_json() if load is not None else {}


@dataclass(frozen=True, slots=True)
class EndpointListStatus:
    """The endpoint list for `api-gateway hosts`.

    Attributes:
        source: Description of the list's source.
        age_s: How long ago the source last reported; None if never.
        endpoints: All endpoints of the list.
        selection: The decision module's view; None if the decision module is not this package's own.
    """

    source: str
    age_s: float | None
    endpoints: list[ListedEndpoint]
    selection: SelectionStatus | None

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        hosts = [endpoint.as_json() for endpoint in self.endpoints]
        status: dict[str, Any] = {"source": self.source, "age": self.age_s, "hosts": hosts}
        if self.selection is None:
            return status
        for host in hosts:
            host["choice"] = self.selection.load_json(host["id"])
        return status | {
            "choices": self.selection.choice_counts,
            "left": list(self.selection.evacuated_zones),
            "sites": self.selection.zones_with_faults,
        }


@dataclass(frozen=True, slots=True)
class RateLimitListenerStatus:
    """One listener of the rate limit service.

    Attributes:
        address: Address as HOST:PORT.
        is_tls: Whether the listener uses TLS.
        connection_count: Number of open connections.
        failed_handshake_count: Number of failed TLS handshakes since the start.
        answer_counts: Number of responses since the start, by response.
    """

    address: str
    is_tls: bool
    connection_count: int
    failed_handshake_count: int
    answer_counts: dict[str, int]

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form."""
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
        listeners: All listeners of the service.
        token_counts: Number of token events since the start, by event; None if there are no tokens.
        external_service: Status of the external rate limit service's client; None if there is none.
    """

    listeners: Sequence[RateLimitListenerStatus] = ()
    token_counts: dict[str, int] | None = None
    external_service: LimiterStatus | None = None

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "listeners": [listener.as_json() for listener in self.listeners],
            "tokens": self.token_counts,
            "outer": self.external_service,
        }
