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
from typing import Self

from aiohttp import web

from apigateway.emulators.eureka_format import JsonObject, instance, instance_id, to_xml
from apigateway.emulators.eureka_registry import EurekaRegistry, Lease
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.script import Script, Step, StepKind

__all__ = ["Lease", "EmulatedEureka", "JsonObject", "instance"]

CHUNK_BYTES = 65536  # per write of an endless answer


class EmulatedEureka(EurekaRegistry):
    """A registry served over HTTP, which drops expired leases at each request.

    The script's steps act on reads: SILENT, ERROR (status 500), TRUNCATED, MALFORMED (invalid JSON), STALL,
    and SLOW, which acts as STALL.

    Attributes:
        base_path: The path of the REST API.
        empty_deltas: The number of deltas still to be sent empty.
        endless_bytes: If positive, reads get an answer of this size that is never complete.
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
        super().__init__(delta_retention_s, self_preservation, replication_lag_s, clock)
        self.base_path = base_path
        self.script = script or Script()
        self.gateway = gateway
        self.ledger = ledger
        self.empty_deltas = 0
        self.endless_bytes = 0
        self.raw_body: bytes | None = None
        self.sends_etags = True
        self.serves_deltas = True
        self.expected_authorization: str | None = None
        self.call_counts: Counter[str] = Counter()
        self.reads: asyncio.Queue[str] = asyncio.Queue()
        self.closing = asyncio.Event()
        self.port = 0

    @property
    def url(self) -> str:
        """The service URL for clients."""
        return f"http://127.0.0.1:{self.port}{self.base_path}"

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
