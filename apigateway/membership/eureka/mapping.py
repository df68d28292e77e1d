"""Convert a registry's instances to endpoints according to the settings. Pure."""

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

_STATUS_BY_SETTING = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.DOWN,
}
_SEVERITY_BY_SETTING = {"up": 0, "draining": 1, "gone": 2}  # a higher severity is a worse state
_DEFAULT_STATE = "draining"  # for a status that the settings do not list
DEFAULT_STATES = {
    "UP": "up",
    "STARTING": "draining",
    "DOWN": "draining",
    "OUT_OF_SERVICE": "draining",
    "UNKNOWN": "draining",
}
_MAX_SHOWN_ID_CHARACTERS = 80  # in an error message

AddressSource = Literal["ip", "name"]
"""Where an endpoint's address comes from: the instance's IP address or its resolved host name."""


@dataclass(frozen=True, slots=True)
class InstanceMapping:
    """The metadata keys of an endpoint's properties, and the endpoint state for each instance status."""

    zone_key: str = "zone"
    cell_key: str = "cell"
    kind_key: str = "kind"
    weight_key: str = "weight"
    default_zone: str = "a"
    address_source: AddressSource = "ip"
    use_secure_port: bool = False
    states: Mapping[str, str] = field(default_factory=lambda: dict(DEFAULT_STATES))


def convert_instance(
    mapping: InstanceMapping, instance: EurekaInstance, addresses_by_name: Mapping[str, str] | None = None
) -> ReportedEndpoint:
    """Convert an instance to an endpoint.

    Args:
        mapping: the settings of the conversion.
        instance: the instance as reported by the registry.
        addresses_by_name: IP addresses of resolved host names, used if `mapping` takes addresses from names.

    Raises:
        MalformedResponseError: the instance cannot be converted.
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
        state=_read_status(mapping, instance),
        started_at=(instance.service_up_ms or instance.registered_ms) / 1000,
    )
    return ReportedEndpoint(endpoint, address, instance.last_dirty_ms)


def convert_instances(
    mapping: InstanceMapping,
    instances: Iterable[EurekaInstance],
    addresses_by_name: Mapping[str, str] | None = None,
) -> tuple[list[ReportedEndpoint], list[str]]:
    """Convert instances to endpoints; skip those that cannot be converted.

    Returns:
        The endpoints, and a description of each skipped instance with the reason.
    """
    endpoints: list[ReportedEndpoint] = []
    malformed: list[str] = []
    for instance in instances:
        try:
            endpoints.append(convert_instance(mapping, instance, addresses_by_name))
        except MalformedResponseError as err:
            malformed.append(f"{instance.id[:_MAX_SHOWN_ID_CHARACTERS]}: {err}")
    return endpoints, malformed


def _read_address(
    mapping: InstanceMapping, instance: EurekaInstance, addresses_by_name: Mapping[str, str]
) -> Address:
    port = instance.secure_port if mapping.use_secure_port else instance.port
    if not port:
        raise MalformedResponseError(f"no {'secure ' if mapping.use_secure_port else ''}port is enabled")
    host = instance.ip
    if mapping.address_source == "name":
        host = addresses_by_name.get(instance.host_name, "")
    if not host:
        raise MalformedResponseError("no address")
    return host, port


def _read_status(mapping: InstanceMapping, instance: EurekaInstance) -> EndpointStatus:
    """Return the endpoint's state. An override can only make it worse than the instance's status does.

    If an override is in force, the registry has already applied it to the status.
    """
    state = mapping.states.get(instance.status, _DEFAULT_STATE)
    if instance.overridden_status != InstanceStatus.UNKNOWN:
        overridden = mapping.states.get(instance.overridden_status, _DEFAULT_STATE)
        state = max(state, overridden, key=_SEVERITY_BY_SETTING.__getitem__)
    return _STATUS_BY_SETTING[state]
