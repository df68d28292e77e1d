"""Does a gateway grow while everything about it changes all the time?

    python benchmarks/soak.py [--minutes 10] [--rate 1500] [--json FILE] [--plot FILE.svg]

One gateway on one core. Of 60 hosts half are listed; ten of them are replaced each second, under ever new
ids, and some hang up on what they are asked. Customers come once, but for a tenth of the requests, which are
one's; clients make a new connection after 200 requests, and leave one in fifty with its answers unread. Every
20 s a reload. Prints what the gateway holds each half minute, and how much the second half grew."""

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
from request_cost import FastHost, cpu, memory  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

HOSTS, LISTED, REPLACED, LINES, EACH = 60, 30, 10, 16, 200
rng = random.Random(1)


class RudeHost(FastHost):
    """Hangs up now and then."""

    def data_received(self, data: bytes) -> None:
        if rng.random() < 0.002:
            self.transport.abort()
        else:
            super().data_received(data)


class Load:
    def __init__(self, port: int, rate: float) -> None:
        self.port, self.rate, self.number = port, rate, 0
        self.served = self.refused = self.lost = 0
        self.stop = False

    def command(self) -> bytes:
        self.number += 1
        customer = 1 if self.number % 10 == 0 else self.number + 100
        id = b"s%010d" % self.number
        terms = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
        return b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n" % (
            customer,
            len(id),
            id,
            len(terms),
            terms,
        )

    async def line(self) -> None:
        while not self.stop:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                for n in range(EACH):
                    writer.write(self.command())
                    if n == EACH - 1 and rng.random() < 0.02:
                        break
                    told = await reader.readline()
                    if told[:1] == b"$":
                        await reader.readline()
                        self.served += 1
                    else:
                        self.refused += 1
                    await asyncio.sleep(max(0.0, rng.expovariate(self.rate / LINES)))
                writer.close()
            except OSError:
                self.lost += 1
                await asyncio.sleep(0.01)


async def churn(folder: Path, ports: list[int]) -> None:
    listed = [(f"h{n}", ports[n]) for n in range(LISTED)]
    number = LISTED
    while True:
        text = "".join(f'[[hosts]]\nid = "{name}"\naddress = "127.0.0.1:{port}"\n' for name, port in listed)
        (folder / "new.toml").write_text(text)
        os.rename(folder / "new.toml", folder / "hosts.toml")
        await asyncio.sleep(1.0)
        for _ in range(REPLACED):
            listed.pop(0)
            listed.append((f"h{number}", ports[number % HOSTS]))
            number += 1


async def soak(minutes: float, rate: float, folder: Path) -> list[dict[str, Any]]:
    loop, cores = asyncio.get_running_loop(), os.sched_getaffinity(0)
    hosts = [await loop.create_server(RudeHost, "127.0.0.1", 0) for _ in range(HOSTS)]
    churning = loop.create_task(churn(folder, [host.sockets[0].getsockname()[1] for host in hosts]))
    await asyncio.sleep(0.1)
    port = free_port()
    settings = (
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[classes.read]\neffect = "safe"\naim = 1.0\n'
        "deadline = 3.0\n[plans.p]\nrate = 20.0\nburst = 40.0\n"
    )
    (folder / "gateway.toml").write_text(settings)
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "apigateway",
        "serve",
        str(folder / "gateway.toml"),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    assert program.stderr is not None
    while b"listens on" not in await program.stderr.readline():
        pass
    reading = loop.create_task(program.stderr.read())
    os.sched_setaffinity(program.pid, {min(cores)})
    load = Load(port, rate)
    lines = [loop.create_task(load.line()) for _ in range(LINES)]
    rows: list[dict[str, Any]] = []
    began, beats = time.monotonic(), 0
    print(f"{'s':>6} {'MB':>7} {'fds':>5} {'served':>9} {'refused':>8} {'lost':>5} {'cpu s':>7}")
    while time.monotonic() < began + minutes * 60:
        await asyncio.sleep(10.0)
        beats += 1
        if beats % 2 == 0:
            (folder / "gateway.toml").write_text(settings + f"[limits]\nmax_open = {10000 + beats}\n")
            program.send_signal(signal.SIGHUP)
        row = {
            "s": round(time.monotonic() - began),
            "kb": memory(program.pid),
            "fds": len(os.listdir(f"/proc/{program.pid}/fd")),
            "served": load.served,
            "refused": load.refused,
            "lost": load.lost,
            "cpu": cpu(program.pid),
        }
        rows.append(row)
        if beats % 3 == 0:
            print(
                f"{row['s']:6d} {row['kb'] / 1024:7.1f} {row['fds']:5d} {row['served']:9d} "
                f"{row['refused']:8d} {row['lost']:5d} {row['cpu']:7.1f}",
                flush=True,
            )
    load.stop = True
    await asyncio.gather(*lines, return_exceptions=True)
    churning.cancel()
    program.send_signal(signal.SIGTERM)
    code, _ = await asyncio.gather(program.wait(), reading)
    for host in hosts:
        host.close()
    print(f"exit code {code}")
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=1500.0)
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--plot", metavar="FILE")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        rows = uvloop.run(soak(told.minutes, told.rate, Path(folder)))
    half = [row["kb"] for row in rows[len(rows) // 2 :]]
    third = max(1, len(half) // 3)
    grown = sum(half[-third:]) / third - sum(half[:third]) / third
    print(
        f"second half: {min(half) / 1024:.1f} to {max(half) / 1024:.1f} MB; its last third against its "
        f"first {grown / 1024:+.2f} MB"
    )
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1))
    if told.plot:
        Path(told.plot).write_text(
            draw(
                "What a gateway holds while all changes",
                "minutes",
                "MB",
                [Line("memory", [(row["s"] / 60, row["kb"] / 1024) for row in rows])],
            )
        )


if __name__ == "__main__":
    main()
