"""The hosts to which requests are forwarded, as the endpoint list describes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from apigateway.contract.service_classes import DeduplicationScope
from apigateway.contract.validation import require


class EndpointStatus(StrEnum):
    """The status of a host in the endpoint list."""

    UP = "up"
    DRAINING = "leaving"  # it must not get new requests
    DOWN = "down"


class ListMode(StrEnum):
    """What an update of the endpoint list contains."""

    DELTA = "delta"  # the hosts that changed
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as it was last known
    FAILED = "failed"  # nothing: the call to discovery failed


ENDPOINT_STATUSES = tuple(EndpointStatus)
LIST_MODES = tuple(ListMode)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host to which requests are forwarded, as the endpoint list describes it."""

    id: str
    zone: str
    cell: int
    weight: float
    kind: str
    state: EndpointStatus
    started_at: float  # Unix time of its last start; 0: long ago

    @property
    def is_up(self) -> bool:
        """Whether it may get new requests."""
        return self.state == EndpointStatus.UP

    def shares_scope(self, other: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether this host discards a repeat of a request that the other host has executed."""
        if scope == DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope == DeduplicationScope.ALL or self.cell == other.cell

    def __post_init__(self) -> None:
        if self.state not in ENDPOINT_STATUSES:
            raise ValueError(f"host {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An update of the endpoint list: changes, a complete or a cached list, or a failed call."""

    mode: ListMode
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def is_complete(self) -> bool:
        """Whether hosts that it does not list are gone."""
        return self.mode in (ListMode.FULL, ListMode.CACHED)

    def __post_init__(self) -> None:
        require(self.mode in LIST_MODES, f"unknown list mode {self.mode!r}")
