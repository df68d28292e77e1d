"""What do plug-ins cost a gateway, what does one that loops forever cost the others, what do loads and swaps
take?

    python benchmarks/plugins.py [--rounds 5] [--requests 10000] [--json FILE]

`inside`: us a request that plug-ins' code takes in one process, without a socket. `requests`: gateways of
their own processes on one core, in turn, with none, one and three plug-ins in both
forms
(the district tag); CPU is what the kernel booked. `a loop`: the same load beside a plug-in that loops
forever at
each call, with its breaker as it is by default and with it off, so that only its share of the CPU holds it.
`loads`: 1, 10 and 50 plug-ins, loaded, and all of them swapped, in a process of their own.
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

from request_cost import FastHost, Program, cpu, load  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402
from apigateway.plugins.testkit import module  # noqa: E402

HOSTS, WARM = 9, 1000
EXAMPLE = ROOT / "examples" / "plugins" / "districts"
TABLE = "".join(f'{n:016x} = "d{n % 7}"\n' for n in range(1, 98))
# Loops for all but the requests of a proof.
LOOPS = module(
    '(func (export "on_request") (param i32) (result i64) (if (i32.eq (i32.load8_u (i32.load '
    "(i32.const 4152))) (i32.const 112)) (then (return (i64.const 0))))"
    "(loop $l (br $l)) (i64.const 0))"
)


def plugin(name: str, file: str, budget: str = "") -> str:
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
LOOPING = {
    "none": "",
    "by default": plugin("a", "loops.wat").replace("share = 1.0\n", ""),
    "no breaker": plugin("a", "loops.wat", "failures = 1000000").replace("share = 1.0\n", ""),
}


def serve(name: str, plugins: str, ports: list[int], folder: Path) -> Program:
    port, place = free_port(), folder / name.replace(" ", "-")
    place.mkdir()
    (place / "loops.wat").write_text(LOOPS)
    (place / "hosts.toml").write_text(
        "".join(f'[[hosts]]\nid = "h{n}"\naddress = "127.0.0.1:{port}"\n' for n, port in enumerate(ports))
    )
    (place / "gateway.toml").write_text(
        f'[[listeners]]\naddress = "127.0.0.1:{port}"\n[classes.read]\neffect = "safe"\n'
        f"aim = 1.0\ndeadline = 3.0\n"
        f"[plans.p]\nrate = 100000.0\nburst = 1000000.0\n{plugins}"
    )
    return Program(
        name, [sys.executable, "-B", "-m", "apigateway", "serve", str(place / "gateway.toml")], ROOT, {}, port
    )


async def latencies(port: int, requests: int) -> list[float]:
    """ms of each request, one after another on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    taken = []
    terms = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
    for n in range(requests):
        id = b"s%d-%d" % (n, time.monotonic_ns())
        began = time.perf_counter()
        writer.write(
            b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n"
            % (b"%016x" % (n % 97 + 1), len(id), id, len(terms), terms)
        )
        line = await reader.readline()
        if not line.startswith(b"$"):
            raise RuntimeError(f"no value: {line!r}")
        await reader.readexactly(int(line[1:]) + 2)
        taken.append((time.perf_counter() - began) * 1000)
        await asyncio.sleep(0.001)
    writer.close()
    return taken


def run(args: argparse.Namespace) -> dict[str, Any]:
    return uvloop.run(measure(args.rounds, args.requests))


async def measure(rounds: int, requests: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    hosts = [await loop.create_server(FastHost, "127.0.0.1", 0) for _ in range(HOSTS)]
    ports = [host.sockets[0].getsockname()[1] for host in hosts]
    one = min(os.sched_getaffinity(0))
    figures: dict[str, Any] = {"requests": {}, "a loop": {}}
    with tempfile.TemporaryDirectory(prefix="plugins-") as folder:
        programs = [serve(name, text, ports, Path(folder)) for name, text in CASES.items()]
        os.sched_setaffinity(0, os.sched_getaffinity(0) - {one})
        try:
            for program in programs:
                await program.ready(True)
                await load(program.port, WARM)
            for _ in range(rounds):
                for program in programs:
                    await program.round(requests)
        finally:
            for program in programs:
                program.end()
        bare = programs[0].figures
        for program in programs:
            more = statistics.median(a - b for a, b in zip(program.figures, bare, strict=True))
            figures["requests"][program.name] = {
                "cpu_us": statistics.median(program.figures),
                "more_us": more,
                "memory_kb": program.memory,
            }
        for name, text in LOOPING.items():
            program = serve(f"loop {name}", text, ports, Path(folder))
            try:
                await program.ready(True)
                before, began = cpu(program.process.pid), time.monotonic()
                taken = sorted(await latencies(program.port, requests))
                span = time.monotonic() - began
                figures["a loop"][name] = {
                    "cpu_share": (cpu(program.process.pid) - before) / span,
                    "seconds": span,
                    "median_ms": statistics.median(taken),
                    "p99_ms": taken[len(taken) * 99 // 100],
                    "worst_ms": taken[-1],
                }
            finally:
                program.end()
    for host in hosts:
        host.close()
    figures["loads"] = {
        f"{count} {kind}": loads(count, kind) for kind in ("rules", "modules") for count in (1, 10, 50)
    }
    return figures


CHILD = """
import json, os, sys, time
sys.path.insert(0, {root!r})
def held():
    return next(int(l.split()[1]) for l in open("/proc/self/status") if l.startswith("VmRSS"))
import msgspec, apigateway.config_validation
before = held()
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.manager import PluginManager
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit import settings
def parts(turn):
    return [PluginSection(name=f"p{{n}}", file={file!r}, settings={{"district": {{"a": f"{{turn}}"}}}})
            for n in range({count})]
place = PluginEnvironment("/", settings())
began = time.perf_counter(); first = load_chain(parts(0), HooksSection(), place)
loaded = time.perf_counter() - began
hooks = PluginManager(first, time.time, None, 1.0)
began = time.perf_counter(); second = load_chain(parts(1), HooksSection(), place, first)
again = time.perf_counter() - began
began = time.perf_counter(); hooks.swap(second); swapped = time.perf_counter() - began
after = held()
for turn in range(2, 8):
    hooks.swap(load_chain(parts(turn), HooksSection(), place, hooks.version))
print(json.dumps({{"load_s": loaded, "again_s": again, "swap_ms": swapped * 1000, "memory_kb": after - before,
                   "six_more_kb": held() - after}}))
"""


def loads(count: int, kind: str) -> dict[str, float]:
    file = str(EXAMPLE / ("rules.toml" if kind == "rules" else "districts.wat"))
    ended = subprocess.run(
        [sys.executable, "-c", CHILD.format(root=str(ROOT), file=file, count=count)],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    told: dict[str, float] = json.loads(ended.stdout)
    return told


def inside(count: int, kind: str, requests: int = 20_000) -> float:
    """us that the plug-ins' own code takes for one request: taken, one attempt, answered."""
    from apigateway import messages
    from apigateway.plugins.loader import PluginEnvironment, load_chain
    from apigateway.plugins.manager import PluginManager
    from apigateway.plugins.settings import BudgetSection, HooksSection, PluginSection
    from apigateway.plugins.testkit import settings

    file = str(EXAMPLE / ("rules.toml" if kind == "rules" else "districts.wat"))
    table = {f"{n:016x}": f"d{n % 7}" for n in range(1, 98)}
    parts = [
        PluginSection(name=f"p{n}", file=file, settings={"district": table}, budget=BudgetSection(share=1.0))
        for n in range(count)
    ]
    hooks = PluginManager(
        load_chain(parts, HooksSection(), PluginEnvironment("/", settings())),
        time.time,
        asyncio.new_event_loop(),
        1.0,
    )
    asked = [
        messages.Request(f"r{n}", 3.0, f"{n + 1:016x}", "basic", "roster-read", 1.0, 0, 1) for n in range(97)
    ]
    began = time.perf_counter()
    for n in range(requests):
        hooked, _ = hooks.on_request(asked[n % 97])
        hooked.on_attempt("h1")
        hooked.on_end("served")
    spent = time.perf_counter() - began
    hooks.close()
    return spent / requests * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    figures = {
        "inside": {
            f"{count} {kind}": {"us": inside(count, kind)}
            for kind in ("rules", "modules")
            for count in (0, 1, 3)
        }
    }
    figures |= run(told)
    for part, rows in figures.items():
        columns = list(next(iter(rows.values())))
        print(f"{part:14}" + "".join(f"{name:>12}" for name in columns))
        for name, row in rows.items():
            print(f"{name:14}" + "".join(f"{row[column]:12.2f}" for column in columns))
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
