"""Endpoint lists in discovery's form, and the addresses in them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from apigateway import messages
from apigateway.messages import EndpointStatus, ListMode
from apigateway.upstream.address import Address, format_address, parse_address

_STATE_BY_WIRE_NAME = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.DOWN,
}
_WIRE_NAME_BY_STATE = {state: name for name, state in _STATE_BY_WIRE_NAME.items()}

# What a field of the wrong type or out of range raises while a list or an entry is read
_LIST_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_ENTRY_ERRORS = (*_LIST_ERRORS, OverflowError)


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list as the decision module takes it, and the address of each endpoint."""

    endpoint_list: messages.EndpointList
    addresses: dict[str, Address]


def listing_from_json(body: dict[str, Any], mode: ListMode | None = None) -> EndpointListing:
    """Read an endpoint list in discovery's form.

    An entry that cannot be read is left out; the others, drains among them, count all the same.

    Args:
        body: the decoded JSON.
        mode: of the list; None: FULL or DELTA, as the body says.

    Raises:
        ValueError: the body is no endpoint list in discovery's form.
    """
    endpoints: list[messages.Endpoint] = []
    addresses: dict[str, Address] = {}
    try:
        list_mode = mode or (ListMode.FULL if body["full"] else ListMode.DELTA)
        version = int(body["version"])
        entries = list(body["servers"])
    except _LIST_ERRORS as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    for entry in entries:
        try:
            endpoint, address = _read_entry(entry)
        except _ENTRY_ERRORS:
            continue
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.id] = address
    if entries and not endpoints:
        raise ValueError("not a list of hosts: no entry can be read")
    return EndpointListing(messages.EndpointList(list_mode, version, tuple(endpoints)), addresses)


def listing_to_json(listing: EndpointListing) -> dict[str, Any]:
    """Write a complete list in discovery's form."""
    return {
        "version": listing.endpoint_list.version,
        "full": True,
        "servers": [
            _write_entry(endpoint, listing.addresses.get(endpoint.id))
            for endpoint in listing.endpoint_list.endpoints
        ],
    }


def _read_entry(entry: dict[str, Any]) -> tuple[messages.Endpoint, Address | None]:
    """Read one endpoint. Raises one of `_ENTRY_ERRORS`."""
    state = _STATE_BY_WIRE_NAME[entry["state"]]
    started_at = float(entry.get("started_ms") or 0) / 1000
    weight = float(entry.get("weight", 1.0))
    cell = int(entry.get("cell", 0))
    if not (isinstance(entry["id"], str) and 0 <= weight < math.inf and 0 <= started_at < math.inf):
        raise ValueError("id, weight or start out of range")
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


def _write_entry(endpoint: messages.Endpoint, address: Address | None) -> dict[str, Any]:
    entry = {
        "id": endpoint.id,
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "cell": endpoint.cell,
        "state": _WIRE_NAME_BY_STATE[endpoint.state],
        "weight": endpoint.weight,
        "started_ms": endpoint.started_at * 1000,
    }
    if address is not None:
        entry["addr"] = format_address(address)
    return entry
