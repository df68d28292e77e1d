"""A listener on loopback that keeps its connections and can go away and come back at its address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self

BACKLOG = 512  # connections; hundreds of gateways connect at once


class Listener:
    """Calls `serve` for each connection; its end closes the connection.

    Attributes:
        port: 0 until it is open, if none was given.
        writers: Of all connections that there ever were since it was opened.
    """

    server: asyncio.Server

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.address = address
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it is to be closed."""
        raise NotImplementedError

    async def open(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.server = await asyncio.start_server(self.on_connection, self.address, self.port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection, and close it."""
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()

    async def kill(self) -> None:
        """End as a process that is killed: connections are reset, new ones refused."""
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
