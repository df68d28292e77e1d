"""A link on which connections may be delayed, silent or reset: a TCP proxy on loopback."""

from __future__ import annotations

import asyncio
import contextlib

READ_BYTES = 65536


class Link:
    """Passes bytes between those who connect to it and a target.

    Attributes:
        port: Where it listens, on 127.0.0.1.
        is_cut: Whether the way is cut: open connections are silent, and new ones carry nothing.
        delay_s: For how long bytes to the target are held back.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.is_cut = False
        self.delay_s = 0.0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def heal(self) -> None:
        """End a cut: the connections of that time are reset."""
        self.is_cut = False
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        target: asyncio.StreamWriter | None = None
        try:
            target_reader, target = await asyncio.open_connection("127.0.0.1", self._target_port)
            self._writers.add(target)
            await asyncio.gather(
                self._copy(reader, target, to_target=True), self._copy(target_reader, writer, to_target=False)
            )
        except OSError:
            pass
        finally:
            for end in (writer, target):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_target: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.is_cut:
                continue
            if to_target and self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
        if not self.is_cut:
            with contextlib.suppress(OSError):
                writer.write_eof()
