"""Measures the gateway's CPU cost of a gRPC check, compared with a gRPC echo and with RESP2 requests.

    python benchmarks/check_cost.py [--calls 8000] [--rounds 5] [--json FILE]

The programs run in turn on one core: a gateway with both listeners, one without the gRPC listener, and the
gateway's own gRPC server with a method that echoes its message. The gRPC client is grpcio in another process,
with 32 calls in flight over two channels. Measured are a check that is granted and one over its quota, then
RESP2 requests over 24 connections: refused because of the same quota, served while the gRPC listener is idle,
and served by the gateway without it. CPU is the process time that the kernel reports. Prints medians, and the
medians of ratios of paired rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
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
from grpc_servers import CLIENT_CODE, METHOD  # noqa: E402
from request_cost import FastHost, cpu_seconds, memory_kb  # noqa: E402

from apigateway.emulators.counter import EmulatedCounter  # noqa: E402
from apigateway.emulators.ports import free_port  # noqa: E402

ECHO_CODE = """
import asyncio, sys, uvloop
from apigateway.frontends.grpc.frontend import GrpcFrontend
class Core:
    def register_frontend(self, frontend): pass
    def unregister_frontend(self, frontend): pass
def echo(message, timeout, responder):
    responder.respond(message)
async def main():
    frontend = GrpcFrontend(Core(), ("127.0.0.1", int(sys.argv[1])), 100)
    frontend.set_methods({sys.argv[2]: echo})
    await frontend.listen()
    print("up", flush=True)
    await asyncio.Event().wait()
uvloop.run(main())
"""
CHECK_CLIENT_CODE = (
    CLIENT_CODE.replace("            assert response.statuses[0].limit_remaining == 5\n", "")
    .replace('"00000000000000ff"', "CUSTOMER")
    .replace('"basic"', "PLAN")
    .replace("IN_FLIGHT = int", "IN_FLIGHT, CUSTOMER, PLAN = int")
    .replace("int(sys.argv[3]), 32", "int(sys.argv[3]), 32, sys.argv[4], sys.argv[5]")
)
PLANS = "[plans.free]\nrate = 1000000.0\nburst = 1000000.0\n[plans.spent]\nrate = 0.001\nburst = 1.0\n"
RULE = (
    '[[ratelimit.rules]]\ndomain = "payroll"\nentries = ["customer", "plan"]\ncustomer = "{customer}"\n'
    'plan = "{plan}"\nclass = "read"\n'
)


async def start_gateway(
    folder: Path, name: str, host_ports: list[int], counter_port: int, port: int, grpc_port: int
) -> Any:
    """Start a gateway; it has no gRPC listener if `grpc_port` is 0."""
    (folder / "hosts.toml").write_text(
        "".join(
            f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{host_port}"\n'
            for n, host_port in enumerate(host_ports)
        )
    )
    listener = f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{grpc_port}"\n' if grpc_port else ""
    file = folder / f"{name}.toml"
    file.write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n{listener}[counter]\n'
        f'address = "127.0.0.1:{counter_port}"\n[overload]\non = false\n'
        '[classes.read]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\n' + PLANS + RULE * bool(grpc_port)
    )
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "apigateway", "serve", str(file), cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    assert program.stderr is not None
    for _ in range(1 + bool(grpc_port)):
        while b"listens on" not in (line := await program.stderr.readline()):
            if not line:
                raise RuntimeError("the gateway does not start")
    asyncio.get_running_loop().create_task(program.stderr.read())
    return program


async def measure_checks(
    pid: int, port: int, calls: int, customer: str, plan: str
) -> tuple[float, float, float]:
    """Return the CPU us per call, and the p50 and p99 latencies in ms."""
    before = cpu_seconds(pid)
    client = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CHECK_CLIENT_CODE,
        str(port),
        METHOD,
        str(calls),
        customer,
        plan,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await client.communicate()
    p50, p99 = map(float, out.split())
    return (cpu_seconds(pid) - before) / calls * 1e6, p50, p99


async def measure_requests(pid: int, port: int, requests: int, plan: bytes) -> tuple[float, float, float]:
    """Return the CPU us per request, its mean latency in ms, and NaN in place of the p99."""
    command = request_cost.ClosedLoopLoad.command

    def command_of_plan(self: Any) -> bytes:
        encoded = (
            command(self).replace(b"t=p,", b"t=%s," % plan).replace(b"$42\r\n", b"$%d\r\n" % (41 + len(plan)))
        )
        # A customer keeps the plan of its first request, so the plan "spent" has customers of its own.
        return encoded.replace(b"$16\r\n00000000", b"$16\r\n00000001") if plan == b"spent" else encoded

    request_cost.ClosedLoopLoad.command = command_of_plan  # type: ignore[method-assign]
    try:
        before = cpu_seconds(pid)
        seconds, _ = await request_cost.run_load(port, requests)
    finally:
        request_cost.ClosedLoopLoad.command = command  # type: ignore[method-assign]
    mean_ms = seconds / requests * request_cost.CONNECTIONS * 1000
    return (cpu_seconds(pid) - before) / requests * 1e6, mean_ms, float("nan")


async def measure(calls: int, rounds: int, folder: Path) -> dict[str, Any]:
    loop, cores = asyncio.get_running_loop(), sorted(os.sched_getaffinity(0))
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(9)]
    ports = [host.sockets[0].getsockname()[1] for host in hosts]
    port, grpc_port, resp_only_port, echo_port = (free_port() for _ in range(4))
    rows: dict[str, list[tuple[float, float, float]]] = {}
    async with EmulatedCounter() as counter:
        both = await start_gateway(folder, "both", ports, counter.port, port, grpc_port)
        resp_only = await start_gateway(folder, "alone", ports, counter.port, resp_only_port, 0)
        echo = await asyncio.create_subprocess_exec(
            sys.executable, "-c", ECHO_CODE, str(echo_port), METHOD, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        assert echo.stdout is not None and await echo.stdout.readline() == b"up\n"
        programs = (both, resp_only, echo)
        for program in programs:
            os.sched_setaffinity(program.pid, {cores[0]})
        os.sched_setaffinity(0, set(cores[1:]) or set(cores))
        for round_number in range(rounds + 1):
            round_rows = {
                "bare echo, gRPC": await measure_checks(
                    echo.pid, echo_port, calls, "00000000000000ff", "free"
                ),
                "check, granted": await measure_checks(
                    both.pid, grpc_port, calls, "00000000000000ff", "free"
                ),
                "check, over": await measure_checks(both.pid, grpc_port, calls, "00000000000000fe", "spent"),
                "RESP2, refused": await measure_requests(both.pid, port, calls, b"spent"),
                "RESP2, served, gRPC idle": await measure_requests(both.pid, port, calls, b"free"),
                "RESP2, served, no gRPC": await measure_requests(
                    resp_only.pid, resp_only_port, calls, b"free"
                ),
            }
            for name, row in round_rows.items():
                if round_number:  # the first round is a warm-up
                    rows.setdefault(name, []).append(row)
        kb = {"with gRPC": memory_kb(both.pid), "without": memory_kb(resp_only.pid)}
        for program in programs:
            program.send_signal(signal.SIGTERM)
            await program.wait()
    for host in hosts:
        host.close()
    echo_us = [row[0] for row in rows["bare echo, gRPC"]]
    table = {
        name: {
            "cpu_us": statistics.median(row[0] for row in case_rows),
            "of_echo": statistics.median(row[0] / us for row, us in zip(case_rows, echo_us, strict=True)),
            "p50_ms": statistics.median(row[1] for row in case_rows),
            "p99_ms": statistics.median(row[2] for row in case_rows),
        }
        for name, case_rows in rows.items()
    }
    pairs = zip(rows["RESP2, served, gRPC idle"], rows["RESP2, served, no gRPC"], strict=True)
    return {
        "table": table,
        "kb": kb,
        "idle_of_none": statistics.median(idle[0] / none[0] for idle, none in pairs),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=8000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="check-cost-") as folder:
        figures = uvloop.run(measure(args.calls, args.rounds, Path(folder)))
    print(f"{'':26} {'CPU us':>7} {'of echo':>8} {'p50 ms':>7} {'p99 ms':>7}")
    for name, row in figures["table"].items():
        print(
            f"{name:26} {row['cpu_us']:7.1f} {row['of_echo']:8.2f} {row['p50_ms']:7.2f} {row['p99_ms']:7.2f}"
        )
    print(
        f"RESP2 with an idle gRPC listener, relative to none: {figures['idle_of_none']:.3f}; memory "
        f"{figures['kb']['with gRPC'] / 1024:.1f} MB and {figures['kb']['without'] / 1024:.1f} MB"
    )
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    try:
        main()
    except subprocess.SubprocessError as error:
        sys.exit(str(error))
