"""Read a registry's responses, in JSON with its oddities or in XML.

Oddities: one instance is an object, several are a list; `{"$": 8080, "@enabled": "true"}`; numbers and
booleans as text; `instanceId` left out by old clients; a metadata table that names its Java class.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from xml.etree.ElementTree import Element

import msgspec

from apigateway.membership.eureka.model import (
    DeltaAction,
    EurekaInstance,
    InstanceStatus,
    MalformedResponseError,
    RegistryResponse,
)

MAX_PORT = 65535
MAX_NUMBER = 2**63 - 1  # the registry's numbers are Java longs
MAX_ID_LENGTH = 256  # characters of an instance's id
_MAX_SHOWN_NUMBER = 40  # characters of what is no number, in an error
_MAX_SHOWN_TAG = 40  # characters of an unexpected XML element's name, in an error
_MAX_SHOWN_NAME = 80  # characters of a name, in an error

_STATUS_BY_NAME = {status.value: status for status in InstanceStatus}
_ACTION_BY_NAME = {action.value: action for action in DeltaAction}


def read_json(body: bytes) -> RegistryResponse:
    """Read a response in JSON. Raises MalformedResponseError."""
    try:
        return read_applications(msgspec.json.decode(body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise MalformedResponseError(f"no JSON: {err}") from err


def read_xml(body: bytes) -> RegistryResponse:
    """Read a response in XML. Raises MalformedResponseError.

    Entities and external documents are rejected (defusedxml).
    """
    import defusedxml  # only where a registry speaks XML
    from defusedxml.ElementTree import ParseError, fromstring

    try:
        root = fromstring(body, forbid_dtd=True)
    except (ParseError, defusedxml.DefusedXmlException, RecursionError, ValueError) as err:
        raise MalformedResponseError(f"no XML: {type(err).__name__} {err}") from err
    if root.tag not in ("applications", "application"):
        raise MalformedResponseError(f"no applications but {root.tag[:_MAX_SHOWN_TAG]!r}")
    apps = [root] if root.tag == "application" else root.findall("application")
    applications = {
        "apps__hashcode": root.findtext("apps__hashcode", ""),
        "application": [
            {"name": app.findtext("name", ""), "instance": list(_xml_instances(app))} for app in apps
        ],
    }
    return read_applications({"applications": applications})


def read_applications(tree: object) -> RegistryResponse:
    """Read `{"applications": {...}}`, or one `{"application": {...}}`.

    An instance that cannot be read is left out.

    Raises:
        MalformedResponseError: the tree is neither.
    """
    applications = _find_applications(tree)
    instances: list[EurekaInstance] = []
    malformed: list[str] = []
    for application in _as_list(applications.get("application")):
        if not isinstance(application, dict):
            malformed.append("an application that is no object")
            continue
        for tree_of_instance in _as_list(application.get("instance")):
            try:
                instances.append(read_instance(tree_of_instance, _to_text(application.get("name"))))
            except MalformedResponseError as err:
                malformed.append(f"{_shown_name(tree_of_instance)}: {err}")
    return RegistryResponse(tuple(instances), _to_text(applications.get("apps__hashcode")), tuple(malformed))


def read_instance(tree: object, app: str = "") -> EurekaInstance:
    """Read one instance; `app` is the name of the application that lists it.

    Raises:
        MalformedResponseError: it cannot be read.
    """
    if not isinstance(tree, dict):
        raise MalformedResponseError("an instance that is no object")
    lease = _as_dict(tree.get("leaseInfo"))
    metadata = _as_dict(tree.get("metadata"))
    host_name = _to_text(tree.get("hostName"))
    app = _to_text(tree.get("app")) or app
    instance_id = _to_text(tree.get("instanceId")) or host_name
    if not instance_id or not app or len(instance_id) > MAX_ID_LENGTH:
        raise MalformedResponseError("an instance without id or app")
    return EurekaInstance(
        id=instance_id,
        app=app.upper(),
        host_name=host_name,
        ip=_to_text(tree.get("ipAddr")),
        port=_to_port(tree.get("port")),
        secure_port=_to_port(tree.get("securePort", {"@enabled": "false"})),
        status=_to_status(tree.get("status")),
        overridden_status=_to_status(tree.get("overriddenStatus") or tree.get("overriddenstatus")),
        vip=_to_text(tree.get("vipAddress")),
        secure_vip=_to_text(tree.get("secureVipAddress")),
        registered_ms=_to_number(lease.get("registrationTimestamp")),
        service_up_ms=_to_number(lease.get("serviceUpTimestamp")),
        last_dirty_ms=_to_number(tree.get("lastDirtyTimestamp")),
        action=_ACTION_BY_NAME.get(_to_text(tree.get("actionType")).upper(), DeltaAction.NONE),
        metadata={str(key): _to_text(value) for key, value in metadata.items() if key != "@class"},
    )


def _find_applications(tree: object) -> dict[str, Any]:
    if not isinstance(tree, dict):
        raise MalformedResponseError("no object")
    if "application" in tree and "applications" not in tree:
        return {"application": tree["application"]}
    applications = tree.get("applications")
    if not isinstance(applications, dict):
        raise MalformedResponseError("no applications")
    return applications


def _shown_name(tree: object) -> str:
    name = tree.get("instanceId") or tree.get("hostName") if isinstance(tree, dict) else None
    return _to_text(name)[:_MAX_SHOWN_NAME] or "an instance"


def _xml_instances(app: Element) -> Iterator[dict[str, Any]]:
    """Yield an application's instances in the form of the JSON."""
    for element in app.findall("instance"):
        tree: dict[str, Any] = {}
        for child in element:
            if child.tag in ("port", "securePort"):
                tree[child.tag] = {"$": child.text, "@enabled": child.get("enabled", "true")}
            elif len(child):
                tree[child.tag] = {inner.tag: inner.text or "" for inner in child}
            else:
                tree[child.tag] = child.text or ""
        yield tree


def _to_number(value: object) -> int:
    """Convert a number that may be text; nothing is 0. Raises MalformedResponseError."""
    try:
        number = int(str(value)) if value not in (None, "") else 0
    except ValueError as err:
        raise MalformedResponseError(f"{str(value)[:_MAX_SHOWN_NUMBER]!r} is no number") from err
    if not 0 <= number <= MAX_NUMBER:
        raise MalformedResponseError(f"{number} out of range")
    return number


def _to_port(value: object) -> int:
    """Convert a port in any of its forms; 0 for one that is not enabled. Raises MalformedResponseError."""
    if isinstance(value, dict):
        if str(value.get("@enabled", "true")).lower() != "true":
            return 0
        value = value.get("$", 0)
    port = _to_number(value)
    if port > MAX_PORT:
        raise MalformedResponseError(f"{port} is no port")
    return port


def _to_status(value: object) -> InstanceStatus:
    return _STATUS_BY_NAME.get(_to_text(value).upper(), InstanceStatus.UNKNOWN)


def _to_text(value: object) -> str:
    if value is None or isinstance(value, dict | list):
        return ""
    return str(value)


def _as_dict(value: object) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _as_list(value: object) -> list[Any]:
    """Return a list, or one thing that is written without its list; nothing is the empty list."""
    if isinstance(value, list):
        return value
    return [] if value is None else [value]
