"""A stand-in of the platform's discovery: one list, told to each gateway by an agent of its own."""

from __future__ import annotations

import asyncio
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

    call_s: float  # of work for each call
    rejection_s: float  # of work for a call that is rejected
    max_wait_s: float  # until its answer, past which a call is rejected
    busy_until: float = 0.0

    def admit(self, now: float) -> float | None:
        """Return when the answer to a call made now is ready, or None if the call is rejected."""
        ready = max(now, self.busy_until) + self.call_s
        if ready - now > self.max_wait_s:
            self.busy_until += self.rejection_s
            return None
        self.busy_until = ready
        return ready


class StandInDiscovery:
    """`servers` is the list. `change` ends the watches with entries that changed; `raw` is answered once in
    place of the next answer; `silent`: it never answers what is asked meanwhile, not even later; `held`:
    whole lists are written once it is set, as they were when they were asked for; `lag`: seconds until a
    change is told; `capacity`: of a service that is polled, where it is limited; `rejected`: calls that it
    had no capacity for."""

    def __init__(self, gateway: str = "", ledger: Ledger | None = None) -> None:
        self.gateway, self.ledger = gateway, ledger
        self.servers: list[Entry] = []
        self.version, self.silent, self.lag = 1, False, 0.0
        self.raw: str | None = None
        self.capacity: CallCapacity | None = None
        self.rejected = 0
        self.held: asyncio.Event | None = None
        self.calls: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self.log: list[tuple[int, list[Entry]]] = []  # what changed with each version
        self.woken = asyncio.Event()
        self.silenced = 0  # times that all open watches fell silent
        self.port = 0

    def change(self, entries: list[Entry]) -> None:
        """Entries as they are from now on; none: the watches end with no news. They may be odd on purpose."""
        if entries:
            self.version += 1
            self.log.append((self.version, entries))
            new = {e["id"]: e for e in entries if isinstance(e, dict) and "state" in e}
            kept = [new.pop(e["id"], e) for e in self.servers]
            self.servers = [e for e in [*kept, *new.values()] if e["state"] != "removed"]
        woken, self.woken = self.woken, asyncio.Event()
        woken.set()

    def silence_watches(self) -> None:
        """The watches that are open now are never answered, as on connections that a peer has lost."""
        self.silenced += 1
        self.woken = asyncio.Event()

    async def answer(self, request: web.Request) -> web.Response:
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
        if self.raw is not None:
            raw, self.raw = self.raw, None
            return web.Response(text=raw)
        if "index" not in request.query:
            told = {"version": self.version, "full": True, "servers": self.servers}
            if (held := self.held) is not None:
                await held.wait()
            return self.tell(told)
        index = int(request.query["index"])
        if index >= self.version:
            silenced = self.silenced
            try:
                async with asyncio.timeout(int(request.query["wait"]) / 1000):
                    await self.woken.wait()
                    await asyncio.sleep(self.lag)
            except TimeoutError:
                pass
            if self.silenced > silenced:
                await asyncio.Event().wait()
        changed = [e for version, entries in self.log if version > index for e in entries]
        return self.tell({"version": self.version, "full": False, "servers": changed})

    def tell(self, answer: dict[str, Any]) -> web.Response:
        if self.ledger is not None:
            for entry in answer["servers"]:
                self.ledger.told(self.gateway, entry["id"], entry["state"])
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
