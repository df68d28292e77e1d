"""An emulated discovery of the platform: one list, told to each gateway by an agent of its own."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self

from aiohttp import web

from apigateway.emulators.ledger import Ledger

Entry = dict[str, Any]


@dataclass(slots=True)
class CallCapacity:
    """What a service that many gateways poll can do: calls wait in turn, up to a limit.

    One that would wait for longer is rejected, which is work as well. The work of a call is spent also if
    nobody waits for its answer any more.
    """

    call_work_s: float  # of work for each call
    rejection_work_s: float  # of work for a call that is rejected
    max_wait_s: float  # until its answer, past which a call is rejected
    busy_until: float = 0.0

    def admit(self, now: float) -> float | None:
        """Return when the answer to a call made now is ready, or None if the call is rejected."""
        ready = max(now, self.busy_until) + self.call_work_s
        if ready - now > self.max_wait_s:
            self.busy_until += self.rejection_work_s
            return None
        self.busy_until = ready
        return ready


class EmulatedDiscovery:
    """Answers with the whole list, or with what has changed since a version, once something has.

    Attributes:
        servers: The list.
        silent: While set, what is asked is never answered, not even later.
        change_delay_s: Seconds until a change is told.
        raw_answer: Answered once in place of the next answer.
        capacity: Of a service that is polled; None: not limited.
        rejected: Calls that it had no capacity for.
        full_list_gate: Complete lists are written once it is set, as they were when they were asked for.
        calls: The query of each call.
        changes: What changed with each version.
        changed: Set at the next change; then replaced.
        silenced_count: Times that all open watches fell silent.
    """

    def __init__(self, gateway: str = "", ledger: Ledger | None = None) -> None:
        self.gateway = gateway
        self.ledger = ledger
        self.servers: list[Entry] = []
        self.version = 1
        self.silent = False
        self.change_delay_s = 0.0
        self.raw_answer: str | None = None
        self.capacity: CallCapacity | None = None
        self.rejected = 0
        self.full_list_gate: asyncio.Event | None = None
        self.calls: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self.changes: list[tuple[int, list[Entry]]] = []
        self.changed = asyncio.Event()
        self.silenced_count = 0
        self.port = 0

    def apply_changes(self, entries: list[Entry]) -> None:
        """Set entries as they are from now on; without any the watches end with no news.

        They may be malformed on purpose.
        """
        if entries:
            self.version += 1
            self.changes.append((self.version, entries))
            new = {e["id"]: e for e in entries if isinstance(e, dict) and "state" in e}
            kept = [new.pop(e["id"], e) for e in self.servers]
            self.servers = [e for e in [*kept, *new.values()] if e["state"] != "removed"]
        woken = self.changed
        self.changed = asyncio.Event()
        woken.set()

    def silence_watches(self) -> None:
        """Never answer the watches that are open now, as on connections that a peer has lost."""
        self.silenced_count += 1
        self.changed = asyncio.Event()

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a call: the whole list, or a watch from an index on."""
        self.calls.put_nowait(dict(request.query))
        if self.silent:
            await asyncio.Event().wait()
        if self.capacity is not None:
            now = asyncio.get_running_loop().time()
            ready = self.capacity.admit(now)
            if ready is None:
                self.rejected += 1
                return web.Response(status=503)
            await asyncio.sleep(ready - now)
        if self.raw_answer is not None:
            raw = self.raw_answer
            self.raw_answer = None
            return web.Response(text=raw)
        if "index" in request.query:
            return await self._answer_watch(request.query)
        complete = {"version": self.version, "full": True, "servers": self.servers}
        if (held := self.full_list_gate) is not None:
            await held.wait()
        return self.respond(complete)

    async def _answer_watch(self, query: Mapping[str, str]) -> web.Response:
        """Answer with what has changed since the version `index`, once something has or its wait ends."""
        index = int(query["index"])
        if index >= self.version:
            silenced = self.silenced_count
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait"]) / 1000):
                    await self.changed.wait()
                    await asyncio.sleep(self.change_delay_s)
            if self.silenced_count > silenced:
                await asyncio.Event().wait()
        changed = [entry for version, entries in self.changes if version > index for entry in entries]
        return self.respond({"version": self.version, "full": False, "servers": changed})

    def respond(self, answer: dict[str, Any]) -> web.Response:
        """Write an answer, and tell the ledger of it."""
        if self.ledger is not None:
            for entry in answer["servers"]:
                self.ledger.record_host_state(self.gateway, entry["id"], entry["state"])
        return web.json_response(answer)

    async def __aenter__(self) -> Self:
        app = web.Application()
        app.router.add_get("/v1/endpoints", self.answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port).start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.runner.cleanup()
