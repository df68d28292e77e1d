"""Eureka's representations of an instance: as a client registers it, and as XML, with the quirks of both."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any
from xml.sax.saxutils import escape

JsonObject = dict[str, Any]  # an instance or a tree of applications, as in JSON
PORT_KEYS = ("port", "securePort")


def instance(
    id: str,
    port: int,
    app: str = "ROSTER",
    status: str = "UP",
    duration_s: int = 90,
    ip: str = "127.0.0.1",
    **metadata: str,
) -> JsonObject:
    """Return an instance as a client would register it, with the quirks of its JSON form."""
    stamp = str(int(time.time() * 1000))
    return {
        "instanceId": id,
        "hostName": f"{id}.rota.example.org",
        "app": app,
        "ipAddr": ip,
        "status": status,
        "overriddenstatus": "UNKNOWN",
        "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
            "name": "MyOwn",
        },
        "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": duration_s},
        "metadata": metadata or {"@class": "java.util.Collections$EmptyMap"},
        "vipAddress": app.lower(),
        "secureVipAddress": app.lower(),
        "isCoordinatingDiscoveryServer": "false",
        "lastUpdatedTimestamp": stamp,
        "lastDirtyTimestamp": stamp,
    }


def instance_id(instance_data: JsonObject) -> str:
    """Return an instance's id, or its host name if it has no id."""
    return str(instance_data.get("instanceId") or instance_data.get("hostName"))


def to_xml(tree: JsonObject) -> str:
    """Return a tree of applications as XML."""
    applications = tree["applications"]
    parts = [
        "<applications><versions__delta>1</versions__delta>"
        f"<apps__hashcode>{applications['apps__hashcode']}</apps__hashcode>"
    ]
    for app in applications["application"]:
        instances = app["instance"] if isinstance(app["instance"], list) else [app["instance"]]
        inner = "".join(
            f"<instance>{''.join(_elements(instance_data))}</instance>" for instance_data in instances
        )
        parts.append(f"<application><name>{escape(app['name'])}</name>{inner}</application>")
    return "".join(parts) + "</applications>"


def _elements(instance_data: JsonObject) -> Iterator[str]:
    """Yield the elements of an instance."""
    for name, value in instance_data.items():
        if name in PORT_KEYS and isinstance(value, dict):
            yield f'<{name} enabled="{value["@enabled"]}">{value["$"]}</{name}>'
        elif isinstance(value, dict):
            inner = "".join(
                f"<{key}>{escape(str(item))}</{key}>"
                for key, item in value.items()
                if not key.startswith("@")
            )
            attribute = f' class="{escape(str(value["@class"]))}"' if "@class" in value else ""
            yield f"<{name}{attribute}>{inner}</{name}>"
        else:
            yield f"<{name}>{escape(str(value))}</{name}>"
