"""A listener on loopback that keeps its connections and can go away and come back at its address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self


class Listener:
    """`serve` is called for each connection; its end closes the connection."""

    server: asyncio.Server

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.address, self.port = address, port
        self.writers: list[asyncio.StreamWriter] = []  # of all connections there ever were since the start

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.joined, self.address, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()

    async def die(self) -> None:
        """As a process that is killed: its connections are reset, new ones refused."""
        self.server.close()
        writers, self.writers = self.writers, []
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()
