"""Idle clients: each connects, says nothing, and connects again when it is closed.

Usage: python -m standins2.crowd PORT CONNECTIONS. It runs until its standard input ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

RETRY_S = 0.05
FOLDER = Path(__file__).resolve().parents[1]


async def _stay(port: int) -> None:
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(RETRY_S)
            continue
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()


async def _main(port: int, connections: int) -> None:
    tasks = [asyncio.create_task(_stay(port)) for _ in range(connections)]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)
    for task in tasks:
        task.cancel()


async def start(port: int, connections: int) -> asyncio.subprocess.Process:
    """Start a crowd in a process of its own; it ends with the process's standard input, or when killed."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "standins2.crowd",
        str(port),
        str(connections),
        cwd=FOLDER,
        stdin=asyncio.subprocess.PIPE,
    )


async def end(process: asyncio.subprocess.Process) -> None:
    """End a crowd."""
    if process.returncode is None:
        process.kill()
    await process.wait()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), int(sys.argv[2])))
