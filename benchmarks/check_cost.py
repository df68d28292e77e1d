"""What does a check by gRPC cost the gateway, beside a bare echo on the same server and a RESP2 refusal?

    python benchmarks/check_cost.py [--calls 8000] [--rounds 5] [--json FILE]

One gateway with both listeners, and a program that is the gateway's own gRPC server with a method that sends
back what it got, each on the same core in turn; the client is grpcio in another process, 32 calls in flight
over two channels. A check that is granted, one that is over its quota; then RESP2 requests over 24
connections, refused for the same quota, and served, with the gRPC listener idle and on a gateway that has
none. CPU is what the kernel booked; medians, ratios by pairs."""

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
from grpc_servers import CLIENT, METHOD  # noqa: E402
from request_cost import FastHost, cpu, memory  # noqa: E402

from apigateway.emulators.counter import EmulatedCounter  # noqa: E402
from apigateway.emulators.ports import free_port  # noqa: E402

ECHO = """
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
ASKER = (
    CLIENT.replace("            assert response.statuses[0].limit_remaining == 5\n", "")
    .replace('"00000000000000ff"', "CUSTOMER")
    .replace('"basic"', "PLAN")
    .replace("FLIGHT = int", "FLIGHT, CUSTOMER, PLAN = int")
    .replace("int(sys.argv[3]), 32", "int(sys.argv[3]), 32, sys.argv[4], sys.argv[5]")
)
PLANS = "[plans.free]\nrate = 1000000.0\nburst = 1000000.0\n[plans.spent]\nrate = 0.001\nburst = 1.0\n"
RULE = (
    '[[ratelimit.rules]]\ndomain = "payroll"\nentries = ["customer", "plan"]\ncustomer = "{customer}"\n'
    'plan = "{plan}"\nclass = "read"\n'
)


async def gateway(folder: Path, name: str, ports: list[int], counter: int, port: int, grpc: int) -> Any:
    (folder / "hosts.toml").write_text(
        "".join(f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{one}"\n' for n, one in enumerate(ports))
    )
    listener = f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{grpc}"\n' if grpc else ""
    file = folder / f"{name}.toml"
    file.write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n{listener}[counter]\n'
        f'address = "127.0.0.1:{counter}"\n[overload]\non = false\n'
        '[classes.read]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\n' + PLANS + RULE * bool(grpc)
    )
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "apigateway", "serve", str(file), cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    assert program.stderr is not None
    for _ in range(1 + bool(grpc)):
        while b"listens on" not in (line := await program.stderr.readline()):
            if not line:
                raise RuntimeError("it does not start")
    asyncio.get_running_loop().create_task(program.stderr.read())
    return program


async def asked(pid: int, port: int, calls: int, customer: str, plan: str) -> tuple[float, float, float]:
    """CPU us a call, p50 and p99 in ms."""
    before = cpu(pid)
    client = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        ASKER,
        str(port),
        METHOD,
        str(calls),
        customer,
        plan,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await client.communicate()
    p50, p99 = map(float, out.split())
    return (cpu(pid) - before) / calls * 1e6, p50, p99


async def requested(pid: int, port: int, requests: int, plan: bytes) -> tuple[float, float, float]:
    command = request_cost.Load.command

    def other(self: Any) -> bytes:
        told = (
            command(self).replace(b"t=p,", b"t=%s," % plan).replace(b"$42\r\n", b"$%d\r\n" % (41 + len(plan)))
        )
        # A customer has the plan that it first came with.
        return told.replace(b"$16\r\n00000000", b"$16\r\n00000001") if plan == b"spent" else told

    request_cost.Load.command = other  # type: ignore[method-assign]
    try:
        before = cpu(pid)
        took, _ = await request_cost.load(port, requests)
    finally:
        request_cost.Load.command = command  # type: ignore[method-assign]
    mean = took / requests * request_cost.CONNECTIONS * 1000
    return (cpu(pid) - before) / requests * 1e6, mean, float("nan")


async def measure(calls: int, rounds: int, folder: Path) -> dict[str, Any]:
    loop, cores = asyncio.get_running_loop(), sorted(os.sched_getaffinity(0))
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(9)]
    ports = [host.sockets[0].getsockname()[1] for host in hosts]
    port, grpc, plain, echo = (free_port() for _ in range(4))
    rows: dict[str, list[tuple[float, float, float]]] = {}
    async with EmulatedCounter() as counter:
        both = await gateway(folder, "both", ports, counter.port, port, grpc)
        alone = await gateway(folder, "alone", ports, counter.port, plain, 0)
        bare = await asyncio.create_subprocess_exec(
            sys.executable, "-c", ECHO, str(echo), METHOD, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        assert bare.stdout is not None and await bare.stdout.readline() == b"up\n"
        programs = (both, alone, bare)
        for program in programs:
            os.sched_setaffinity(program.pid, {cores[0]})
        os.sched_setaffinity(0, set(cores[1:]) or set(cores))
        for number in range(rounds + 1):
            told = {
                "bare echo, gRPC": await asked(bare.pid, echo, calls, "00000000000000ff", "free"),
                "check, granted": await asked(both.pid, grpc, calls, "00000000000000ff", "free"),
                "check, over": await asked(both.pid, grpc, calls, "00000000000000fe", "spent"),
                "RESP2, refused": await requested(both.pid, port, calls, b"spent"),
                "RESP2, served, gRPC idle": await requested(both.pid, port, calls, b"free"),
                "RESP2, served, no gRPC": await requested(alone.pid, plain, calls, b"free"),
            }
            for name, row in told.items():
                if number:  # the first warms up
                    rows.setdefault(name, []).append(row)
        kb = {"with gRPC": memory(both.pid), "without": memory(alone.pid)}
        for program in programs:
            program.send_signal(signal.SIGTERM)
            await program.wait()
    for host in hosts:
        host.close()
    echoes = [row[0] for row in rows["bare echo, gRPC"]]
    table = {
        name: {
            "cpu_us": statistics.median(row[0] for row in some),
            "of_echo": statistics.median(row[0] / e for row, e in zip(some, echoes, strict=True)),
            "p50_ms": statistics.median(row[1] for row in some),
            "p99_ms": statistics.median(row[2] for row in some),
        }
        for name, some in rows.items()
    }
    pairs = zip(rows["RESP2, served, gRPC idle"], rows["RESP2, served, no gRPC"], strict=True)
    return {"table": table, "kb": kb, "idle_of_none": statistics.median(a[0] / b[0] for a, b in pairs)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=8000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="check-cost-") as folder:
        figures = uvloop.run(measure(told.calls, told.rounds, Path(folder)))
    print(f"{'':26} {'CPU us':>7} {'of echo':>8} {'p50 ms':>7} {'p99 ms':>7}")
    for name, row in figures["table"].items():
        print(
            f"{name:26} {row['cpu_us']:7.1f} {row['of_echo']:8.2f} {row['p50_ms']:7.2f} {row['p99_ms']:7.2f}"
        )
    print(
        f"RESP2 with an idle gRPC listener, of one without: {figures['idle_of_none']:.3f}; memory "
        f"{figures['kb']['with gRPC'] / 1024:.1f} MB and {figures['kb']['without'] / 1024:.1f} MB"
    )
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    try:
        main()
    except subprocess.SubprocessError as err:
        sys.exit(str(err))
