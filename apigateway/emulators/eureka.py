"""A stand-in Eureka registry after Netflix's REST operations: registrations, leases, overrides, deltas, two
replicas with lag, JSON and XML. It can be scripted to be silent, fail, lie, cut its answers and come back
empty."""

from __future__ import annotations

import asyncio
import base64
import gzip
import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Self
from xml.sax.saxutils import escape

from aiohttp import web

from apigateway.emulators.ledger import Ledger
from apigateway.emulators.script import Script

Told = dict[str, Any]
PORT_KEYS = ("port", "securePort")


class Lease:
    """One instance and when it is to be renewed."""

    def __init__(self, told: Told, now: float) -> None:
        lease = told.get("leaseInfo") or {}
        self.told, self.duration = told, float(lease.get("durationInSecs", 90))
        self.registered, self.renewed, self.up_at = now, now, 0.0
        self.override = ""

    @property
    def status(self) -> str:
        return self.override or str(self.told.get("status", "UNKNOWN"))


class StandInEureka:
    """`base` is its path. Leases that are not renewed in time are dropped at each request (`expire`), unless
    `protect` (self-preservation) is on. Deltas go back `retention` seconds.

    Script, for each read: silent; error (500); half (a cut answer); spoilt (no JSON); stall; slow is stall.
    Lies: `hashcode` (told in place of the right one), `lost` (deltas that are told empty), `endless` (bytes
    of an answer without end), `clock` (s that its clock is ahead)."""

    def __init__(
        self,
        base: str = "/eureka/v2",
        script: Script | None = None,
        retention: float = 180.0,
        protect: bool = False,
        lag: float = 0.0,
        gateway: str = "",
        ledger: Ledger | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.base, self.script, self.retention = base, script or Script(), retention
        self.protect, self.lag = protect, lag
        self.gateway, self.ledger, self.real = gateway, ledger, clock
        self.leases: dict[tuple[str, str], Lease] = {}
        self.log: list[tuple[float, str, Told]] = []  # what changed when, for deltas
        self.peer: StandInEureka | None = None  # it hears of changes here after `lag`
        self.hashcode: str | None = None
        self.lost, self.endless, self.clock_off = 0, 0, 0.0
        self.raw: bytes | None = None  # told in place of any read
        self.etags = self.deltas = True
        self.auth: str | None = None  # value of Authorization that is wanted
        self.calls: Counter[str] = Counter()  # by method and kind of path
        self.asked: asyncio.Queue[str] = asyncio.Queue()
        self.ending = asyncio.Event()
        self.port = 0

    def now(self) -> float:
        return self.real() + self.clock_off

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}{self.base}"

    # What it holds

    def register(self, told: Told, replicated: bool = False) -> None:
        key = (str(told["app"]).upper(), str(told.get("instanceId") or told.get("hostName")))
        old, lease = self.leases.get(key), Lease(told, self.now())
        if old is not None:
            lease.override, lease.up_at = old.override, old.up_at
        if lease.status == "UP" and (old is None or old.status != "UP"):
            lease.up_at = self.now()
        self.leases[key] = lease
        self.note("ADDED" if old is None else "MODIFIED", key)
        self.replicate(replicated, "register", told)

    def long_ago(self, app: str, id: str) -> None:
        """This instance has been there for long: it is not cold."""
        lease = self.leases[app.upper(), id]
        lease.registered = lease.up_at = 0.0

    def renew(self, app: str, id: str, replicated: bool = False) -> bool:
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        lease.renewed = self.now()
        self.replicate(replicated, "renew", app, id)
        return True

    def cancel(self, app: str, id: str, replicated: bool = False) -> bool:
        key = (app.upper(), id)
        if key not in self.leases:
            return False
        self.note("DELETED", key)
        del self.leases[key]
        self.replicate(replicated, "cancel", app, id)
        return True

    def override(self, app: str, id: str, status: str, replicated: bool = False) -> bool:
        """`status` empty: the override is taken off."""
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        was, lease.override = lease.status, status
        if lease.status == "UP" and was != "UP":
            lease.up_at = self.now()
        self.note("MODIFIED", (app.upper(), id))
        self.replicate(replicated, "override", app, id, status)
        return True

    def restart(self) -> None:
        """Empty: it has forgotten all leases and deltas."""
        self.leases, self.log = {}, []

    def expire(self) -> None:
        now = self.now()
        for key in [key for key, lease in self.leases.items() if now - lease.renewed > lease.duration]:
            if not self.protect:
                self.note("DELETED", key)
                del self.leases[key]

    def note(self, action: str, key: tuple[str, str]) -> None:
        self.log.append((self.now(), action, self.written(key, action)))

    def replicate(self, replicated: bool, what: str, *told: Any) -> None:
        if self.peer is not None and not replicated:
            asyncio.get_running_loop().call_later(
                self.lag, lambda: getattr(self.peer, what)(*told, replicated=True)
            )

    # As it is written

    def written(self, key: tuple[str, str], action: str = "") -> Told:
        lease = self.leases[key]
        told = {
            **lease.told,
            "app": key[0],
            "status": lease.status,
            "overriddenstatus": lease.override or "UNKNOWN",
            "leaseInfo": {
                "renewalIntervalInSecs": 30,
                "durationInSecs": int(lease.duration),
                "registrationTimestamp": int(lease.registered * 1000),
                "lastRenewalTimestamp": int(lease.renewed * 1000),
                "evictionTimestamp": 0,
                "serviceUpTimestamp": int(lease.up_at * 1000),
            },
        }
        return {**told, "actionType": action} if action else told

    def hash(self) -> str:
        if self.hashcode is not None:
            return self.hashcode
        counts = Counter(lease.status for lease in self.leases.values())
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def applications(self, instances: list[Told]) -> Told:
        """Oddity: one instance of an app is an object, several are a list."""
        apps: dict[str, list[Told]] = {}
        for told in instances:
            apps.setdefault(str(told["app"]), []).append(told)
        return {
            "applications": {
                "versions__delta": "1",
                "apps__hashcode": self.hash(),
                "application": [
                    {"name": name, "instance": told[0] if len(told) == 1 else told}
                    for name, told in apps.items()
                ],
            }
        }

    def whole(self, wanted: Callable[[Told], bool] = lambda _: True) -> list[Told]:
        return [told for key in self.leases if wanted(told := self.written(key))]

    def delta(self) -> list[Told]:
        since, latest = self.now() - self.retention, dict[tuple[str, str], Told]()
        for at, action, told in self.log:
            if at >= since:
                key = (str(told["app"]), str(told.get("instanceId") or told.get("hostName")))
                now = self.written(key, action) if key in self.leases and action != "DELETED" else told
                latest[key] = {**now, "actionType": action}
        return list(latest.values())

    # Reads

    async def read(self, request: web.Request) -> web.StreamResponse:
        path = request.match_info["path"].strip("/")
        kind = "delta" if path == "apps/delta" else path.split("/")[0]
        self.calls[f"GET {kind}"] += 1
        self.asked.put_nowait(kind)
        if self.auth is not None and request.headers.get("Authorization") != self.auth:
            return web.Response(status=401)
        self.expire()
        step = self.script.next(time.monotonic())
        if step.kind == "silent":
            await self.ending.wait()
            return web.Response(status=503)
        if step.kind == "error":
            return web.Response(status=500)
        if step.kind in ("stall", "slow"):
            await asyncio.sleep(step.delay)
        if self.endless:
            return await self.without_end(request)
        if kind == "delta" and not self.deltas:
            return web.Response(status=404)
        instances = self.instances(path)
        if instances is None:
            return web.Response(status=404)
        if kind == "delta" and self.lost:
            self.lost -= 1
            instances = []
        tree = self.applications(instances)
        xml = "json" not in request.headers.get("Accept", "")  # XML is a registry's own choice
        body = self.xml(tree).encode() if xml else json.dumps(tree).encode()
        if self.raw is not None:
            body = self.raw
        if step.kind == "spoilt":
            body = b"{what"
        if step.kind not in ("half", "spoilt") and self.raw is None:  # else nothing was told whole
            self.tell_ledger(instances, asked_by(request) or self.gateway)
        return await self.send(request, body, xml, kind, step.kind == "half")

    async def send(
        self, request: web.Request, body: bytes, xml: bool, kind: str, half: bool
    ) -> web.StreamResponse:
        headers = {"Content-Type": "application/xml" if xml else "application/json"}
        if self.etags and kind != "delta":
            headers["ETag"] = f'"{hash(body) & 0xFFFFFFFF:x}"'
            if request.headers.get("If-None-Match") == headers["ETag"]:
                return web.Response(status=304)
        if half:
            answer = web.StreamResponse(headers=headers | {"Content-Length": str(len(body))})
            await answer.prepare(request)
            await answer.write(body[: len(body) // 2])
            if request.transport is not None:
                request.transport.abort()
            return answer
        if "gzip" in request.headers.get("Accept-Encoding", ""):
            body, headers["Content-Encoding"] = gzip.compress(body, 1), "gzip"
        return web.Response(body=body, headers=headers)

    async def without_end(self, request: web.Request) -> web.StreamResponse:
        answer = web.StreamResponse(headers={"Content-Type": "application/json"})
        await answer.prepare(request)
        left = self.endless
        while left > 0:
            await answer.write(b"[" * 65536)
            left -= 65536
        return answer

    def instances(self, path: str) -> list[Told] | None:
        """What a path names; None: nothing known by it."""
        if path == "apps":
            return self.whole()
        if path == "apps/delta":
            return self.delta()
        kind, _, name = path.partition("/")
        if kind == "apps":
            found = self.whole(lambda told: str(told["app"]) == name.upper())
        else:
            key = {"vips": "vipAddress", "svips": "secureVipAddress"}[kind]
            found = self.whole(lambda told: name in str(told.get(key, "")).split(","))
        return found or None

    def tell_ledger(self, instances: list[Told], gateway: str) -> None:
        """What a gateway was told by name, for the drain rule."""
        if self.ledger is not None:
            for told in instances:
                state = "up" if told["status"] == "UP" and told.get("actionType") != "DELETED" else "draining"
                self.ledger.told(gateway, str(told.get("instanceId") or told.get("hostName")), state)

    def xml(self, tree: Told) -> str:
        applications = tree["applications"]
        parts = [
            "<applications><versions__delta>1</versions__delta>"
            f"<apps__hashcode>{applications['apps__hashcode']}</apps__hashcode>"
        ]
        for app in applications["application"]:
            told = app["instance"] if isinstance(app["instance"], list) else [app["instance"]]
            inner = "".join(f"<instance>{''.join(self.elements(one))}</instance>" for one in told)
            parts.append(f"<application><name>{escape(app['name'])}</name>{inner}</application>")
        return "".join(parts) + "</applications>"

    def elements(self, told: Told) -> Iterator[str]:
        for name, value in told.items():
            if name in PORT_KEYS and isinstance(value, dict):
                yield f'<{name} enabled="{value["@enabled"]}">{value["$"]}</{name}>'
            elif isinstance(value, dict):
                inner = "".join(
                    f"<{k}>{escape(str(v))}</{k}>" for k, v in value.items() if not k.startswith("@")
                )
                kind = f' class="{escape(str(value["@class"]))}"' if "@class" in value else ""
                yield f"<{name}{kind}>{inner}</{name}>"
            else:
                yield f"<{name}>{escape(str(value))}</{name}>"

    # Writes

    async def write(self, request: web.Request) -> web.Response:
        """POST apps/APP; PUT apps/APP/ID; DELETE apps/APP/ID; PUT and DELETE apps/APP/ID/status."""
        parts = request.match_info["path"].strip("/").split("/")
        self.calls[f"{request.method} {parts[0]}{' status' if parts[-1] == 'status' else ''}"] += 1
        if self.auth is not None and request.headers.get("Authorization") != self.auth:
            return web.Response(status=401)
        if self.script.next(time.monotonic()).kind == "error":
            return web.Response(status=500)
        self.expire()
        if request.method == "POST" and len(parts) == 2:
            told = json.loads(await request.read())["instance"]
            self.register({**told, "app": parts[1]})
            return web.Response(status=204)
        if len(parts) < 3:
            return web.Response(status=400)
        app, id = parts[1], parts[2]
        if len(parts) == 4 and parts[3] == "status":
            value = request.query.get("value", "UNKNOWN") if request.method == "PUT" else ""
            return web.Response(status=200 if self.override(app, id, value) else 404)
        done = self.renew(app, id) if request.method == "PUT" else self.cancel(app, id)
        return web.Response(status=200 if done else 404)

    async def __aenter__(self) -> Self:
        app = web.Application()
        app.router.add_get(self.base + "/{path:.*}", self.read)
        for method in ("POST", "PUT", "DELETE"):
            app.router.add_route(method, self.base + "/{path:.*}", self.write)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port).start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.ending.set()
        await self.runner.cleanup()


def asked_by(request: web.Request) -> str:
    """The user of basic credentials, by which one registry tells several gateways apart."""
    try:
        told = request.headers["Authorization"].removeprefix("Basic ")
        return base64.b64decode(told).decode().split(":")[0]
    except (KeyError, ValueError):
        return ""


def instance(
    id: str,
    port: int,
    app: str = "ROSTER",
    status: str = "UP",
    duration: int = 90,
    ip: str = "127.0.0.1",
    **metadata: str,
) -> Told:
    """An instance as a client would register it, oddities included."""
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
        "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": duration},
        "metadata": metadata or {"@class": "java.util.Collections$EmptyMap"},
        "vipAddress": app.lower(),
        "secureVipAddress": app.lower(),
        "isCoordinatingDiscoveryServer": "false",
        "lastUpdatedTimestamp": stamp,
        "lastDirtyTimestamp": stamp,
    }
