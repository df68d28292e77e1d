"""Parse a registry's responses in JSON or XML.

The JSON is irregular: a single instance is an object, several are a list; ports are written as
`{"$": 8080, "@enabled": "true"}`; numbers and booleans may be strings; old clients omit `instanceId`; the
metadata object contains the name of its Java class.
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
MAX_ID_CHARACTERS = 256

# Bounds on the parts of a response that are quoted in an error message
_MAX_SHOWN_NUMBER_CHARACTERS = 40
_MAX_SHOWN_TAG_CHARACTERS = 40
_MAX_SHOWN_NAME_CHARACTERS = 80

_STATUS_BY_NAME = {status.value: status for status in InstanceStatus}
_ACTION_BY_NAME = {action.value: action for action in DeltaAction}


def parse_json(body: bytes) -> RegistryResponse:
    """Parse a response in JSON. Raises MalformedResponseError."""
    try:
        return parse_applications(msgspec.json.decode(body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as err:
        raise MalformedResponseError(f"invalid JSON: {err}") from err


def parse_xml(body: bytes) -> RegistryResponse:
    """Parse a response in XML. Raises MalformedResponseError.

    defusedxml rejects entities and external documents.
    """
    import defusedxml  # loaded only if a registry uses XML
    from defusedxml.ElementTree import ParseError, fromstring

    try:
        root = fromstring(body, forbid_dtd=True)
    except (ParseError, defusedxml.DefusedXmlException, RecursionError, ValueError) as err:
        raise MalformedResponseError(f"invalid XML: {type(err).__name__} {err}") from err
    if root.tag not in ("applications", "application"):
        raise MalformedResponseError(f"expected applications, got {root.tag[:_MAX_SHOWN_TAG_CHARACTERS]!r}")
    apps = [root] if root.tag == "application" else root.findall("application")
    applications = {
        "apps__hashcode": root.findtext("apps__hashcode", ""),
        "application": [
            {"name": app.findtext("name", ""), "instance": list(_iterate_xml_instances(app))} for app in apps
        ],
    }
    return parse_applications({"applications": applications})


def parse_applications(tree: object) -> RegistryResponse:
    """Parse a decoded response: `{"applications": {...}}` or `{"application": {...}}`.

    Instances that cannot be read are skipped.

    Raises:
        MalformedResponseError: the response has neither form.
    """
    applications = _find_applications(tree)
    instances: list[EurekaInstance] = []
    malformed: list[str] = []
    for application in _as_list(applications.get("application")):
        if not isinstance(application, dict):
            malformed.append("an application that is not an object")
            continue
        for instance_tree in _as_list(application.get("instance")):
            try:
                instances.append(parse_instance(instance_tree, _to_text(application.get("name"))))
            except MalformedResponseError as err:
                malformed.append(f"{_name_for_error(instance_tree)}: {err}")
    return RegistryResponse(tuple(instances), _to_text(applications.get("apps__hashcode")), tuple(malformed))


def parse_instance(tree: object, app: str = "") -> EurekaInstance:
    """Parse one instance; `app` is the name of the application that lists it.

    Raises:
        MalformedResponseError: the instance cannot be read.
    """
    if not isinstance(tree, dict):
        raise MalformedResponseError("an instance that is not an object")
    lease = _as_dict(tree.get("leaseInfo"))
    metadata = _as_dict(tree.get("metadata"))
    host_name = _to_text(tree.get("hostName"))
    app = _to_text(tree.get("app")) or app
    instance_id = _to_text(tree.get("instanceId")) or host_name
    if not instance_id or not app or len(instance_id) > MAX_ID_CHARACTERS:
        raise MalformedResponseError("an instance without a valid id or app")
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
        raise MalformedResponseError("not an object")
    if "application" in tree and "applications" not in tree:
        return {"application": tree["application"]}
    applications = tree.get("applications")
    if not isinstance(applications, dict):
        raise MalformedResponseError("no applications")
    return applications


def _name_for_error(tree: object) -> str:
    name = tree.get("instanceId") or tree.get("hostName") if isinstance(tree, dict) else None
    return _to_text(name)[:_MAX_SHOWN_NAME_CHARACTERS] or "an instance"


def _iterate_xml_instances(app: Element) -> Iterator[dict[str, Any]]:
    """Yield an application's instances in the form that they have in JSON."""
    for element in app.findall("instance"):
        tree: dict[str, Any] = {}
        for child in element:
            if child.tag in ("port", "securePort"):
                tree[child.tag] = {"$": child.text, "@enabled": child.get("enabled", "true")}
            elif len(child):
                tree[child.tag] = {grandchild.tag: grandchild.text or "" for grandchild in child}
            else:
                tree[child.tag] = child.text or ""
        yield tree


def _to_number(value: object) -> int:
    """Convert a number or a string; a missing value is 0. Raises MalformedResponseError."""
    try:
        number = int(str(value)) if value not in (None, "") else 0
    except ValueError as err:
        raise MalformedResponseError(
            f"{str(value)[:_MAX_SHOWN_NUMBER_CHARACTERS]!r} is not a number"
        ) from err
    if not 0 <= number <= MAX_NUMBER:
        raise MalformedResponseError(f"{number} is out of range")
    return number


def _to_port(value: object) -> int:
    """Convert a port in any of its forms; 0 if it is not enabled. Raises MalformedResponseError."""
    if isinstance(value, dict):
        if str(value.get("@enabled", "true")).lower() != "true":
            return 0
        value = value.get("$", 0)
    port = _to_number(value)
    if port > MAX_PORT:
        raise MalformedResponseError(f"{port} is not a port")
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
    """Return a list as it is, a single value as a list of one, and None as an empty list."""
    if isinstance(value, list):
        return value
    return [] if value is None else [value]
