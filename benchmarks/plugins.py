"""Measures the cost of plug-ins: per request, of a plug-in that loops forever, and of loading and swapping.

    python benchmarks/plugins.py [--rounds 5] [--requests 10000] [--json FILE]

`inside`: us per request that plug-ins take in one process, without sockets. `requests`: gateway processes on
one core, in turn, without plug-ins and with one and three in both forms (the district tag); CPU is the
process time that the kernel reports. `a loop`: the same load with a plug-in that loops forever at each call,
once with the default circuit breaker and once with it disabled, so that only the CPU share limits the
plug-in. `loads`: 1, 10 and 50 plug-ins, loaded and then all replaced, in a separate process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
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

from request_cost import FastHost, Program, cpu_seconds, run_load  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402
from apigateway.plugins.testkit import module  # noqa: E402

HOSTS, WARM_UP_REQUESTS = 9, 1000
EXAMPLE = ROOT / "examples" / "plugins" / "districts"
TABLE = "".join(f'{n:016x} = "d{n % 7}"\n' for n in range(1, 98))
# Loops forever on each request, except the sample requests of the validation, whose ids begin with p.
LOOPING_MODULE = module(
    '(func (export "on_request") (param i32) (result i64) (if (i32.eq (i32.load8_u (i32.load '
    "(i32.const 4152))) (i32.const 112)) (then (return (i64.const 0))))"
    "(loop $l (br $l)) (i64.const 0))"
)


def plugin(name: str, file: str, budget: str = "") -> str:
    """Return the settings of one plug-in."""
    return (
        f'[[plugins]]\nname = "{name}"\nfile = "{file}"\n[plugins.budget]\nshare = 1.0\n{budget}\n'
        f"[plugins.settings.district]\n{TABLE}"
    )


CASES = {
    "none": "",
    "1 by rules": plugin("a", str(EXAMPLE / "rules.toml")),
    "3 by rules": "".join(plugin(name, str(EXAMPLE / "rules.toml")) for name in "abc"),
    "1 module": plugin("a", str(EXAMPLE / "districts.wat")),
    "3 modules": "".join(plugin(name, str(EXAMPLE / "districts.wat")) for name in "abc"),
}
LOOP_CASES = {
    "none": "",
    "by default": plugin("a", "loops.wat").replace("share = 1.0\n", ""),
    "no breaker": plugin("a", "loops.wat", "failures = 1000000").replace("share = 1.0\n", ""),
}


def start_gateway(name: str, plugins: str, host_ports: list[int], folder: Path) -> Program:
    port, gateway_folder = free_port(), folder / name.replace(" ", "-")
    gateway_folder.mkdir()
    (gateway_folder / "loops.wat").write_text(LOOPING_MODULE)
    (gateway_folder / "hosts.toml").write_text(
        "".join(
            f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{host_port}"\n'
            for n, host_port in enumerate(host_ports)
        )
    )
    (gateway_folder / "gateway.toml").write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[classes.read]\neffect = "safe"\n'
        f"aim = 1.0\ndeadline = 3.0\n"
        f"[plans.p]\nrate = 100000.0\nburst = 1000000.0\n{plugins}"
    )
    return Program(
        name,
        [sys.executable, "-B", "-m", "apigateway", "serve", str(gateway_folder / "gateway.toml")],
        ROOT,
        {},
        port,
    )


async def measure_latencies(port: int, requests: int) -> list[float]:
    """Send requests one after another on one connection; return the latency of each in ms."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    latencies = []
    options = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
    for n in range(requests):
        request_id = b"s%d-%d" % (n, time.monotonic_ns())
        started_at = time.perf_counter()
        writer.write(
            b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n"
            % (b"%016x" % (n % 97 + 1), len(request_id), request_id, len(options), options)
        )
        line = await reader.readline()
        if not line.startswith(b"$"):
            raise RuntimeError(f"the answer is not a value: {line!r}")
        await reader.readexactly(int(line[1:]) + 2)
        latencies.append((time.perf_counter() - started_at) * 1000)
        await asyncio.sleep(0.001)
    writer.close()
    return latencies


def run(args: argparse.Namespace) -> dict[str, Any]:
    return uvloop.run(measure(args.rounds, args.requests))


async def measure(rounds: int, requests: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(HOSTS)]
    ports = [host.sockets[0].getsockname()[1] for host in hosts]
    gateway_core = min(os.sched_getaffinity(0))
    figures: dict[str, Any] = {"requests": {}, "a loop": {}}
    with tempfile.TemporaryDirectory(prefix="plugins-") as folder:
        programs = [start_gateway(name, plugins, ports, Path(folder)) for name, plugins in CASES.items()]
        os.sched_setaffinity(0, os.sched_getaffinity(0) - {gateway_core})
        try:
            for program in programs:
                await program.wait_until_ready(True)
                await run_load(program.port, WARM_UP_REQUESTS)
            for _ in range(rounds):
                for program in programs:
                    await program.run_round(requests)
        finally:
            for program in programs:
                program.stop()
        baseline_us = programs[0].cpu_us
        for program in programs:
            more_us = statistics.median(a - b for a, b in zip(program.cpu_us, baseline_us, strict=True))
            figures["requests"][program.name] = {
                "cpu_us": statistics.median(program.cpu_us),
                "more_us": more_us,
                "memory_kb": program.memory_kb,
            }
        for name, plugins in LOOP_CASES.items():
            program = start_gateway(f"loop {name}", plugins, ports, Path(folder))
            try:
                await program.wait_until_ready(True)
                cpu_before, started_at = cpu_seconds(program.process.pid), time.monotonic()
                latencies = sorted(await measure_latencies(program.port, requests))
                elapsed = time.monotonic() - started_at
                figures["a loop"][name] = {
                    "cpu_share": (cpu_seconds(program.process.pid) - cpu_before) / elapsed,
                    "seconds": elapsed,
                    "median_ms": statistics.median(latencies),
                    "p99_ms": latencies[len(latencies) * 99 // 100],
                    "worst_ms": latencies[-1],
                }
            finally:
                program.stop()
    for host in hosts:
        host.close()
    figures["loads"] = {
        f"{count} {kind}": measure_loads(count, kind)
        for kind in ("rules", "modules")
        for count in (1, 10, 50)
    }
    return figures


CHILD_CODE = """
import json, os, sys, time
sys.path.insert(0, {root!r})
def memory_kb():
    return next(int(line.split()[1]) for line in open("/proc/self/status") if line.startswith("VmRSS"))
import msgspec, apigateway.config_validation
memory_before = memory_kb()
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.manager import PluginManager
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit import settings
def sections(version):
    return [PluginSection(name=f"p{{n}}", file={file!r}, settings={{"district": {{"a": f"{{version}}"}}}})
            for n in range({count})]
environment = PluginEnvironment("/", settings())
started_at = time.perf_counter(); first = load_chain(sections(0), HooksSection(), environment)
load_s = time.perf_counter() - started_at
manager = PluginManager(first, time.time, None, 1.0)
started_at = time.perf_counter(); second = load_chain(sections(1), HooksSection(), environment, first)
reload_s = time.perf_counter() - started_at
started_at = time.perf_counter(); manager.swap(second); swap_s = time.perf_counter() - started_at
memory_after = memory_kb()
for version in range(2, 8):
    manager.swap(load_chain(sections(version), HooksSection(), environment, manager.version))
print(json.dumps({{"load_s": load_s, "again_s": reload_s, "swap_ms": swap_s * 1000,
                   "memory_kb": memory_after - memory_before,
                   "six_more_kb": memory_kb() - memory_after}}))
"""


def measure_loads(count: int, kind: str) -> dict[str, float]:
    """Load and swap plug-ins in a child process; return its times and memory."""
    file = str(EXAMPLE / ("rules.toml" if kind == "rules" else "districts.wat"))
    child = subprocess.run(
        [sys.executable, "-c", CHILD_CODE.format(root=str(ROOT), file=file, count=count)],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    figures: dict[str, float] = json.loads(child.stdout)
    return figures


def measure_inside(count: int, kind: str, requests: int = 20_000) -> float:
    """Return the us that plug-ins take for a request: its arrival, one attempt and its answer."""
    from apigateway import messages
    from apigateway.plugins.loader import PluginEnvironment, load_chain
    from apigateway.plugins.manager import PluginManager
    from apigateway.plugins.settings import BudgetSection, HooksSection, PluginSection
    from apigateway.plugins.testkit import settings

    file = str(EXAMPLE / ("rules.toml" if kind == "rules" else "districts.wat"))
    table = {f"{n:016x}": f"d{n % 7}" for n in range(1, 98)}
    sections = [
        PluginSection(name=f"p{n}", file=file, settings={"district": table}, budget=BudgetSection(share=1.0))
        for n in range(count)
    ]
    manager = PluginManager(
        load_chain(sections, HooksSection(), PluginEnvironment("/", settings())),
        time.time,
        asyncio.new_event_loop(),
        1.0,
    )
    sample_requests = [
        messages.Request(f"r{n}", 3.0, f"{n + 1:016x}", "basic", "roster-read", 1.0, 0, 1) for n in range(97)
    ]
    started_at = time.perf_counter()
    for n in range(requests):
        request_hooks, _ = manager.on_request(sample_requests[n % 97])
        request_hooks.on_attempt("h1")
        request_hooks.on_end("served")
    elapsed = time.perf_counter() - started_at
    manager.close()
    return elapsed / requests * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    figures = {
        "inside": {
            f"{count} {kind}": {"us": measure_inside(count, kind)}
            for kind in ("rules", "modules")
            for count in (0, 1, 3)
        }
    }
    figures |= run(args)
    for group, rows in figures.items():
        columns = list(next(iter(rows.values())))
        print(f"{group:14}" + "".join(f"{name:>12}" for name in columns))
        for name, row in rows.items():
            print(f"{name:14}" + "".join(f"{row[column]:12.2f}" for column in columns))
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
