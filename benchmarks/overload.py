"""Measures how a gateway treats requests when they arrive faster than its core can handle them.

    python benchmarks/overload.py [--seconds 10] [--times 0.7 1 2 3] [--hosts 50] [--json FILE] [--plot FILE]

One gateway runs on one core, with hosts that answer immediately. Three processes send an open-loop load over
24 connections. The benchmark first measures the gateway's peak in a closed loop, then sends multiples of that
peak (`--times`), with `overload.on` and without. A fifth of the requests belong to a plan whose price weight
is three times that of the other. Latencies start when a request is due to be sent.
"""

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
from request_cost import FastHost, cpu_seconds, memory_kb  # noqa: E402
from workers import CLOSED_LOOP_CODE  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

SENDERS, CONNECTIONS = 3, 8  # processes, connections of each
LATENCY_OBJECTIVE_S = 1.0
OPEN_LOOP_CODE = """
import asyncio, json, sys, time, uvloop
from collections import deque
RATE, SECONDS, PORT, NUMBER = {rate!r}, {seconds!r}, {port!r}, {number!r}

class Connection(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.due, self.buffer, self.unsent = transport, deque(), b"", []
    def data_received(self, data):
        now, lines = time.monotonic(), (self.buffer + data).split(b"\\r\\n")
        self.buffer = lines.pop()
        for line in lines:
            if line[:1] == b"$":
                continue
            gold, due = self.due.popleft()
            latencies[gold][line[:1] == b"-"].append(now - due)
            if line[:1] == b"-" and line[:5] != b"-BUSY":
                unexpected.append(line.decode())

latencies, unexpected = [[[], []], [[], []]], []  # latencies by plan (1: gold) and by outcome (1: refused)

async def main():
    loop = asyncio.get_running_loop()
    connections = [(await loop.create_connection(Connection, "127.0.0.1", PORT))[1]
                   for _ in range({connections})]
    started_at, sent = time.monotonic(), 0
    while (now := time.monotonic()) < started_at + SECONDS:
        while sent < (now - started_at) * RATE:
            gold, connection = sent % 5 == 0, connections[sent % len(connections)]
            options = b"c=read,t=%s,d=3000,units=1,spread=1,first=0" % (b"gold" if gold else b"basic")
            request_id = b"%d-%010d" % (NUMBER, sent)
            connection.unsent.append(b"*4\\r\\n$8\\r\\nAPI.READ\\r\\n$16\\r\\n%016x\\r\\n" % (sent % 97 + 700)
                            + b"$%d\\r\\n%s\\r\\n$%d\\r\\n%s\\r\\n"
                            % (len(request_id), request_id, len(options), options))
            connection.due.append((gold, started_at + sent / RATE))
            sent += 1
        for connection in connections:
            if connection.unsent:
                connection.transport.write(b"".join(connection.unsent))
                connection.unsent.clear()
        await asyncio.sleep(0.001)
    for _ in range(100):
        if not any(connection.due for connection in connections):
            break
        await asyncio.sleep(0.05)
    print(json.dumps(dict(sent=sent, latencies=latencies, unexpected=unexpected[:5],
                          unanswered=sum(len(connection.due) for connection in connections))))

uvloop.run(main())
"""


def run_senders(codes: list[str], seconds: float, cores: set[int]) -> list[str]:
    """Run Python code in parallel processes; return what each prints."""
    processes = [
        subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, text=True) for code in codes
    ]
    for process in processes:
        os.sched_setaffinity(process.pid, cores)
    return [process.communicate(timeout=seconds + 60)[0] for process in processes]


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0


async def measure(
    is_on: bool,
    multiples: list[float],
    seconds: float,
    folder: Path,
    peak: float,
    host_count: int,
) -> list[dict[str, Any]]:
    loop, cores = asyncio.get_running_loop(), os.sched_getaffinity(0)
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(host_count)]
    port, gateway_cores = free_port(), {min(cores)}
    (folder / "hosts.toml").write_text(
        "".join(
            f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{host.sockets[0].getsockname()[1]}"\n'
            for n, host in enumerate(hosts)
        )
    )
    (folder / "gateway.toml").write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[overload]\non = {str(is_on).lower()}\n'
        f'[classes.read]\neffect = "safe"\naim = {LATENCY_OBJECTIVE_S}\ndeadline = 3.0\n'
        "[plans.basic]\nrate = 1000000.0\nburst = 1000000.0\n"
        "[plans.gold]\nrate = 1000000.0\nburst = 1000000.0\nprice = 3.0\n"
    )
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
    while b"listens on" not in (line := await gateway.stderr.readline()):
        if not line:
            raise RuntimeError("the gateway does not start")
    stderr_reader = loop.create_task(gateway.stderr.read())
    os.sched_setaffinity(gateway.pid, gateway_cores)
    other_cores = cores - gateway_cores
    os.sched_setaffinity(0, other_cores)
    rows = []
    try:
        if not peak:
            for length in (1.0, 4.0):  # the first run is a warm-up
                outputs = await asyncio.to_thread(
                    run_senders,
                    [
                        CLOSED_LOOP_CODE.format(
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
                    other_cores,
                )
            peak = sum(int(output.split()[0]) for output in outputs) / length
        for multiple in multiples:
            cpu_before = cpu_seconds(gateway.pid)
            codes = [
                OPEN_LOOP_CODE.format(
                    rate=peak * multiple / SENDERS,
                    seconds=seconds,
                    port=port,
                    number=n,
                    connections=CONNECTIONS,
                )
                for n in range(SENDERS)
            ]
            outputs = await asyncio.to_thread(run_senders, codes, seconds, other_cores)
            results = [json.loads(output) for output in outputs]
            latencies = [
                [
                    sum((result["latencies"][gold][is_refused] for result in results), [])
                    for is_refused in (0, 1)
                ]
                for gold in (0, 1)
            ]
            served, refused = latencies[0][0] + latencies[1][0], latencies[0][1] + latencies[1][1]
            rows.append(
                {
                    "on": is_on,
                    "times": multiple,
                    "peak": peak,
                    "sent": sum(result["sent"] for result in results) / seconds,
                    "good": sum(latency <= LATENCY_OBJECTIVE_S for latency in served) / seconds,
                    "served": len(served) / seconds,
                    "refused": len(refused) / seconds,
                    "p50": quantile(served, 0.5),
                    "p99": quantile(served, 0.99),
                    "most": max(served, default=0.0),
                    "refused_p50": quantile(refused, 0.5),
                    "refused_p99": quantile(refused, 0.99),
                    "left": sum(result["unanswered"] for result in results),
                    "gold": len(latencies[1][0]) / max(1, len(latencies[1][0]) + len(latencies[1][1])),
                    "basic": len(latencies[0][0]) / max(1, len(latencies[0][0]) + len(latencies[0][1])),
                    "odd": sum((result["unexpected"] for result in results), [])[:3],
                    "cpu": (cpu_seconds(gateway.pid) - cpu_before) / seconds,
                    "kb": memory_kb(gateway.pid),
                }
            )
            await asyncio.sleep(1.0)
    finally:
        gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(gateway.wait(), stderr_reader)
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
    args = parser.parse_args()
    request_cost.CONNECTIONS = CONNECTIONS
    figures: list[dict[str, Any]] = []
    print(
        f"{'early':5} {'times':>5} {'sent/s':>7} {'good/s':>7} {'of peak':>7} {'refused':>8} {'p50 ms':>7} "
        f"{'p99 ms':>7} {'most':>7} {'ref p50':>8} {'ref p99':>8} {'gold':>5} {'basic':>5} {'cpu':>5} "
        f"{'left':>5}"
    )
    for is_on in {"on": [True], "off": [False], "both": [True, False]}[args.early]:
        with tempfile.TemporaryDirectory(prefix="overload-") as folder:
            rows = uvloop.run(
                measure(
                    is_on,
                    args.times,
                    args.seconds,
                    Path(folder),
                    figures[0]["peak"] if figures else 0.0,
                    args.hosts,
                )
            )
        for row in rows:
            print(
                f"{'on' if is_on else 'off':5} {row['times']:5.1f} {row['sent']:7.0f} {row['good']:7.0f} "
                f"{row['good'] / row['peak']:7.2f} {row['refused']:8.0f} {row['p50'] * 1e3:7.1f} "
                f"{row['p99'] * 1e3:7.1f} {row['most'] * 1e3:7.0f} {row['refused_p50'] * 1e3:8.1f} "
                f"{row['refused_p99'] * 1e3:8.1f} {row['gold']:5.2f} {row['basic']:5.2f} {row['cpu']:5.2f} "
                f"{row['left']:5d} {row['odd'] or ''}",
                flush=True,
            )
        figures += rows
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))
    if args.plot:
        lines = [
            Line(
                f"{what}, early {'on' if is_on else 'off'}",
                [
                    (row["times"], row[key] / (row["peak"] if key == "good" else 1.0))
                    for row in figures
                    if row["on"] == is_on
                ],
                not is_on,
            )
            for key, what in (("good", "in time, of peak"), ("gold", "of worth 3"))
            for is_on in sorted({row["on"] for row in figures}, reverse=True)
        ]
        Path(args.plot).write_text(draw("Served in time as more comes", "times the peak", "part", lines))


if __name__ == "__main__":
    main()
