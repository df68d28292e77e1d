"""Endpoint lists with their addresses, and their conversion from and to discovery's JSON."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from apigateway import messages
from apigateway.messages import EndpointStatus, ListMode
from apigateway.upstream.address import Address, format_address, parse_address

_STATUS_BY_WIRE_NAME = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.DOWN,
}
_WIRE_NAME_BY_STATUS = {state: name for name, state in _STATUS_BY_WIRE_NAME.items()}

# Exceptions raised by fields of the wrong type or out of range
_LIST_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_ENTRY_ERRORS = (*_LIST_ERRORS, OverflowError)


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list for the decision module, and the addresses of its endpoints by id."""

    endpoint_list: messages.EndpointList
    addresses: dict[str, Address]


def listing_from_json(body: dict[str, Any], mode: ListMode | None = None) -> EndpointListing:
    """Convert discovery's JSON to an endpoint list.

    Entries that cannot be read are skipped; the others, including drains, are applied.

    Args:
        body: the decoded JSON.
        mode: mode of the list; None: FULL or DELTA, as the body specifies.

    Raises:
        ValueError: the body is not an endpoint list in discovery's format.
    """
    endpoints: list[messages.Endpoint] = []
    addresses: dict[str, Address] = {}
    try:
        list_mode = mode or (ListMode.FULL if body["full"] else ListMode.DELTA)
        version = int(body["version"])
        entries = list(body["servers"])
    except _LIST_ERRORS as err:
        raise ValueError(f"not an endpoint list: {type(err).__name__} {err}") from err
    for entry in entries:
        try:
            endpoint, address = _endpoint_from_json(entry)
        except _ENTRY_ERRORS:
            continue
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.id] = address
    if entries and not endpoints:
        raise ValueError("not an endpoint list: no entry can be read")
    return EndpointListing(messages.EndpointList(list_mode, version, tuple(endpoints)), addresses)


def listing_to_json(listing: EndpointListing) -> dict[str, Any]:
    """Convert a complete list to discovery's JSON."""
    return {
        "version": listing.endpoint_list.version,
        "full": True,
        "servers": [
            _endpoint_to_json(endpoint, listing.addresses.get(endpoint.id))
            for endpoint in listing.endpoint_list.endpoints
        ],
    }


def _endpoint_from_json(entry: dict[str, Any]) -> tuple[messages.Endpoint, Address | None]:
    """Convert the JSON of one endpoint. Raises one of `_ENTRY_ERRORS`."""
    state = _STATUS_BY_WIRE_NAME[entry["state"]]
    started_at = float(entry.get("started_ms") or 0) / 1000
    weight = float(entry.get("weight", 1.0))
    cell = int(entry.get("cell", 0))
    if not (isinstance(entry["id"], str) and 0 <= weight < math.inf and 0 <= started_at < math.inf):
        raise ValueError("id, weight or started_ms out of range")
    endpoint = messages.Endpoint(
        id=entry["id"],
        zone=str(entry.get("zone", "")),
        cell=cell,
        weight=weight,
        kind=str(entry.get("kind", "")),
        state=state,
        started_at=started_at,
    )
    return endpoint, parse_address(entry["addr"]) if entry.get("addr") else None


def _endpoint_to_json(endpoint: messages.Endpoint, address: Address | None) -> dict[str, Any]:
    entry = {
        "id": endpoint.id,
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "cell": endpoint.cell,
        "state": _WIRE_NAME_BY_STATUS[endpoint.state],
        "weight": endpoint.weight,
        "started_ms": endpoint.started_at * 1000,
    }
    if address is not None:
        entry["addr"] = format_address(address)
    return entry
