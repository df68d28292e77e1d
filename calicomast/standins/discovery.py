"""A stand-in of the platform's discovery: one list, told to each gateway by an agent of its own."""

from __future__ import annotations

import asyncio
from typing import Any, Self

from aiohttp import web

from calicomast.standins.ledger import Ledger

Entry = dict[str, Any]


class StandInDiscovery:
    """`servers` is the list. `change` ends the watches with entries that changed; `raw` is answered once in
    place of the next answer; `silent`: it never answers what is asked meanwhile, not even later; `held`:
    whole lists are written once it is set, as they were when they were asked for; `lag`: seconds until a
    change is told."""

    def __init__(self, gateway: str = "", ledger: Ledger | None = None) -> None:
        self.gateway, self.ledger = gateway, ledger
        self.servers: list[Entry] = []
        self.version, self.silent, self.lag = 1, False, 0.0
        self.raw: str | None = None
        self.held: asyncio.Event | None = None
        self.calls: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self.log: list[tuple[int, list[Entry]]] = []  # what changed with each version
        self.woken = asyncio.Event()
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

    async def answer(self, request: web.Request) -> web.Response:
        self.calls.put_nowait(dict(request.query))
        if self.silent:
            await asyncio.Event().wait()
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
            try:
                async with asyncio.timeout(int(request.query["wait"]) / 1000):
                    await self.woken.wait()
                    await asyncio.sleep(self.lag)
            except TimeoutError:
                pass
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
