"""Map a registry's instances to endpoints, by settings. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal

from apigateway import messages
from apigateway.membership.eureka.model import EurekaInstance, InstanceStatus, MalformedResponseError
from apigateway.membership.reconciler import ReportedEndpoint
from apigateway.messages import EndpointStatus
from apigateway.upstream.address import Address

_STATE_BY_SETTING = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.DOWN,
}
_SEVERITY_BY_SETTING = {"up": 0, "draining": 1, "gone": 2}  # a higher one is worse
_DEFAULT_STATE_SETTING = "draining"  # of a status that the settings leave out
DEFAULT_STATES = {
    "UP": "up",
    "STARTING": "draining",
    "DOWN": "draining",
    "OUT_OF_SERVICE": "draining",
    "UNKNOWN": "draining",
}
_MAX_SHOWN_ID = 80  # characters of an instance's id, in an error

AddressSource = Literal["ip", "name"]
"""Whether an endpoint's address is the instance's IP address or its host name, resolved."""


@dataclass(frozen=True, slots=True)
class InstanceMapping:
    """Which metadata keys hold an endpoint's properties, and what each status means."""

    zone_key: str = "zone"
    cell_key: str = "cell"
    kind_key: str = "kind"
    weight_key: str = "weight"
    default_zone: str = "a"
    address_source: AddressSource = "ip"
    secure: bool = False  # whether the secure port is used
    states: Mapping[str, str] = field(default_factory=lambda: dict(DEFAULT_STATES))


def read_endpoint(
    mapping: InstanceMapping, instance: EurekaInstance, addresses_by_name: Mapping[str, str] | None = None
) -> ReportedEndpoint:
    """Make an endpoint of an instance.

    Args:
        mapping: the settings.
        instance: as the registry reports it.
        addresses_by_name: of resolved host names, where the mapping takes the address from the name.

    Raises:
        MalformedResponseError: the instance makes no endpoint.
    """
    address = _read_address(mapping, instance, addresses_by_name or {})
    metadata = instance.metadata
    try:
        cell = int(metadata.get(mapping.cell_key) or 0)
        weight = float(metadata.get(mapping.weight_key) or 1.0)
    except ValueError as err:
        raise MalformedResponseError(f"metadata: {err}") from err
    if cell < 0 or not 0 <= weight < math.inf:
        raise MalformedResponseError("metadata: cell or weight out of range")
    endpoint = messages.Endpoint(
        id=instance.id,
        zone=metadata.get(mapping.zone_key) or mapping.default_zone,
        cell=cell,
        weight=weight,
        kind=metadata.get(mapping.kind_key, ""),
        state=_read_state(mapping, instance),
        started_at=(instance.service_up_ms or instance.registered_ms) / 1000,
    )
    return ReportedEndpoint(endpoint, address, instance.last_dirty_ms)


def read_endpoints(
    mapping: InstanceMapping,
    instances: Iterable[EurekaInstance],
    addresses_by_name: Mapping[str, str] | None = None,
) -> tuple[list[ReportedEndpoint], list[str]]:
    """Make endpoints of instances; one that cannot be read is left out.

    Returns:
        The endpoints, and what was left out, with the reason.
    """
    endpoints: list[ReportedEndpoint] = []
    malformed: list[str] = []
    for instance in instances:
        try:
            endpoints.append(read_endpoint(mapping, instance, addresses_by_name))
        except MalformedResponseError as err:
            malformed.append(f"{instance.id[:_MAX_SHOWN_ID]}: {err}")
    return endpoints, malformed


def _read_address(
    mapping: InstanceMapping, instance: EurekaInstance, addresses_by_name: Mapping[str, str]
) -> Address:
    port = instance.secure_port if mapping.secure else instance.port
    if not port:
        raise MalformedResponseError(f"no {'secure ' if mapping.secure else ''}port is enabled")
    host = instance.ip
    if mapping.address_source == "name":
        host = addresses_by_name.get(instance.host_name, "")
    if not host:
        raise MalformedResponseError("no address")
    return host, port


def _read_state(mapping: InstanceMapping, instance: EurekaInstance) -> EndpointStatus:
    """Return the endpoint's state. An override can only make it worse than the status does.

    Where an override holds, the registry has put it into the status.
    """
    state = mapping.states.get(instance.status, _DEFAULT_STATE_SETTING)
    if instance.overridden_status != InstanceStatus.UNKNOWN:
        overridden = mapping.states.get(instance.overridden_status, _DEFAULT_STATE_SETTING)
        state = max(state, overridden, key=_SEVERITY_BY_SETTING.__getitem__)
    return _STATE_BY_SETTING[state]
