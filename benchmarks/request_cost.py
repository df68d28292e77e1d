"""Measures the gateway's CPU cost of a request, compared with an earlier commit and with a plain byte relay.

    python benchmarks/request_cost.py --before REV [--rounds 5] [--requests 20000] [--hosts 9]
        [--customers 97] [--held 0] [--json FILE]

Three programs run in turn on one core: `python -m apigateway.daemon` of this tree and of REV (extracted into
a temporary folder), and a relay on the same kind of event loop that only copies bytes between a client and a
host. This process generates the load and emulates the hosts, on other cores. Each round sends `--requests`
requests in a closed loop over 24 connections. CPU is the process time that the kernel reports for a program.
Prints medians and ratios. With `--held N` the gateway holds N additional requests during the whole round:
connections have many requests in flight, and hosts accept few at once.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import hiredis
import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from apigateway.emulators.counter import EmulatedCounter  # noqa: E402
from apigateway.emulators.discovery import EmulatedDiscovery  # noqa: E402
from apigateway.emulators.hosts import VALUE  # noqa: E402
from apigateway.emulators.platform import SETTINGS, make_configuration, make_discovery_entry  # noqa: E402
from apigateway.emulators.ports import free_port  # noqa: E402

CONNECTIONS, WARM_UP_REQUESTS = 24, 2000
CUSTOMERS, HELD_REQUESTS = 97, 0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
RELAY_CODE = """
import asyncio, sys, uvloop

class HostConnection(asyncio.Protocol):
    def __init__(self, client):
        self.client = client
    def connection_made(self, transport):
        self.transport = transport
    def data_received(self, data):
        self.client.transport.write(data[4:-10])

class ClientConnection(asyncio.Protocol):
    number = 0
    def connection_made(self, transport):
        self.transport, self.buffered, self.host = transport, [], None
        ClientConnection.number += 1
        asyncio.ensure_future(self.connect(sys.argv[2 + ClientConnection.number % (len(sys.argv) - 2)]))
    async def connect(self, port):
        loop = asyncio.get_running_loop()
        _, self.host = await loop.create_connection(lambda: HostConnection(self), "127.0.0.1", int(port))
        for data in self.buffered:
            self.host.transport.write(data)
    def data_received(self, data):
        self.host.transport.write(data) if self.host else self.buffered.append(data)

async def main():
    server = await asyncio.get_running_loop().create_server(ClientConnection, "127.0.0.1", int(sys.argv[1]))
    await server.serve_forever()

uvloop.run(main())
"""


class FastHost(asyncio.Protocol):
    """An emulated host that answers each command immediately."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.parser = transport, hiredis.Reader(notEnoughData=...)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while self.parser.gets() is not ...:
            self.transport.write(VALUE)


class LoadConnection(asyncio.Protocol):
    """A connection that sends its next request as soon as one is answered."""

    def __init__(self, load: ClosedLoopLoad) -> None:
        self.load, self.parser, self.in_flight = load, hiredis.Reader(notEnoughData=...), 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        for _ in range(self.load.in_flight_each):
            self.send_next()

    def send_next(self) -> None:
        if self.load.unsent <= 0:
            if not self.in_flight:
                self.load.on_connection_done()
            return
        self.load.unsent -= 1
        self.in_flight += 1
        self.transport.write(self.load.command())

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (reply := self.parser.gets()) is not ...:
            self.load.bad_answers += not isinstance(reply, bytes)
            self.in_flight -= 1
            self.send_next()


class ClosedLoopLoad:
    """A number of requests, sent in a closed loop over several connections."""

    def __init__(self, requests: int, in_flight_each: int = 1, connections: int = 0) -> None:
        self.unsent, self.bad_answers, self.number, self.in_flight_each = requests, 0, 0, in_flight_each
        self.open_connections = connections or CONNECTIONS
        self.done = asyncio.Event()

    def command(self) -> bytes:
        self.number += 1
        customer = b"%016x" % (self.number % CUSTOMERS + 1)
        options = b"c=read,t=p,d=%d,units=1,spread=1,first=0" % (60_000 if HELD_REQUESTS else 3000)
        return b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%s\r\n$10\r\n%010d\r\n$%d\r\n%s\r\n" % (
            customer,
            self.number + time.monotonic_ns() % 10**9,
            len(options),
            options,
        )

    def on_connection_done(self) -> None:
        self.open_connections -= 1
        if not self.open_connections:
            self.done.set()


async def run_load(port: int, requests: int, held: int = 0) -> tuple[float, int]:
    """Send requests; return the seconds that they took, and the number of answers that were not a value.

    `held` is the number of requests that wait in the gateway, in addition to one per connection.
    """
    # A gateway reads at most 512 requests ahead on a connection.
    count = max(CONNECTIONS, math.ceil(held / 400))
    loop, load = asyncio.get_running_loop(), ClosedLoopLoad(requests, 1 + round(held / count), count)
    started_at = time.monotonic()
    connections = [
        await loop.create_connection(lambda: LoadConnection(load), "127.0.0.1", port) for _ in range(count)
    ]
    await load.done.wait()
    for transport, _ in connections:
        transport.close()
    return time.monotonic() - started_at, load.bad_answers


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process, in kB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


class Program:
    """A program under test, pinned to one core."""

    def __init__(self, name: str, command: list[str], folder: Path, env: dict[str, str], port: int) -> None:
        self.name, self.port = name, port
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(command, cwd=folder, env=os.environ | env, stderr=subprocess.DEVNULL)
        os.sched_setaffinity(self.process.pid, {min(os.sched_getaffinity(0))})
        self.cpu_us: list[float] = []

    async def wait_until_ready(self, ping: bool) -> None:
        for _ in range(2000):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.005)
                continue
            if ping:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                ping = await reader.readline() != b"+PONG\r\n"
            writer.close()
            if not ping:
                break
        else:
            raise RuntimeError(f"{self.name} does not start")
        self.start_s = time.monotonic() - self.started_at
        pid = self.process.pid
        self.memory_kb, self.descriptors = memory_kb(pid), len(os.listdir(f"/proc/{pid}/fd"))

    async def run_round(self, requests: int) -> None:
        if HELD_REQUESTS:  # whether a gateway holds requests depends on what it has sent recently
            await run_load(self.port, WARM_UP_REQUESTS)
        before = cpu_seconds(self.process.pid)
        _, bad_answers = await run_load(self.port, requests, HELD_REQUESTS if self.name != "relay" else 0)
        # A few requests are refused if thousands arrive at once.
        if bad_answers > (0.02 * requests if HELD_REQUESTS else 0):
            raise RuntimeError(f"{self.name}: {bad_answers} answers are not a value")
        self.cpu_us.append((cpu_seconds(self.process.pid) - before) / requests * 1e6)

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()


def gateway_settings() -> dict[str, Any]:
    """Return settings with a quota that never limits the load.

    If requests are held, their deadline and latency objective are a minute, so that none of them expires.
    """
    unlimited = SETTINGS | {"plans": [{"name": "p", "rate": 1e6, "most_at_once": 1e6}]}
    if not HELD_REQUESTS:
        return unlimited
    one_minute = {"slo": 60_000_000_000, "deadline": 60_000_000_000}
    return unlimited | {
        "services": [service | one_minute for service in SETTINGS["services"]],
        "limits": SETTINGS["limits"] | {"max_open": 100_000},
    }


def daemon_module(tree: Path) -> str:
    """Return the name of the daemon's module, in this tree or in one from before the package was renamed."""
    return "apigateway.daemon" if (tree / "apigateway").is_dir() else "calicomast.net"


async def measure(old_revision: str, rounds: int, requests: int, host_count: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(host_count)]
    ports = [host.sockets[0].getsockname()[1] for host in hosts]
    entries = [make_discovery_entry(f"h{n}", port) for n, port in enumerate(ports)]
    folder = Path(tempfile.mkdtemp(prefix="request-cost-"))
    programs: list[Program] = []
    async with EmulatedCounter() as counter, EmulatedDiscovery() as discovery:
        discovery.servers = entries
        try:
            old_tree = folder / "before"
            old_tree.mkdir()
            archive = subprocess.run(
                ["git", "archive", old_revision], cwd=ROOT, check=True, capture_output=True
            ).stdout
            subprocess.run(["tar", "-x"], cwd=old_tree, input=archive, check=True)
            for name, tree in (("now", ROOT), ("before", old_tree)):
                port = free_port()
                config = make_configuration(entries, discovery.port, counter.port, gateway_settings()) | {
                    "listen": f"127.0.0.1:{port}",
                    "limits": {"cores": 1.0, "memory_mb": 2000, "sockets": 1024 + 4 * host_count},
                }
                file = folder / f"{name}.json"
                file.write_text(json.dumps(config))
                programs.append(
                    Program(
                        name,
                        [sys.executable, "-B", "-m", daemon_module(tree)],
                        tree,
                        {"RELAY_CONFIG": str(file)},
                        port,
                    )
                )
                await programs[-1].wait_until_ready(True)
            port = free_port()
            relay = [sys.executable, "-c", RELAY_CODE, str(port), *map(str, ports[:100])]
            programs.append(Program("relay", relay, ROOT, {}, port))
            os.sched_setaffinity(0, os.sched_getaffinity(0) - {min(os.sched_getaffinity(0))})
            await programs[-1].wait_until_ready(False)
            for program in programs:
                await run_load(program.port, WARM_UP_REQUESTS)
            for _ in range(rounds):
                for program in programs:
                    await program.run_round(requests)
        finally:
            for program in programs:
                program.stop()
            shutil.rmtree(folder)
            for host in hosts:
                host.close()
    medians = {program.name: statistics.median(program.cpu_us) for program in programs}
    ratios = {
        other: statistics.median(a / b for a, b in zip(programs[0].cpu_us, program.cpu_us, strict=True))
        for program in programs[1:]
        for other in [program.name]
    }
    return {
        "cpu_us": medians,
        "ratio": ratios,
        "all_us": {program.name: [round(us, 1) for us in program.cpu_us] for program in programs},
        "memory_kb": {program.name: program.memory_kb for program in programs},
        "descriptors": {program.name: program.descriptors for program in programs},
        "start_s": {program.name: round(program.start_s, 3) for program in programs},
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", required=True, metavar="REV")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--customers", type=int, default=97)
    parser.add_argument("--held", type=int, default=0)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    global CUSTOMERS, HELD_REQUESTS
    CUSTOMERS, HELD_REQUESTS = args.customers, args.held
    figures = uvloop.run(measure(args.before, args.rounds, args.requests, args.hosts))
    print(f"{'':8} {'CPU us':>8} {'now/it':>7} {'kB':>7} {'fds':>4} {'start s':>8}")
    for name, cpu_us in figures["cpu_us"].items():
        ratio = figures["ratio"].get(name, 1.0)
        print(
            f"{name:8} {cpu_us:8.1f} {ratio:7.3f} {figures['memory_kb'][name]:7d} "
            f"{figures['descriptors'][name]:4d} {figures['start_s'][name]:8.3f}"
        )
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
