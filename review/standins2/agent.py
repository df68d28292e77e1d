"""A discovery agent beside a gateway: HTTP/1.1, the whole list or a watch for its changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

Entry = dict[str, Any]
REQUEST_LINE_WORDS = 3
MILLISECONDS_PER_SECOND = 1000
KEEP_WATCH_S = 60.0


class Agent:
    """Answers with what it has been told; silent while `is_silent` is set.

    Attributes:
        servers: The list, by the hosts' ids.
        version: The version of the list.
        is_silent: Whether calls get no answer, as while discovery is down.
        port: Where it listens, on 127.0.0.1.
    """

    def __init__(self, servers: list[Entry]) -> None:
        self.servers = {entry["id"]: entry for entry in servers}
        self.version = 1
        self.is_silent = False
        self.port = 0
        self._changes: list[tuple[int, Entry]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def change(self, *entries: Entry) -> None:
        """Apply changed entries, and answer the open watches with them."""
        self.version += 1
        for entry in entries:
            self._changes.append((self.version, entry))
            if entry["state"] == "removed":
                self.servers.pop(entry["id"], None)
            else:
                self.servers[entry["id"]] = entry
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (line := await reader.readline()).strip():
                while (await reader.readline()).strip():
                    pass
                words = line.decode().split()
                if len(words) != REQUEST_LINE_WORDS:
                    return
                body = json.dumps(await self._answer(parse_qs(urlsplit(words[1]).query))).encode()
                if self.is_silent:
                    await asyncio.Event().wait()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "index" not in query:
            return {"version": self.version, "full": True, "servers": list(self.servers.values())}
        index = int(query["index"][0])
        if index >= self.version:
            wait_s = int(query.get("wait", ["0"])[0]) / MILLISECONDS_PER_SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(wait_s, KEEP_WATCH_S))
        servers = [entry for version, entry in self._changes if version > index]
        return {"version": self.version, "full": False, "servers": servers}
