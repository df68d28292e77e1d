"""Data types of a Eureka registry: instances, and the responses that list them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class InstanceStatus(StrEnum):
    """The status of an instance, as the registry names it."""

    UP = "UP"
    DOWN = "DOWN"
    STARTING = "STARTING"
    OUT_OF_SERVICE = "OUT_OF_SERVICE"
    UNKNOWN = "UNKNOWN"


class DeltaAction(StrEnum):
    """The change that a delta reports for an instance; NONE outside a delta."""

    NONE = ""
    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


class MalformedResponseError(ValueError):
    """An instance or a whole response cannot be read."""


@dataclass(frozen=True, slots=True)
class EurekaInstance:
    """One instance of an application. Times are in ms since 1970 by the registry's clock; 0: not reported."""

    id: str
    app: str
    host_name: str
    ip: str
    port: int  # 0: not enabled
    secure_port: int  # 0: not enabled
    status: InstanceStatus
    overridden_status: InstanceStatus
    vip: str = ""
    secure_vip: str = ""
    registered_ms: int = 0
    service_up_ms: int = 0
    last_dirty_ms: int = 0  # time of the instance's own last change; orders the reports on it
    action: DeltaAction = DeltaAction.NONE
    metadata: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """A complete list or a delta."""

    instances: tuple[EurekaInstance, ...]
    hashcode: str  # apps__hashcode; empty: not reported
    malformed: tuple[str, ...] = ()  # entries that could not be read, with the reason
