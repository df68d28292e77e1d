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
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from standins import (  # noqa: E402
    Agent,
    ClientConnection,
    Counter,
    Gateway,
    Host,
    Record,
    Registry,
    Request,
    encode,
    make_settings,
)

GATEWAYS = 3
HOSTS = 9
ZONES = ("east-wing", "west-wing", "north-wing")
CONNECTIONS = 10  # of the front to each gateway, with one request at a time
PAUSE_S = 0.15  # mean time between two requests on a connection: about 27 requests a second at each gateway
CUSTOMERS = 200
CALM_S = 4.0
BAD_CLIENTS = 12
COMMANDS = 512  # of each bad client
BODY_BYTES = 65536  # the longest that the protocol allows
GO_AFTER_S = 6.0  # the bad clients have left by then
REST_S = 12.0  # from their first byte to the end of the load
LAST_ANSWERS_S = 7.0
MEMORY_LIMIT_KB = 192 * 1024
MEMORY_CHECK_S = 0.02
CLASSES = {"roster-read": (41, 5.0), "shift-update": (40, 6.0), "staff-notice": (19, 5.0)}
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class BadClient(threading.Thread):
    """A client that writes many commands at once, reads its answers, and goes."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(daemon=True)
        self.gateway = gateway
        self.bytes_sent = 0

    def run(self) -> None:
        """Write for as long as the gateway reads, and go."""
        data = memoryview(self._commands())
        ends_at = time.monotonic() + GO_AFTER_S
        with socket.create_connection((self.gateway.address, self.gateway.port)) as sock:
            sock.settimeout(0.05)
            while time.monotonic() < ends_at and self.bytes_sent < len(data):
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
            self.bytes_sent = len(data)  # the gateway has ended the connection

    def _read_some(self, sock: socket.socket) -> None:
        try:
            sock.recv(65536, socket.MSG_DONTWAIT)
        except OSError:
            return


class Run:
    """The deployment, its load, and the platform's watch over the memory of the gateways."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.record = Record(Path(__file__).parent / "record.txt")
        self.hosts = [Host(self.record, f"s-{index}", ZONES[index % 3], index // 5) for index in range(HOSTS)]
        self.registry = Registry()
        self.counter = Counter()
        self.agents = [Agent(self.registry) for _ in range(GATEWAYS)]
        self.gateways: list[Gateway] = []
        self.requests: list[Request] = []
        self.most_kb = dict.fromkeys((f"n{index}" for index in range(GATEWAYS)), 0)
        self.killed: list[str] = []
        self.is_loading = True

    async def start(self) -> None:
        """Start the stand-ins and the gateways."""
        for server in (*self.hosts, self.counter, *self.agents):
            await server.open()
        for host in self.hosts:
            self.registry.set(host.entry())
        for index, agent in enumerate(self.agents):
            gateway = Gateway(self.record, index, self.folder, self.counter, agent)
            gateway.write_config(make_settings(GATEWAYS), self.registry.full())
            self.gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def play(self) -> None:
        """Play the load and the disruption."""
        watch = asyncio.ensure_future(self._watch_memory())
        clients = [
            asyncio.ensure_future(self._client(gateway))
            for gateway in self.gateways
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(CALM_S)
        bad_clients = [BadClient(self.gateways[0]) for _ in range(BAD_CLIENTS if WITH_TROUBLE else 0)]
        for bad_client in bad_clients:
            bad_client.start()
        self.record.write(f"{len(bad_clients)} bad clients begin")
        await asyncio.sleep(REST_S)
        self.is_loading = False
        await asyncio.sleep(LAST_ANSWERS_S)
        for task in (watch, *clients):
            task.cancel()
        sent = sum(bad_client.bytes_sent for bad_client in bad_clients)
        self.record.write(f"the bad clients wrote {sent / 1e6:.0f} MB")

    async def _client(self, gateway: Gateway) -> None:
        connection: ClientConnection | None = None
        names = list(CLASSES)
        while self.is_loading:
            await asyncio.sleep(random.uniform(0, 2 * PAUSE_S))
            if connection is None or not connection.is_open:
                try:
                    connection = await ClientConnection(self.record, gateway).open()
                except OSError:
                    continue
            name = random.choices(names, [CLASSES[name][0] for name in names])[0]
            timeout = CLASSES[name][1] * random.uniform(0.5, 1.0)
            request = Request(f"{random.getrandbits(64):016x}", name, timeout, gateway.name)
            self.requests.append(request)
            connection.send(request, encode(request, random.randrange(100, 100 + CUSTOMERS), spread=GATEWAYS))
            while connection.pending and connection.is_open:
                await asyncio.sleep(0.005)

    async def _watch_memory(self) -> None:
        """Kill a gateway over its memory limit, as the platform does."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            for gateway in self.gateways:
                held_kb = _resident_kb(gateway)
                self.most_kb[gateway.name] = max(self.most_kb[gateway.name], held_kb)
                if held_kb > MEMORY_LIMIT_KB and gateway.name not in self.killed:
                    self.killed.append(gateway.name)
                    self.record.write(f"gateway {gateway.name} holds {held_kb} kB: killed for memory")
                    gateway.signal(signal.SIGKILL)

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.end()
        for server in (*self.hosts, self.counter, *self.agents):
            await server.kill()

    def judge(self) -> int:
        """Return 1 if a gateway was killed for memory or ended by itself, else 0."""
        ended = [
            gateway.name
            for gateway in self.gateways
            if gateway.process is not None and gateway.process.returncode is not None
        ]
        outcomes = dict.fromkeys(("served", "refused", "failed", "open"), 0)
        for request in self.requests:
            outcomes[request.outcome] += 1
        text = (
            f"most memory in kB: {self.most_kb}, limit {MEMORY_LIMIT_KB}; killed for memory: {self.killed}; "
            f"ended: {ended}; {len(self.requests)} requests of good clients: {outcomes}"
        )
        self.record.write(text)
        print(text)
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
    """Play the case; return 1 if the rule was broken, 2 if it could not run."""
    run = Run()
    try:
        await run.start()
        await run.play()
        return run.judge()
    except (OSError, RuntimeError) as error:
        print(f"could not run: {error}")
        return 2
    finally:
        await run.end()
        run.record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
