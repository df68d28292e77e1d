"""An emulated discovery service of the platform: one list, which each gateway reads from its own agent."""

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
    """The capacity of a service that many gateways poll: calls are queued in order, up to a longest wait.

    A call that would wait longer is rejected, which costs work as well. The work of a call is spent even if
    its caller no longer waits for the answer.
    """

    call_work_s: float  # work for one call
    rejection_work_s: float  # work for one rejected call
    max_wait_s: float  # a call that would wait longer is rejected
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
    """Answers with the complete list, or with the changes since a version once there are any.

    Attributes:
        servers: The current list.
        silent: While set, new calls are never answered, not even after it is unset.
        change_delay_s: How long a change is held back from open watches.
        raw_answer: The text of the next answer, sent once in place of the right one.
        capacity: The capacity of a polled service; None means unlimited.
        rejected: The number of calls rejected for lack of capacity.
        full_list_gate: If not None, complete lists are sent only once it is set, as they were at the call.
        calls: The query of each call.
        changes: The changed entries of each version.
        changed: Set at the next change, and then replaced.
        silenced_count: How often `silence_watches` was called.
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
        self._never = asyncio.Event()  # held here, so that calls that wait for it are not collected

    def apply_changes(self, entries: list[Entry]) -> None:
        """Apply changed entries to the list and answer the open watches; without entries, with no change.

        Entries may be malformed on purpose.
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
        """Leave the open watches without an answer for good, as on connections whose peer is gone."""
        self.silenced_count += 1
        self.changed = asyncio.Event()

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a call for the complete list, or a watch from an index on."""
        self.calls.put_nowait(dict(request.query))
        if self.silent:
            await self._never.wait()
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
        if (gate := self.full_list_gate) is not None:
            await gate.wait()
        return self.respond(complete)

    async def _answer_watch(self, query: Mapping[str, str]) -> web.Response:
        """Answer with the changes since version `index`, once there are any or the watch's wait ends."""
        index = int(query["index"])
        if index >= self.version:
            silenced = self.silenced_count
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait"]) / 1000):
                    await self.changed.wait()
                    await asyncio.sleep(self.change_delay_s)
            if self.silenced_count > silenced:
                await self._never.wait()
        changed = [entry for version, entries in self.changes if version > index for entry in entries]
        return self.respond({"version": self.version, "full": False, "servers": changed})

    def respond(self, answer: dict[str, Any]) -> web.Response:
        """Return the response with an answer, and record its host states in the ledger."""
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
