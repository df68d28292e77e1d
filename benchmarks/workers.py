"""Measures the requests per second that 1, 2 and 4 workers serve, and how well quotas hold across workers.

    python benchmarks/workers.py [--seconds 4] [--clients 4] [--json FILE]

Each run starts a supervisor with its workers on one address, and hosts that answer immediately. The load
comes from `--clients` processes in a closed loop over 48 connections. For the quota, one customer sends ten
times its rate for the same time; the column `beyond` is the excess over its quota (burst plus rate times the
time), as a share of that quota.
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
import time
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from request_cost import FastHost  # noqa: E402

from apigateway.emulators.counter import EmulatedCounter  # noqa: E402
from apigateway.emulators.ports import free_port  # noqa: E402

HOSTS, CONNECTIONS = 9, 48
RATE, BURST = 200.0, 400.0  # units/s and units of the customer in the quota test
CLOSED_LOOP_CODE = """
import asyncio, sys, time, uvloop
sys.path[:0] = {paths!r}
import request_cost
request_cost.CONNECTIONS = {connections}

class TimedLoad(request_cost.ClosedLoopLoad):
    def command(self):
        if time.monotonic() > self.end_at:
            self.unsent = 0
        self.number += 1
        options = b"c=read,t=%s,d=3000,units=1,spread=1,first=0" % {plan!r}
        customer = b"%016x" % (self.number % {customers} + {customers} * 7)
        request_id = b"%d-%010d" % ({number}, self.number)
        return b"*4\\r\\n$8\\r\\nAPI.READ\\r\\n$16\\r\\n%s\\r\\n$%d\\r\\n%s\\r\\n$%d\\r\\n%s\\r\\n" % (
            customer, len(request_id), request_id, len(options), options)

async def main():
    load = TimedLoad(10 ** 9)
    load.end_at = time.monotonic() + {seconds}
    loop = asyncio.get_running_loop()
    for _ in range({connections}):
        await loop.create_connection(lambda: request_cost.LoadConnection(load), "127.0.0.1", {port})
    await load.done.wait()
    print(load.number - load.bad_answers, load.bad_answers)

uvloop.run(main())
"""


def run_clients(port: int, count: int, seconds: float, plan: bytes, customers: int) -> tuple[int, int]:
    """Run a closed loop in several processes; return the numbers of served and refused requests."""
    paths = [str(ROOT), str(ROOT / "benchmarks")]
    processes = [
        subprocess.Popen(
            [
                sys.executable,
                "-c",
                CLOSED_LOOP_CODE.format(
                    paths=paths,
                    connections=CONNECTIONS // count,
                    plan=plan,
                    customers=customers,
                    number=number,
                    seconds=seconds,
                    port=port,
                ),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(count)
    ]
    outputs = [process.communicate(timeout=seconds + 30)[0].split() for process in processes]
    return sum(int(served) for served, _ in outputs), sum(int(refused) for _, refused in outputs)


async def measure(workers: int, seconds: float, client_count: int, folder: Path) -> dict[str, float]:
    loop = asyncio.get_running_loop()
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(HOSTS)]
    port = free_port()
    (folder / "hosts.toml").write_text(
        "".join(
            f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{host.sockets[0].getsockname()[1]}"\n'
            for n, host in enumerate(hosts)
        )
    )
    async with EmulatedCounter() as counter:
        (folder / "gateway.toml").write_text(
            f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[counter]\naddress = "127.0.0.1:{counter.port}"\n'
            '[classes.read]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\n'
            "[plans.free]\nrate = 1000000.0\nburst = 1000000.0\n"
            f"[plans.held]\nrate = {RATE}\nburst = {BURST}\n"
        )
        gateway = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "apigateway",
            "serve",
            str(folder / "gateway.toml"),
            "--workers",
            str(workers),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        assert gateway.stderr is not None
        while b" listen on " not in (line := await gateway.stderr.readline()) and (
            workers > 1 or b"listens on" not in line
        ):
            if not line:
                raise RuntimeError("the gateway does not start")
        stderr_reader = loop.create_task(gateway.stderr.read())
        await asyncio.to_thread(run_clients, port, client_count, 1.0, b"free", 97)
        served, _ = await asyncio.to_thread(run_clients, port, client_count, seconds, b"free", 97)
        started_at = time.monotonic()
        passed, refused = await asyncio.to_thread(run_clients, port, client_count, seconds, b"held", 1)
        elapsed = time.monotonic() - started_at
        gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(gateway.wait(), stderr_reader)
    for host in hosts:
        host.close()
    quota = BURST + RATE * elapsed
    return {
        "rps": served / seconds,
        "passed": float(passed),
        "quota": quota,
        "beyond": max(0.0, passed - quota) / quota,
        "refusals_rps": refused / seconds,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    figures: dict[str, Any] = {}
    print(
        f"{'workers':>8} {'served/s':>9} {'of linear':>10} {'passed':>8} {'quota':>8} {'beyond':>7}"
        f" {'refused/s':>10}   cores {len(os.sched_getaffinity(0))}"
    )
    for workers in (1, 2, 4):
        with tempfile.TemporaryDirectory(prefix="workers-") as folder:
            row = uvloop.run(measure(workers, args.seconds, args.clients, Path(folder)))
        figures[str(workers)] = row
        linear = row["rps"] / (figures["1"]["rps"] * workers)
        print(
            f"{workers:8d} {row['rps']:9.0f} {linear:10.2f} {row['passed']:8.0f} {row['quota']:8.0f} "
            f"{row['beyond']:7.2f} {row['refusals_rps']:10.0f}",
            flush=True,
        )
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
