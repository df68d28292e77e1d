"""Bad clients that send the same request again as soon as it is turned away.

Usage: python -m standins2.repeaters PORT CONNECTIONS. It runs until its standard input ends. The request
names a class that does not exist, so no gateway can take it.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

from standins2 import resp

RETRY_S = 0.05
ROUND_TRIP_S = 0.003  # of the network between these clients and the gateway
FOLDER = Path(__file__).resolve().parents[1]
FIELDS = b"c=no-such-class,t=basic,d=2500,units=1,spread=2,first=0"


async def _repeat(port: int, number: int) -> None:
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(RETRY_S)
            continue
        data = resp.command(b"API.READ", b"%016x" % (1000 + number), b"%016x" % number, FIELDS)
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            while await resp.read_reply(reader) is not None:
                await asyncio.sleep(ROUND_TRIP_S)
                writer.write(data)
        writer.close()


async def _main(port: int, connections: int) -> None:
    tasks = [asyncio.create_task(_repeat(port, number)) for number in range(connections)]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)
    for task in tasks:
        task.cancel()


async def start(port: int, connections: int) -> asyncio.subprocess.Process:
    """Start the clients in a process of their own; it ends with its standard input, or when killed."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "standins2.repeaters",
        str(port),
        str(connections),
        cwd=FOLDER,
        stdin=asyncio.subprocess.PIPE,
    )


async def end(process: asyncio.subprocess.Process) -> None:
    """End the clients of a process."""
    if process.returncode is None:
        process.kill()
    await process.wait()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), int(sys.argv[2])))
