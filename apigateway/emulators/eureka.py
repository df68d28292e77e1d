"""An emulated Eureka registry after Netflix's REST operations.

It has registrations, leases, overrides, deltas, two replicas with lag, JSON and XML. By script it is silent,
fails, lies, cuts its answers and comes back empty.
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
CHUNK_BYTES = 65536  # of an answer without end


class Lease:
    """One instance and when it is to be renewed."""

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
        """The status that callers are told."""
        return self.override or str(self.instance.get("status", "UNKNOWN"))


class EmulatedEureka:
    """A registry; leases that are not renewed in time are dropped at each request.

    Script, for each read: silent; error (500); half (a cut answer); spoilt (no JSON); stall; slow is stall.

    Attributes:
        base_path: Its path.
        delta_retention_s: Seconds that deltas go back.
        self_preservation: Whether leases are kept that are not renewed (self-preservation).
        replication_lag_s: Seconds until `peer`, if there is one, hears of changes here.
        changes: What changed when, for deltas.
        hashcode: JsonObject in place of the right one.
        empty_deltas: Deltas that are told empty, in place of what they hold.
        endless_bytes: Bytes of an answer that does not end as it should.
        clock_offset_s: Seconds that its clock is ahead.
        raw_body: JsonObject in place of any read.
        expected_authorization: The value of Authorization that is wanted.
        call_counts: By method and kind of path.
        reads: The kind of path of each read, as it comes.
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
        """Return the time by its own clock."""
        return self._clock() + self.clock_offset_s

    @property
    def url(self) -> str:
        """The address that clients are given."""
        return f"http://127.0.0.1:{self.port}{self.base_path}"

    # What it holds

    def register(self, told: JsonObject, replicated: bool = False) -> None:
        """Register an instance, for the first time or again."""
        key = (str(told["app"]).upper(), instance_id(told))
        old = self.leases.get(key)
        lease = Lease(told, self.now())
        if old is not None:
            lease.override = old.override
            lease.up_at = old.up_at
        if lease.status == "UP" and (old is None or old.status != "UP"):
            lease.up_at = self.now()
        self.leases[key] = lease
        self.record_change("ADDED" if old is None else "MODIFIED", key)
        self.replicate(replicated, "register", told)

    def mark_warm(self, app: str, id: str) -> None:
        """Let an instance have been there for long: it is not cold."""
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
        """Override a status, or take the override off by an empty one; return False if there is no lease."""
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
        """Log a change, for deltas."""
        self.changes.append((self.now(), action, self.render_instance(key, action)))

    def replicate(self, replicated: bool, what: str, *told: Any) -> None:
        """Let the peer do as was done here, after the lag, unless it was done by replication."""
        if self.peer is not None and not replicated:
            asyncio.get_running_loop().call_later(
                self.replication_lag_s, lambda: getattr(self.peer, what)(*told, replicated=True)
            )

    # As it is written

    def render_instance(self, key: tuple[str, str], action: str = "") -> JsonObject:
        """Return an instance as callers are told of it."""
        lease = self.leases[key]
        told = {
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
        return {**told, "actionType": action} if action else told

    def status_hash(self) -> str:
        """Return the hash of all statuses, by which clients check their deltas."""
        if self.hashcode is not None:
            return self.hashcode
        counts = Counter(lease.status for lease in self.leases.values())
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def applications(self, instances: list[JsonObject]) -> JsonObject:
        """Return instances by application; a single one is an object, several are a list (an oddity)."""
        apps: dict[str, list[JsonObject]] = {}
        for told in instances:
            apps.setdefault(str(told["app"]), []).append(told)
        return {
            "applications": {
                "versions__delta": "1",
                "apps__hashcode": self.status_hash(),
                "application": [
                    {"name": name, "instance": told[0] if len(told) == 1 else told}
                    for name, told in apps.items()
                ],
            }
        }

    def select_instances(self, wanted: Callable[[JsonObject], bool] = lambda _: True) -> list[JsonObject]:
        """Return all instances that are wanted."""
        return [told for key in self.leases if wanted(told := self.render_instance(key))]

    def delta(self) -> list[JsonObject]:
        """Return what has changed within the retention, each instance once."""
        since = self.now() - self.delta_retention_s
        latest: dict[tuple[str, str], JsonObject] = {}
        for at, action, told in self.changes:
            if at >= since:
                key = (str(told["app"]), instance_id(told))
                now = (
                    self.render_instance(key, action) if key in self.leases and action != "DELETED" else told
                )
                latest[key] = {**now, "actionType": action}
        return list(latest.values())

    # Reads

    async def handle_read(self, request: web.Request) -> web.StreamResponse:
        """Answer a read as the script says."""
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
        xml = "json" not in request.headers.get("Accept", "")  # XML is a registry's own choice
        body = self._body(instances, xml, step)
        is_complete = step.kind not in (StepKind.TRUNCATED, StepKind.MALFORMED) and self.raw_body is None
        if is_complete:
            self.record_in_ledger(instances, basic_auth_user(request) or self.gateway)
        return await self.send(request, body, xml, kind, step.kind == StepKind.TRUNCATED)

    def _is_authorized(self, request: web.Request) -> bool:
        return (
            self.expected_authorization is None
            or request.headers.get("Authorization") == self.expected_authorization
        )

    async def _fail_or_wait(self, step: Step) -> web.Response | None:
        """Return the answer of a read that fails; else wait as the script says, and return None."""
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
        """Return the instances that a read is told; None: it is not found."""
        if kind != "delta":
            return self.instances(path)
        if not self.serves_deltas:
            return None
        if self.empty_deltas:
            self.empty_deltas -= 1
            return []
        return self.delta()

    def _body(self, instances: list[JsonObject], xml: bool, step: Step) -> bytes:
        if step.kind == StepKind.MALFORMED:
            return b"{what"
        if self.raw_body is not None:
            return self.raw_body
        tree = self.applications(instances)
        return self.xml(tree).encode() if xml else json.dumps(tree).encode()

    def xml(self, tree: JsonObject) -> str:
        """Return a tree of applications as XML."""
        return to_xml(tree)

    async def send(
        self, request: web.Request, body: bytes, xml: bool, kind: str, half: bool
    ) -> web.StreamResponse:
        """Send an answer, or `half` of it."""
        headers = {"Content-Type": "application/xml" if xml else "application/json"}
        if self.sends_etags and kind != "delta":
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
            body = gzip.compress(body, 1)
            headers["Content-Encoding"] = "gzip"
        return web.Response(body=body, headers=headers)

    async def send_endless(self, request: web.Request) -> web.StreamResponse:
        """Send `endless` bytes that are never a complete answer."""
        answer = web.StreamResponse(headers={"Content-Type": "application/json"})
        await answer.prepare(request)
        remaining = self.endless_bytes
        while remaining > 0:
            await answer.write(b"[" * CHUNK_BYTES)
            remaining -= CHUNK_BYTES
        return answer

    def instances(self, path: str) -> list[JsonObject] | None:
        """Return what a path names; None: nothing is known by it."""
        if path == "apps":
            return self.select_instances()
        if path == "apps/delta":
            return self.delta()
        kind, _, name = path.partition("/")
        if kind == "apps":
            found = self.select_instances(lambda told: str(told["app"]) == name.upper())
        else:
            key = {"vips": "vipAddress", "svips": "secureVipAddress"}[kind]
            found = self.select_instances(lambda told: name in str(told.get(key, "")).split(","))
        return found or None

    def record_in_ledger(self, instances: list[JsonObject], gateway: str) -> None:
        """Tell the ledger what a gateway was told, for the drain rule."""
        if self.ledger is not None:
            for told in instances:
                state = "up" if told["status"] == "UP" and told.get("actionType") != "DELETED" else "draining"
                self.ledger.record_host_state(gateway, instance_id(told), state)

    # Writes

    async def handle_write(self, request: web.Request) -> web.Response:
        """Carry out POST apps/APP; PUT, DELETE apps/APP/ID; PUT, DELETE apps/APP/ID/status."""
        parts = request.match_info["path"].strip("/").split("/")
        self.call_counts[f"{request.method} {parts[0]}{' status' if parts[-1] == 'status' else ''}"] += 1
        if not self._is_authorized(request):
            return web.Response(status=401)
        if self.script.next(time.monotonic()).kind == StepKind.ERROR:
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
    """Return the user of basic credentials, by which one registry tells several gateways apart."""
    try:
        told = request.headers["Authorization"].removeprefix("Basic ")
        return base64.b64decode(told).decode().split(":")[0]
    except (KeyError, ValueError):
        return ""
