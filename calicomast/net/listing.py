"""Lists of hosts in discovery's form, and the addresses in them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from calicomast import interface as api

STATE = {"up": "up", "draining": "leaving", "removed": "down"}

Address = tuple[str, int]


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Listing:
    """A list as the decision module takes it, and where each host listens."""

    hosts: api.HostList
    addresses: dict[str, Address]


def read_list(told: dict[str, Any], mode: str | None = None) -> Listing:
    """Raises ValueError if `told` is not a list of hosts in discovery's form."""
    try:
        hosts = tuple(api.Host(
            id=str(s["id"]), zone=str(s.get("zone", "")), cell=int(s.get("cell", 0)),
            weight=float(s.get("weight", 1.0)), kind=str(s.get("kind", "")), state=STATE[s["state"]],
            started=float(s.get("started_ms") or 0) / 1000) for s in told["servers"])
        addresses = {str(s["id"]): read_address(s["addr"]) for s in told["servers"] if s.get("addr")}
        kind = mode or ("full" if told["full"] else "delta")
        return Listing(api.HostList(kind, int(told["version"]), hosts), addresses)
    except (KeyError, TypeError, AttributeError) as err:
        raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
