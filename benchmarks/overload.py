"""What becomes of requests when more come than the gateway's core can do?

    python benchmarks/overload.py [--seconds 10] [--times 0.7 1 2 3] [--hosts 50] [--json FILE] [--plot FILE]

One gateway on one core, hosts that answer at once, and load by a schedule that does not wait for answers,
from three processes over 24 connections. First its peak, in a closed loop; then so many times that, with
`overload.on` and without. A fifth of the requests are of a plan worth three times the other's. Times are from
when a request was due to be sent."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

import request_cost  # noqa: E402
from plots import Line, draw  # noqa: E402
from request_cost import FastHost, cpu, memory  # noqa: E402
from workers import LOAD as CLOSED  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

SENDERS, CONNECTIONS = 3, 8
AIM = 1.0  # s
OPEN = """
import asyncio, json, sys, time, uvloop
from collections import deque
RATE, SECONDS, PORT, NUMBER = {rate!r}, {seconds!r}, {port!r}, {number!r}

class Line(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.due, self.buffer, self.out = transport, deque(), b"", []
    def data_received(self, data):
        now, parts = time.monotonic(), (self.buffer + data).split(b"\\r\\n")
        self.buffer = parts.pop()
        for part in parts:
            if part[:1] == b"$":
                continue
            gold, due = self.due.popleft()
            took[gold][part[:1] == b"-"].append(now - due)
            if part[:1] == b"-" and part[:5] != b"-BUSY":
                odd.append(part.decode())

took, odd = [[[], []], [[], []]], []

async def main():
    loop = asyncio.get_running_loop()
    lines = [(await loop.create_connection(Line, "127.0.0.1", PORT))[1] for _ in range({connections})]
    began, sent = time.monotonic(), 0
    while (now := time.monotonic()) < began + SECONDS:
        while sent < (now - began) * RATE:
            gold, line = sent % 5 == 0, lines[sent % len(lines)]
            terms = b"c=read,t=%s,d=3000,units=1,spread=1,first=0" % (b"gold" if gold else b"basic")
            id = b"%d-%010d" % (NUMBER, sent)
            line.out.append(b"*4\\r\\n$8\\r\\nAPI.READ\\r\\n$16\\r\\n%016x\\r\\n" % (sent % 97 + 700)
                            + b"$%d\\r\\n%s\\r\\n$%d\\r\\n%s\\r\\n" % (len(id), id, len(terms), terms))
            line.due.append((gold, began + sent / RATE))
            sent += 1
        for line in lines:
            if line.out:
                line.transport.write(b"".join(line.out))
                line.out.clear()
        await asyncio.sleep(0.001)
    for _ in range(100):
        if not any(line.due for line in lines):
            break
        await asyncio.sleep(0.05)
    print(json.dumps(dict(sent=sent, took=took, odd=odd[:5], left=sum(len(line.due) for line in lines))))

uvloop.run(main())
"""


def run(texts: list[str], seconds: float, cores: set[int]) -> list[str]:
    running = [
        subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE, text=True) for text in texts
    ]
    for one in running:
        os.sched_setaffinity(one.pid, cores)
    return [one.communicate(timeout=seconds + 60)[0] for one in running]


def at(times: list[float], part: float) -> float:
    return sorted(times)[min(len(times) - 1, int(part * len(times)))] if times else 0.0


async def measure(
    on: bool, loads: list[float], seconds: float, folder: Path, peak: float, fleet: int
) -> list[dict[str, Any]]:
    loop, cores = asyncio.get_running_loop(), os.sched_getaffinity(0)
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(fleet)]
    port, own = free_port(), {min(cores)}
    (folder / "hosts.toml").write_text(
        "".join(
            f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{host.sockets[0].getsockname()[1]}"\n'
            for n, host in enumerate(hosts)
        )
    )
    (folder / "gateway.toml").write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[overload]\non = {str(on).lower()}\n'
        f'[classes.read]\neffect = "safe"\naim = {AIM}\ndeadline = 3.0\n'
        "[plans.basic]\nrate = 1000000.0\nburst = 1000000.0\n"
        "[plans.gold]\nrate = 1000000.0\nburst = 1000000.0\nprice = 3.0\n"
    )
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
    while b"listens on" not in (line := await program.stderr.readline()):
        if not line:
            raise RuntimeError("it does not start")
    reading = loop.create_task(program.stderr.read())
    os.sched_setaffinity(program.pid, own)
    others = cores - own
    os.sched_setaffinity(0, others)
    rows = []
    try:
        if not peak:
            for length in (1.0, 4.0):  # the first warms up
                told = await asyncio.to_thread(
                    run,
                    [
                        CLOSED.format(
                            paths=[str(ROOT), str(ROOT / "benchmarks")],
                            plan=b"basic",
                            connections=CONNECTIONS,
                            customers=97,
                            number=n,
                            seconds=length,
                            port=port,
                        )
                        for n in range(SENDERS)
                    ],
                    length,
                    others,
                )
            peak = sum(int(one.split()[0]) for one in told) / length
        for times in loads:
            before = cpu(program.pid)
            texts = [
                OPEN.format(
                    rate=peak * times / SENDERS, seconds=seconds, port=port, number=n, connections=CONNECTIONS
                )
                for n in range(SENDERS)
            ]
            told = await asyncio.to_thread(run, texts, seconds, others)
            heard = [json.loads(one) for one in told]
            kinds = [
                [sum((one["took"][gold][bad] for one in heard), []) for bad in (0, 1)] for gold in (0, 1)
            ]
            served, refused = kinds[0][0] + kinds[1][0], kinds[0][1] + kinds[1][1]
            rows.append(
                {
                    "on": on,
                    "times": times,
                    "peak": peak,
                    "sent": sum(one["sent"] for one in heard) / seconds,
                    "good": sum(t <= AIM for t in served) / seconds,
                    "served": len(served) / seconds,
                    "refused": len(refused) / seconds,
                    "p50": at(served, 0.5),
                    "p99": at(served, 0.99),
                    "most": max(served, default=0.0),
                    "refused_p50": at(refused, 0.5),
                    "refused_p99": at(refused, 0.99),
                    "left": sum(one["left"] for one in heard),
                    "gold": len(kinds[1][0]) / max(1, len(kinds[1][0]) + len(kinds[1][1])),
                    "basic": len(kinds[0][0]) / max(1, len(kinds[0][0]) + len(kinds[0][1])),
                    "odd": sum((one["odd"] for one in heard), [])[:3],
                    "cpu": (cpu(program.pid) - before) / seconds,
                    "kb": memory(program.pid),
                }
            )
            await asyncio.sleep(1.0)
    finally:
        program.send_signal(signal.SIGTERM)
        await asyncio.gather(program.wait(), reading)
        for host in hosts:
            host.close()
        os.sched_setaffinity(0, cores)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--times", type=float, nargs="+", default=[0.7, 1.0, 2.0, 3.0])
    parser.add_argument("--plot", metavar="FILE")
    parser.add_argument("--early", choices=["on", "off", "both"], default="both")
    parser.add_argument("--hosts", type=int, default=50)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    request_cost.CONNECTIONS = CONNECTIONS
    figures: list[dict[str, Any]] = []
    print(
        f"{'early':5} {'times':>5} {'sent/s':>7} {'good/s':>7} {'of peak':>7} {'refused':>8} {'p50 ms':>7} "
        f"{'p99 ms':>7} {'most':>7} {'ref p50':>8} {'ref p99':>8} {'gold':>5} {'basic':>5} {'cpu':>5} "
        f"{'left':>5}"
    )
    for on in {"on": [True], "off": [False], "both": [True, False]}[told.early]:
        with tempfile.TemporaryDirectory(prefix="overload-") as folder:
            rows = uvloop.run(
                measure(
                    on,
                    told.times,
                    told.seconds,
                    Path(folder),
                    figures[0]["peak"] if figures else 0.0,
                    told.hosts,
                )
            )
        for row in rows:
            print(
                f"{'on' if on else 'off':5} {row['times']:5.1f} {row['sent']:7.0f} {row['good']:7.0f} "
                f"{row['good'] / row['peak']:7.2f} {row['refused']:8.0f} {row['p50'] * 1e3:7.1f} "
                f"{row['p99'] * 1e3:7.1f} {row['most'] * 1e3:7.0f} {row['refused_p50'] * 1e3:8.1f} "
                f"{row['refused_p99'] * 1e3:8.1f} {row['gold']:5.2f} {row['basic']:5.2f} {row['cpu']:5.2f} "
                f"{row['left']:5d} {row['odd'] or ''}",
                flush=True,
            )
        figures += rows
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))
    if told.plot:
        lines = [
            Line(
                f"{what}, early {'on' if on else 'off'}",
                [
                    (row["times"], row[key] / (row["peak"] if key == "good" else 1.0))
                    for row in figures
                    if row["on"] == on
                ],
                not on,
            )
            for key, what in (("good", "in time, of peak"), ("gold", "of worth 3"))
            for on in sorted({row["on"] for row in figures}, reverse=True)
        ]
        Path(told.plot).write_text(draw("Served in time as more comes", "times the peak", "part", lines))


if __name__ == "__main__":
    main()
