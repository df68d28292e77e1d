"""Instances as a registry writes them, in JSON with its oddities or in XML.

Oddities: one instance is an object, several are a list; `{"$": 8080, "@enabled": "true"}`; numbers and
booleans as text; `instanceId` left out by old clients; a metadata table that names its Java class.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any
from xml.etree.ElementTree import Element

import msgspec

STATUSES = ("UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN")
ACTIONS = ("ADDED", "MODIFIED", "DELETED")


class MalformedResponseError(ValueError):
    """An instance, or an answer as a whole, that cannot be read."""


@dataclass(frozen=True, slots=True)
class EurekaInstance:
    """Times in milliseconds since 1970 by the registry's clock, 0: not told."""

    id: str
    app: str
    host_name: str
    ip: str
    port: int  # 0: not enabled
    secure_port: int  # 0: not enabled
    status: str  # one of STATUSES; another is UNKNOWN
    overridden_status: str
    vip: str = ""
    secure_vip: str = ""
    registered_ms: int = 0
    service_up_ms: int = 0
    last_dirty_ms: int = 0  # when the instance itself last changed: orders news of it
    action: str = ""  # one of ACTIONS in a delta
    metadata: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """A whole list or a delta. `odd`: what could not be read, which takes nothing else along."""

    instances: tuple[EurekaInstance, ...]
    hashcode: str  # apps__hashcode; empty: not told
    malformed: tuple[str, ...] = ()


def number(value: object) -> int:
    """Raises Odd. Nothing is 0."""
    try:
        made = int(str(value)) if value not in (None, "") else 0
    except ValueError as err:
        raise MalformedResponseError(f"{str(value)[:40]!r} is no number") from err
    if not 0 <= made < 2**63:
        raise MalformedResponseError(f"{made} out of range")
    return made


def port(value: object) -> int:
    if isinstance(value, dict):
        if str(value.get("@enabled", "true")).lower() != "true":
            return 0
        value = value.get("$", 0)
    made = number(value)
    if made > 65535:
        raise MalformedResponseError(f"{made} is no port")
    return made


def text(value: object) -> str:
    if value is None or isinstance(value, dict | list):
        return ""
    return str(value)


def many(value: object) -> list[Any]:
    """A list; one thing that is written without its list; nothing."""
    return value if isinstance(value, list) else [] if value is None else [value]


def read_instance(told: object, app: str = "") -> EurekaInstance:
    """Raises Odd."""
    if not isinstance(told, dict):
        raise MalformedResponseError("an instance that is no object")
    lease = told.get("leaseInfo")
    lease = lease if isinstance(lease, dict) else {}
    metadata = told.get("metadata")
    metadata = metadata if isinstance(metadata, dict) else {}
    host_name = text(told.get("hostName"))
    app = text(told.get("app")) or app
    id = text(told.get("instanceId")) or host_name
    if not id or not app or len(id) > 256:
        raise MalformedResponseError("an instance without id or app")
    status = text(told.get("status")).upper()
    override = told.get("overriddenStatus") or told.get("overriddenstatus")
    overridden = text(override).upper()
    return EurekaInstance(
        id=id,
        app=app.upper(),
        host_name=host_name,
        ip=text(told.get("ipAddr")),
        port=port(told.get("port")),
        secure_port=port(told.get("securePort", {"@enabled": "false"})),
        status=status if status in STATUSES else "UNKNOWN",
        overridden_status=overridden if overridden in STATUSES else "UNKNOWN",
        vip=text(told.get("vipAddress")),
        secure_vip=text(told.get("secureVipAddress")),
        registered_ms=number(lease.get("registrationTimestamp")),
        service_up_ms=number(lease.get("serviceUpTimestamp")),
        last_dirty_ms=number(told.get("lastDirtyTimestamp")),
        action=text(told.get("actionType")).upper(),
        metadata={str(k): text(v) for k, v in metadata.items() if k != "@class"},
    )


def read_applications(tree: object) -> RegistryResponse:
    """`{"applications": {...}}`, or one `{"application": {...}}`. Raises Odd if it is neither."""
    if not isinstance(tree, dict):
        raise MalformedResponseError("no object")
    if "application" in tree and "applications" not in tree:
        applications: Any = {"application": tree["application"]}
    else:
        applications = tree.get("applications")
    if not isinstance(applications, dict):
        raise MalformedResponseError("no applications")
    instances, odd = [], []
    for application in many(applications.get("application")):
        if not isinstance(application, dict):
            odd.append("an application that is no object")
            continue
        for told in many(application.get("instance")):
            try:
                instances.append(read_instance(told, text(application.get("name"))))
            except MalformedResponseError as err:
                name = told.get("instanceId") or told.get("hostName") if isinstance(told, dict) else None
                odd.append(f"{text(name)[:80] or 'an instance'}: {err}")
    return RegistryResponse(tuple(instances), text(applications.get("apps__hashcode")), tuple(odd))


def read_json(body: bytes) -> RegistryResponse:
    """Raises Odd."""
    try:
        return read_applications(msgspec.json.decode(body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise MalformedResponseError(f"no JSON: {err}") from err


def read_xml(body: bytes) -> RegistryResponse:
    """Raises Odd. Entities and documents of other places are refused (defusedxml)."""
    import defusedxml  # only where a registry speaks XML
    from defusedxml.ElementTree import ParseError, fromstring

    try:
        root = fromstring(body, forbid_dtd=True)
    except (ParseError, defusedxml.DefusedXmlException, RecursionError, ValueError) as err:
        raise MalformedResponseError(f"no XML: {type(err).__name__} {err}") from err
    if root.tag not in ("applications", "application"):
        raise MalformedResponseError(f"no applications but {root.tag[:40]!r}")
    apps = [root] if root.tag == "application" else root.findall("application")
    told = {
        "apps__hashcode": root.findtext("apps__hashcode", ""),
        "application": [
            {"name": app.findtext("name", ""), "instance": list(xml_instances(app))} for app in apps
        ],
    }
    return read_applications({"applications": told})


def xml_instances(app: Element) -> Iterator[dict[str, Any]]:
    for element in app.findall("instance"):
        told: dict[str, Any] = {}
        for child in element:
            if child.tag in ("port", "securePort"):
                told[child.tag] = {"$": child.text, "@enabled": child.get("enabled", "true")}
            elif len(child):
                told[child.tag] = {inner.tag: inner.text or "" for inner in child}
            else:
                told[child.tag] = child.text or ""
        yield told
