"""Lists of hosts in discovery's form, and the addresses in them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from apigateway import messages
from apigateway.upstream.address import Address, read_address, write_address

STATE = {"up": "up", "draining": "leaving", "removed": "down"}


@dataclass(frozen=True, slots=True)
class Listing:
    """A list as the decision module takes it, and where each host listens."""

    hosts: messages.EndpointList
    addresses: dict[str, Address]


def read_entry(told: dict[str, Any]) -> tuple[messages.Endpoint, Address | None]:
    state, started = STATE[told["state"]], float(told.get("started_ms") or 0) / 1000
    weight, cell = float(told.get("weight", 1.0)), int(told.get("cell", 0))
    if not (isinstance(told["id"], str) and 0 <= weight < math.inf and 0 <= started < math.inf):
        raise ValueError("id, weight or start out of range")
    host = messages.Endpoint(
        id=told["id"],
        zone=str(told.get("zone", "")),
        cell=cell,
        weight=weight,
        kind=str(told.get("kind", "")),
        state=state,
        started_at=started,
    )
    return host, read_address(told["addr"]) if told.get("addr") else None


def read_list(told: dict[str, Any], mode: str | None = None) -> Listing:
    """Raises ValueError if `told` is not a list of hosts in discovery's form. An entry that cannot be read is
    left out; the others, drains among them, are heard all the same."""
    hosts: list[messages.Endpoint] = []
    addresses: dict[str, Address] = {}
    try:
        kind = mode or ("full" if told["full"] else "delta")
        version = int(told["version"])
        entries = list(told["servers"])
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
    for entry in entries:
        try:
            host, address = read_entry(entry)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            continue
        hosts.append(host)
        if address is not None:
            addresses[host.id] = address
    if entries and not hosts:
        raise ValueError("not a list of hosts: no entry can be read")
    return Listing(messages.EndpointList(kind, version, tuple(hosts)), addresses)


def write_list(listing: Listing) -> dict[str, Any]:
    """A whole list in discovery's form."""
    states = {state: name for name, state in STATE.items()}
    servers = [
        {
            "id": h.id,
            "zone": h.zone,
            "kind": h.kind,
            "cell": h.cell,
            "state": states[h.state],
            "weight": h.weight,
            "started_ms": h.started_at * 1000,
            **({"addr": write_address(listing.addresses[h.id])} if h.id in listing.addresses else {}),
        }
        for h in listing.hosts.endpoints
    ]
    return {"version": listing.hosts.version, "full": True, "servers": servers}
