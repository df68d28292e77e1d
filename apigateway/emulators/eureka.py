"""An emulated Eureka registry with Netflix's REST operations.

It has registrations, leases, overrides, deltas, two replicas with a replication lag, JSON and XML. A test can
make it silent, failing, wrong, truncating its answers, or empty after a restart.
"""

from __future__ import annotations

import asyncio
import base64
import gzip
import json
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Self

from aiohttp import web

from apigateway.emulators.eureka_format import JsonObject, instance, instance_id, to_xml
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.script import Script, Step, StepKind

__all__ = ["Lease", "EmulatedEureka", "JsonObject", "instance"]

DEFAULT_LEASE_S = 90
CHUNK_BYTES = 65536  # per write of an endless answer


class Lease:
    """A registered instance and its lease."""

    def __init__(self, instance: JsonObject, now: float) -> None:
        lease = instance.get("leaseInfo") or {}
        self.instance = instance
        self.duration_s = float(lease.get("durationInSecs", DEFAULT_LEASE_S))
        self.registered_at = now
        self.renewed_at = now
        self.up_at = 0.0
        self.override = ""

    @property
    def status(self) -> str:
        """The status that callers see."""
        return self.override or str(self.instance.get("status", "UNKNOWN"))


class EmulatedEureka:
    """A registry that drops expired leases at each request.

    The script's steps act on reads: SILENT, ERROR (status 500), TRUNCATED, MALFORMED (invalid JSON), STALL,
    and SLOW, which acts as STALL.

    Attributes:
        base_path: The path of the REST API.
        delta_retention_s: How far back deltas go.
        self_preservation: Whether expired leases are kept (Eureka's self-preservation mode).
        replication_lag_s: The time until changes reach `peer`, if there is one.
        changes: The time, action and instance of each change, for deltas.
        hashcode: If not None, sent in place of the right hash code.
        empty_deltas: The number of deltas still to be sent empty.
        endless_bytes: If positive, reads get an answer of this size that is never complete.
        clock_offset_s: How far its clock is ahead.
        raw_body: If not None, the body of every answer to a read.
        expected_authorization: The required value of the Authorization header; None means no check.
        call_counts: The number of calls by method and kind of path.
        reads: The kind of path of each read, as it arrives.
    """

    def __init__(
        self,
        base_path: str = "/eureka/v2",
        script: Script | None = None,
        delta_retention_s: float = 180.0,
        self_preservation: bool = False,
        replication_lag_s: float = 0.0,
        gateway: str = "",
        ledger: Ledger | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.base_path = base_path
        self.script = script or Script()
        self.delta_retention_s = delta_retention_s
        self.self_preservation = self_preservation
        self.replication_lag_s = replication_lag_s
        self.gateway = gateway
        self.ledger = ledger
        self._clock = clock
        self.leases: dict[tuple[str, str], Lease] = {}
        self.changes: list[tuple[float, str, JsonObject]] = []
        self.peer: EmulatedEureka | None = None
        self.hashcode: str | None = None
        self.empty_deltas = 0
        self.endless_bytes = 0
        self.clock_offset_s = 0.0
        self.raw_body: bytes | None = None
        self.sends_etags = True
        self.serves_deltas = True
        self.expected_authorization: str | None = None
        self.call_counts: Counter[str] = Counter()
        self.reads: asyncio.Queue[str] = asyncio.Queue()
        self.closing = asyncio.Event()
        self.port = 0

    def now(self) -> float:
        """Return the time of its own clock."""
        return self._clock() + self.clock_offset_s

    @property
    def url(self) -> str:
        """The service URL for clients."""
        return f"http://127.0.0.1:{self.port}{self.base_path}"

    # Registrations

    def register(self, instance_data: JsonObject, replicated: bool = False) -> None:
        """Register an instance, or replace its registration."""
        key = (str(instance_data["app"]).upper(), instance_id(instance_data))
        old = self.leases.get(key)
        lease = Lease(instance_data, self.now())
        if old is not None:
            lease.override = old.override
            lease.up_at = old.up_at
        if lease.status == "UP" and (old is None or old.status != "UP"):
            lease.up_at = self.now()
        self.leases[key] = lease
        self.record_change("ADDED" if old is None else "MODIFIED", key)
        self.replicate(replicated, "register", instance_data)

    def mark_warm(self, app: str, id: str) -> None:
        """Move an instance's registration far into the past, so that gateways do not treat it as cold."""
        lease = self.leases[app.upper(), id]
        lease.registered_at = 0.0
        lease.up_at = 0.0

    def renew(self, app: str, id: str, replicated: bool = False) -> bool:
        """Renew a lease; return False if there is none."""
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        lease.renewed_at = self.now()
        self.replicate(replicated, "renew", app, id)
        return True

    def cancel(self, app: str, id: str, replicated: bool = False) -> bool:
        """End a lease; return False if there is none."""
        key = (app.upper(), id)
        if key not in self.leases:
            return False
        self.record_change("DELETED", key)
        del self.leases[key]
        self.replicate(replicated, "cancel", app, id)
        return True

    def override(self, app: str, id: str, status: str, replicated: bool = False) -> bool:
        """Set the override of a status, or remove it if empty; return False if there is no lease."""
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        before = lease.status
        lease.override = status
        if lease.status == "UP" and before != "UP":
            lease.up_at = self.now()
        self.record_change("MODIFIED", (app.upper(), id))
        self.replicate(replicated, "override", app, id, status)
        return True

    def restart(self) -> None:
        """Forget all leases and deltas."""
        self.leases = {}
        self.changes = []

    def expire(self) -> None:
        """Drop the leases that were not renewed in time."""
        now = self.now()
        for key in [key for key, lease in self.leases.items() if now - lease.renewed_at > lease.duration_s]:
            if not self.self_preservation:
                self.record_change("DELETED", key)
                del self.leases[key]

    def record_change(self, action: str, key: tuple[str, str]) -> None:
        """Record a change, for deltas."""
        self.changes.append((self.now(), action, self.render_instance(key, action)))

    def replicate(self, replicated: bool, operation: str, *arguments: Any) -> None:
        """Repeat an operation at the peer after the lag, unless it was itself a replication."""
        if self.peer is not None and not replicated:
            asyncio.get_running_loop().call_later(
                self.replication_lag_s, lambda: getattr(self.peer, operation)(*arguments, replicated=True)
            )

    # Representations

    def render_instance(self, key: tuple[str, str], action: str = "") -> JsonObject:
        """Return an instance as callers see it."""
        lease = self.leases[key]
        instance_data = {
            **lease.instance,
            "app": key[0],
            "status": lease.status,
            "overriddenstatus": lease.override or "UNKNOWN",
            "leaseInfo": {
                "renewalIntervalInSecs": 30,
                "durationInSecs": int(lease.duration_s),
                "registrationTimestamp": int(lease.registered_at * 1000),
                "lastRenewalTimestamp": int(lease.renewed_at * 1000),
                "evictionTimestamp": 0,
                "serviceUpTimestamp": int(lease.up_at * 1000),
            },
        }
        return {**instance_data, "actionType": action} if action else instance_data

    def status_hash(self) -> str:
        """Return the hash code of all statuses, with which clients check their deltas."""
        if self.hashcode is not None:
            return self.hashcode
        counts = Counter(lease.status for lease in self.leases.values())
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def applications(self, instances: list[JsonObject]) -> JsonObject:
        """Return instances by application. As in Eureka, a single one is an object and several are a list."""
        apps: dict[str, list[JsonObject]] = {}
        for instance_data in instances:
            apps.setdefault(str(instance_data["app"]), []).append(instance_data)
        return {
            "applications": {
                "versions__delta": "1",
                "apps__hashcode": self.status_hash(),
                "application": [
                    {"name": name, "instance": members[0] if len(members) == 1 else members}
                    for name, members in apps.items()
                ],
            }
        }

    def select_instances(self, wanted: Callable[[JsonObject], bool] = lambda _: True) -> list[JsonObject]:
        """Return all instances for which `wanted` is true."""
        return [instance_data for key in self.leases if wanted(instance_data := self.render_instance(key))]

    def delta(self) -> list[JsonObject]:
        """Return the instances that changed within the retention time, each once."""
        since = self.now() - self.delta_retention_s
        latest: dict[tuple[str, str], JsonObject] = {}
        for at, action, instance_data in self.changes:
            if at >= since:
                key = (str(instance_data["app"]), instance_id(instance_data))
                latest_data = (
                    self.render_instance(key, action)
                    if key in self.leases and action != "DELETED"
                    else instance_data
                )
                latest[key] = {**latest_data, "actionType": action}
        return list(latest.values())

    # Reads

    async def handle_read(self, request: web.Request) -> web.StreamResponse:
        """Answer a read as the script's step says."""
        path = request.match_info["path"].strip("/")
        kind = "delta" if path == "apps/delta" else path.split("/")[0]
        self.call_counts[f"GET {kind}"] += 1
        self.reads.put_nowait(kind)
        if not self._is_authorized(request):
            return web.Response(status=401)
        self.expire()
        step = self.script.next(time.monotonic())
        failure = await self._fail_or_wait(step)
        if failure is not None:
            return failure
        if self.endless_bytes:
            return await self.send_endless(request)
        instances = self._select(kind, path)
        if instances is None:
            return web.Response(status=404)
        as_xml = "json" not in request.headers.get("Accept", "")  # a registry sends XML by default
        body = self._body(instances, as_xml, step)
        is_complete = step.kind not in (StepKind.TRUNCATED, StepKind.MALFORMED) and self.raw_body is None
        if is_complete:
            self.record_in_ledger(instances, basic_auth_user(request) or self.gateway)
        return await self.send(request, body, as_xml, kind, step.kind == StepKind.TRUNCATED)

    def _is_authorized(self, request: web.Request) -> bool:
        return (
            self.expected_authorization is None
            or request.headers.get("Authorization") == self.expected_authorization
        )

    async def _fail_or_wait(self, step: Step) -> web.Response | None:
        """Return the response of a read that fails; otherwise wait as the step says, and return None."""
        match step.kind:
            case StepKind.SILENT:
                await self.closing.wait()
                return web.Response(status=503)
            case StepKind.ERROR:
                return web.Response(status=500)
            case StepKind.STALL | StepKind.SLOW:
                await asyncio.sleep(step.delay_s)
        return None

    def _select(self, kind: str, path: str) -> list[JsonObject] | None:
        """Return the instances for a read, or None if the path is not found."""
        if kind != "delta":
            return self.instances(path)
        if not self.serves_deltas:
            return None
        if self.empty_deltas:
            self.empty_deltas -= 1
            return []
        return self.delta()

    def _body(self, instances: list[JsonObject], as_xml: bool, step: Step) -> bytes:
        if step.kind == StepKind.MALFORMED:
            return b"{what"
        if self.raw_body is not None:
            return self.raw_body
        tree = self.applications(instances)
        return self.xml(tree).encode() if as_xml else json.dumps(tree).encode()

    def xml(self, tree: JsonObject) -> str:
        """Return a tree of applications as XML."""
        return to_xml(tree)

    async def send(
        self, request: web.Request, body: bytes, as_xml: bool, kind: str, truncated: bool
    ) -> web.StreamResponse:
        """Send an answer, or only half of it if `truncated`."""
        headers = {"Content-Type": "application/xml" if as_xml else "application/json"}
        if self.sends_etags and kind != "delta":
            headers["ETag"] = f'"{hash(body) & 0xFFFFFFFF:x}"'
            if request.headers.get("If-None-Match") == headers["ETag"]:
                return web.Response(status=304)
        if truncated:
            answer = web.StreamResponse(headers=headers | {"Content-Length": str(len(body))})
            await answer.prepare(request)
            await answer.write(body[: len(body) // 2])
            if request.transport is not None:
                request.transport.abort()
            return answer
        if "gzip" in request.headers.get("Accept-Encoding", ""):
            body = gzip.compress(body, 1)
            headers["Content-Encoding"] = "gzip"
        return web.Response(body=body, headers=headers)

    async def send_endless(self, request: web.Request) -> web.StreamResponse:
        """Send `endless_bytes` bytes that are never a complete answer."""
        answer = web.StreamResponse(headers={"Content-Type": "application/json"})
        await answer.prepare(request)
        remaining = self.endless_bytes
        while remaining > 0:
            await answer.write(b"[" * CHUNK_BYTES)
            remaining -= CHUNK_BYTES
        return answer

    def instances(self, path: str) -> list[JsonObject] | None:
        """Return the instances that a path names, or None if there are none."""
        if path == "apps":
            return self.select_instances()
        if path == "apps/delta":
            return self.delta()
        kind, _, name = path.partition("/")
        if kind == "apps":
            found = self.select_instances(lambda instance_data: str(instance_data["app"]) == name.upper())
        else:
            key = {"vips": "vipAddress", "svips": "secureVipAddress"}[kind]
            found = self.select_instances(
                lambda instance_data: name in str(instance_data.get(key, "")).split(",")
            )
        return found or None

    def record_in_ledger(self, instances: list[JsonObject], gateway: str) -> None:
        """Record the states sent to a gateway in the ledger, for the drain rule."""
        if self.ledger is not None:
            for instance_data in instances:
                state = (
                    "up"
                    if instance_data["status"] == "UP" and instance_data.get("actionType") != "DELETED"
                    else "draining"
                )
                self.ledger.record_host_state(gateway, instance_id(instance_data), state)

    # Writes

    async def handle_write(self, request: web.Request) -> web.Response:
        """Handle POST apps/APP; PUT and DELETE apps/APP/ID; PUT and DELETE apps/APP/ID/status."""
        parts = request.match_info["path"].strip("/").split("/")
        self.call_counts[f"{request.method} {parts[0]}{' status' if parts[-1] == 'status' else ''}"] += 1
        if not self._is_authorized(request):
            return web.Response(status=401)
        if self.script.next(time.monotonic()).kind == StepKind.ERROR:
            return web.Response(status=500)
        self.expire()
        if request.method == "POST" and len(parts) == 2:
            instance_data = json.loads(await request.read())["instance"]
            self.register({**instance_data, "app": parts[1]})
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
        app.router.add_get(self.base_path + "/{path:.*}", self.handle_read)
        for method in ("POST", "PUT", "DELETE"):
            app.router.add_route(method, self.base_path + "/{path:.*}", self.handle_write)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port).start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.closing.set()
        await self.runner.cleanup()


def basic_auth_user(request: web.Request) -> str:
    """Return the user of the basic credentials, by which a registry distinguishes its gateways."""
    try:
        encoded = request.headers["Authorization"].removeprefix("Basic ")
        return base64.b64decode(encoded).decode().split(":")[0]
    except (KeyError, ValueError):
        return ""
