"""Case 2: clients that send much at once make a gateway go over its memory limit.

Three gateways serve ordinary traffic. Then twelve bad clients of one gateway write many commands with long
bodies at once, and go. The platform's stand-in kills a gateway that holds more memory than its limit.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, play  # noqa: E402
from standins import Gateway, Request, encode  # noqa: E402

GATEWAYS = 3
HOSTS = 9
CALM_S = 4.0
BAD_CLIENTS = 12
COMMANDS = 512  # of each bad client
BODY_BYTES = 65536  # the longest that the protocol allows
GO_AFTER_S = 6.0  # the bad clients have left by then
REST_S = 12.0  # from their first byte to the end of the load
LAST_ANSWERS_S = 7.0
MEMORY_LIMIT_KB = 192 * 1024
MEMORY_CHECK_S = 0.02
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class BadClient(threading.Thread):
    """A client that writes many commands at once, reads its answers, and goes."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(daemon=True)
        self.gateway = gateway
        self.bytes_sent = 0
        self.is_cut_off = False  # the gateway has ended the connection

    def run(self) -> None:
        """Write for as long as the gateway reads, and go."""
        data = memoryview(self._commands())
        ends_at = time.monotonic() + GO_AFTER_S
        with socket.create_connection((self.gateway.address, self.gateway.port)) as sock:
            sock.settimeout(0.05)
            while time.monotonic() < ends_at and self.bytes_sent < len(data) and not self.is_cut_off:
                self._send_some(sock, data)
                self._read_some(sock)

    def _commands(self) -> bytes:
        customer = random.getrandbits(32)
        requests = [
            Request(f"{random.getrandbits(64):016x}", "shift-update", 6.0, self.gateway.name)
            for _ in range(COMMANDS)
        ]
        body = b"x" * BODY_BYTES
        return b"".join(encode(request, customer, body=body, spread=GATEWAYS) for request in requests)

    def _send_some(self, sock: socket.socket, data: memoryview) -> None:
        try:
            self.bytes_sent += sock.send(data[self.bytes_sent : self.bytes_sent + (1 << 20)])
        except TimeoutError:
            return
        except OSError:
            self.is_cut_off = True

    def _read_some(self, sock: socket.socket) -> None:
        try:
            sock.recv(65536, socket.MSG_DONTWAIT)
        except OSError:
            return


class Scene:
    """Bad clients beside ordinary load, and the platform's watch over the memory of the gateways."""

    def __init__(self) -> None:
        self.deployment = Deployment(FOLDER, GATEWAYS, HOSTS)
        self.most_kb = {gateway.name: 0 for gateway in self.deployment.gateways}
        self.killed: list[str] = []

    async def play(self) -> int:
        """Play the load and the disruption; return 1 if a gateway crashed, else 0."""
        deployment = self.deployment
        watch = asyncio.ensure_future(self._watch_memory())
        deployment.start_ordinary_load()
        await asyncio.sleep(CALM_S)
        bad_clients = [BadClient(deployment.gateways[0]) for _ in range(BAD_CLIENTS if WITH_TROUBLE else 0)]
        for bad_client in bad_clients:
            bad_client.start()
        deployment.record.write(f"{len(bad_clients)} bad clients begin")
        await asyncio.sleep(REST_S)
        deployment.is_loading = False
        await asyncio.sleep(LAST_ANSWERS_S)
        watch.cancel()
        sent = sum(bad_client.bytes_sent for bad_client in bad_clients)
        deployment.record.write(f"the bad clients wrote {sent / 1e6:.0f} MB")
        return self._judge()

    async def _watch_memory(self) -> None:
        """Kill a gateway over its memory limit, as the platform does."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            for gateway in self.deployment.gateways:
                held_kb = _resident_kb(gateway)
                self.most_kb[gateway.name] = max(self.most_kb[gateway.name], held_kb)
                if held_kb > MEMORY_LIMIT_KB and gateway.name not in self.killed:
                    self.killed.append(gateway.name)
                    self.deployment.record.write(
                        f"gateway {gateway.name} holds {held_kb} kB: killed for memory"
                    )
                    gateway.signal(signal.SIGKILL)

    def _judge(self) -> int:
        """Return 1 if a gateway was killed for memory or ended by itself, else 0."""
        ended = [
            gateway.name
            for gateway in self.deployment.gateways
            if gateway.process is not None and gateway.process.returncode is not None
        ]
        self.deployment.report(
            f"most memory in kB: {self.most_kb}, limit {MEMORY_LIMIT_KB}; killed for memory: {self.killed}; "
            f"ended: {ended}; requests of good clients: {self.deployment.outcomes()}"
        )
        return 1 if self.killed or ended else 0


def _resident_kb(gateway: Gateway) -> int:
    """Return the resident memory of a gateway's process in kB; 0 if it has ended."""
    assert gateway.process is not None
    try:
        status = Path(f"/proc/{gateway.process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0
    return next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")), 0)


async def main() -> int:
    """Play the case."""
    scene = Scene()
    return await play(scene.deployment, scene.play)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
