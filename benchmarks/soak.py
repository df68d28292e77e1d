"""Checks whether a gateway's memory grows under constant churn of hosts, customers, connections and settings.

    python benchmarks/soak.py [--minutes 10] [--rate 1500] [--json FILE] [--plot FILE.svg]

One gateway runs on one core. Half of the 60 hosts are listed; ten of the listed ones are replaced each second
under new ids, and a few requests end with a reset of the host's connection. Each customer sends one request,
except for one customer that sends a tenth of all requests. Clients open a new connection after 200 requests,
and close one in fifty without reading the last answer. The gateway reloads its settings every 20 s. Prints
its memory and descriptors every half minute, and the growth of memory over the second half.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from plots import Line, draw  # noqa: E402
from request_cost import FastHost, cpu_seconds, memory_kb  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

HOSTS, LISTED_HOSTS, REPLACED_HOSTS_PER_S, CONNECTIONS, REQUESTS_PER_CONNECTION = 60, 30, 10, 16, 200
rng = random.Random(1)


class FaultyHost(FastHost):
    """An emulated host that resets its connection with probability 0.002 per received chunk of data."""

    def data_received(self, data: bytes) -> None:
        if rng.random() < 0.002:
            self.transport.abort()
        else:
            super().data_received(data)


class ChurningLoad:
    """Clients that keep replacing their connections and customers."""

    def __init__(self, port: int, rate: float) -> None:
        self.port, self.rate, self.number = port, rate, 0
        self.served = self.refused = self.lost = 0
        self.stop = False

    def command(self) -> bytes:
        self.number += 1
        customer = 1 if self.number % 10 == 0 else self.number + 100
        request_id = b"s%010d" % self.number
        options = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
        return b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n" % (
            customer,
            len(request_id),
            request_id,
            len(options),
            options,
        )

    async def run_connections(self) -> None:
        """Send requests on one connection after another."""
        while not self.stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                for n in range(REQUESTS_PER_CONNECTION):
                    writer.write(self.command())
                    if n == REQUESTS_PER_CONNECTION - 1 and rng.random() < 0.02:
                        break
                    reply = await reader.readline()
                    if reply[:1] == b"$":
                        await reader.readline()
                        self.served += 1
                    else:
                        self.refused += 1
                    await asyncio.sleep(max(0.0, rng.expovariate(self.rate / CONNECTIONS)))
                writer.close()
            except OSError:
                self.lost += 1
                await asyncio.sleep(0.01)


async def churn_hosts(folder: Path, ports: list[int]) -> None:
    """Keep replacing hosts in the hosts file."""
    listed = [(f"h{n}", ports[n]) for n in range(LISTED_HOSTS)]
    number = LISTED_HOSTS
    while True:
        text = "".join(f'[[hosts]]\nid = "{name}"\naddress = "127.0.0.1:{port}"\n' for name, port in listed)
        (folder / "new.toml").write_text(text)
        os.rename(folder / "new.toml", folder / "hosts.toml")
        await asyncio.sleep(1.0)
        for _ in range(REPLACED_HOSTS_PER_S):
            listed.pop(0)
            listed.append((f"h{number}", ports[number % HOSTS]))
            number += 1


async def soak(minutes: float, rate: float, folder: Path) -> list[dict[str, Any]]:
    loop, cores = asyncio.get_running_loop(), os.sched_getaffinity(0)
    hosts = [await loop.create_server(FaultyHost, "127.0.0.1", 0) for _ in range(HOSTS)]
    churn_task = loop.create_task(churn_hosts(folder, [host.sockets[0].getsockname()[1] for host in hosts]))
    await asyncio.sleep(0.1)
    port = free_port()
    settings = (
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[classes.read]\neffect = "safe"\naim = 1.0\n'
        "deadline = 3.0\n[plans.p]\nrate = 20.0\nburst = 40.0\n"
    )
    (folder / "gateway.toml").write_text(settings)
    gateway = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "apigateway",
        "serve",
        str(folder / "gateway.toml"),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    assert gateway.stderr is not None
    while b"listens on" not in await gateway.stderr.readline():
        pass
    stderr_reader = loop.create_task(gateway.stderr.read())
    os.sched_setaffinity(gateway.pid, {min(cores)})
    load = ChurningLoad(port, rate)
    connections = [loop.create_task(load.run_connections()) for _ in range(CONNECTIONS)]
    rows: list[dict[str, Any]] = []
    started_at, samples = time.monotonic(), 0
    print(f"{'s':>6} {'MB':>7} {'fds':>5} {'served':>9} {'refused':>8} {'lost':>5} {'cpu s':>7}")
    while time.monotonic() < started_at + minutes * 60:
        await asyncio.sleep(10.0)
        samples += 1
        if samples % 2 == 0:
            (folder / "gateway.toml").write_text(settings + f"[limits]\nmax_open = {10000 + samples}\n")
            gateway.send_signal(signal.SIGHUP)
        row = {
            "s": round(time.monotonic() - started_at),
            "kb": memory_kb(gateway.pid),
            "fds": len(os.listdir(f"/proc/{gateway.pid}/fd")),
            "served": load.served,
            "refused": load.refused,
            "lost": load.lost,
            "cpu": cpu_seconds(gateway.pid),
        }
        rows.append(row)
        if samples % 3 == 0:
            print(
                f"{row['s']:6d} {row['kb'] / 1024:7.1f} {row['fds']:5d} {row['served']:9d} "
                f"{row['refused']:8d} {row['lost']:5d} {row['cpu']:7.1f}",
                flush=True,
            )
    load.stop = True
    await asyncio.gather(*connections, return_exceptions=True)
    churn_task.cancel()
    gateway.send_signal(signal.SIGTERM)
    exit_code, _ = await asyncio.gather(gateway.wait(), stderr_reader)
    for host in hosts:
        host.close()
    print(f"exit code {exit_code}")
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=1500.0)
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--plot", metavar="FILE")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        rows = uvloop.run(soak(args.minutes, args.rate, Path(folder)))
    second_half = [row["kb"] for row in rows[len(rows) // 2 :]]
    third = max(1, len(second_half) // 3)
    growth_kb = sum(second_half[-third:]) / third - sum(second_half[:third]) / third
    print(
        f"second half: {min(second_half) / 1024:.1f} to {max(second_half) / 1024:.1f} MB; its last "
        f"third relative to its first {growth_kb / 1024:+.2f} MB"
    )
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1))
    if args.plot:
        Path(args.plot).write_text(
            draw(
                "What a gateway holds while all changes",
                "minutes",
                "MB",
                [Line("memory", [(row["s"] / 60, row["kb"] / 1024) for row in rows])],
            )
        )


if __name__ == "__main__":
    main()
