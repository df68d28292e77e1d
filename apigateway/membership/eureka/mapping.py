"""Instances of a registry to hosts, by settings. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from apigateway import messages
from apigateway.membership.eureka.model import EurekaInstance, MalformedResponseError
from apigateway.membership.reconciler import ReportedEndpoint
from apigateway.upstream.address import Address

STATES = {"up": "up", "draining": "leaving", "gone": "down"}
DEFAULT_STATES = {
    "UP": "up",
    "STARTING": "draining",
    "DOWN": "draining",
    "OUT_OF_SERVICE": "draining",
    "UNKNOWN": "draining",
}
WORST = ("up", "draining", "gone")


@dataclass(frozen=True, slots=True)
class InstanceMapping:
    """Which metadata tells what, and what each status means. `address`: "ip" or "name"."""

    zone: str = "zone"
    cell: str = "cell"
    kind: str = "kind"
    weight: str = "weight"
    default_zone: str = "a"
    address: str = "ip"
    secure: bool = False
    states: Mapping[str, str] = field(default_factory=lambda: dict(DEFAULT_STATES))


def read_entry(
    told: InstanceMapping, instance: EurekaInstance, names: Mapping[str, str] | None = None
) -> ReportedEndpoint:
    """Raises Odd. `names` resolves host names, where addresses are taken from those."""
    port = instance.secure_port if told.secure else instance.port
    if not port:
        raise MalformedResponseError(f"no {'secure ' if told.secure else ''}port is enabled")
    host = instance.ip
    if told.address == "name":
        host = (names or {}).get(instance.host_name, "")
    if not host:
        raise MalformedResponseError("no address")
    address: Address = (host, port)
    try:
        cell = int(instance.metadata.get(told.cell) or 0)
        weight = float(instance.metadata.get(told.weight) or 1.0)
    except ValueError as err:
        raise MalformedResponseError(f"metadata: {err}") from err
    if cell < 0 or not 0 <= weight < math.inf:
        raise MalformedResponseError("metadata: cell or weight out of range")
    # An override can only make it worse here: the registry has put it into `status` where it holds.
    state = told.states.get(instance.status, "draining")
    if instance.overridden_status != "UNKNOWN":
        state = max(state, told.states.get(instance.overridden_status, "draining"), key=WORST.index)
    started = (instance.service_up_ms or instance.registered_ms) / 1000
    return ReportedEndpoint(
        messages.Endpoint(
            instance.id,
            instance.metadata.get(told.zone) or told.default_zone,
            cell,
            weight,
            instance.metadata.get(told.kind, ""),
            STATES[state],
            started,
        ),
        address,
        instance.last_dirty_ms,
    )


def read_entries(
    told: InstanceMapping, instances: Iterable[EurekaInstance], names: Mapping[str, str] | None = None
) -> tuple[list[ReportedEndpoint], list[str]]:
    """The hosts, and what could not be read: that takes nothing else along."""
    entries, odd = [], []
    for instance in instances:
        try:
            entries.append(read_entry(told, instance, names))
        except MalformedResponseError as err:
            odd.append(f"{instance.id[:80]}: {err}")
    return entries, odd
