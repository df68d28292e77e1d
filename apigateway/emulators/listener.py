"""A listener on loopback that tracks its connections and can be killed and reopened at its address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self

BACKLOG = 512  # hundreds of gateways connect at once


class Listener:
    """Calls `serve` for each connection, and closes the connection when it returns.

    Attributes:
        port: The port; 0 before `open` if none was given.
        writers: The writers of all connections since it was opened.
    """

    server: asyncio.Server

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.address = address
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; the connection is closed when this returns."""
        raise NotImplementedError

    async def open(self) -> None:
        """Listen, at the previous port if there was one."""
        self.server = await asyncio.start_server(self.on_connection, self.address, self.port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection, then close it."""
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()

    async def kill(self) -> None:
        """Stop like a killed process: reset all connections and refuse new ones."""
        self.server.close()
        writers = self.writers
        self.writers = []
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
