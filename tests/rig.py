"""Gateways as an operator runs them: `api-gateway serve` in processes of their own, among stand-ins on
loopback."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from gateway_harness import read_reply

from apigateway.emulators.clients import Client, Customer, Kind, Traffic
from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.hosts import EmulatedHost
from apigateway.emulators.ledger import Kind as Class
from apigateway.emulators.ledger import Terms, report
from apigateway.emulators.ports import free_port

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = [sys.executable, "-B", "-m", "apigateway"]

CLASSES = """
[classes.read]
effect = "safe"
aim = 1.0
deadline = 3.0
[classes.note]
effect = "unsafe"
aim = 1.0
deadline = 3.0
[plans.p]
rate = 10000.0
burst = 100000.0
"""


class Site:
    """A folder with gateway.toml and hosts.toml, hosts and a counter, and the gateways that a test starts
    there."""

    def __init__(self, path, hosts=2, answer=None, ledger=None):
        self.path, self.file = path, path / "gateway.toml"
        make = dict(ledger=ledger, work=(lambda command: 0.005) if answer is None else None)
        self.hosts = [
            EmulatedHost(
                **make, **({"answer": answer} if answer is not None else {}), name=f"h{n}", cores=8, queue=500
            )
            for n in range(hosts)
        ]
        self.counter = EmulatedCounter()
        self.port, self.programs, self.logs = free_port(), [], {}

    async def __aenter__(self):
        for server in (*self.hosts, self.counter):
            await server.open()
        self.list_hosts()
        self.write()
        return self

    def list_hosts(self, *states):
        states = states or ["up"] * len(self.hosts)
        text = "".join(
            f'[[hosts]]\nid = "{h.name}"\naddress = "127.0.0.1:{h.port}"\nstate = "{state}"\n'
            for h, state in zip(self.hosts, states, strict=True)
            if state
        )
        (self.path / "hosts.toml").write_text(text)

    def write(self, ports=None, **tables):
        """gateway.toml; `tables` are keys of a table: daemon="linger = 0.1"."""
        told = {
            "daemon": f'state = "{self.path / "state"}"\nlog_lines = 10000',
            "counter": f'address = "127.0.0.1:{self.counter.port}"',
            "limits": "sockets = 1024",
        }
        # A test machine that is busy turns requests away at the door, which is not what most tests are about.
        tables.setdefault("overload", "on = false")
        for name, text in tables.items():
            told[name] = told.get(name, "") + "\n" + text
        listeners = "".join(f'[[listeners]]\naddress = "127.0.0.1:{port}"\n' for port in ports or [self.port])
        self.file.write_text(listeners + "".join(f"[{k}]\n{v}\n" for k, v in told.items()) + CLASSES)

    async def start(self, *arguments, env=None, ready=True, **kw):
        """A gateway; `ready`: once it says that it listens."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | (env or {})
        program = await asyncio.create_subprocess_exec(
            *PROGRAM,
            "serve",
            str(self.file),
            *arguments,
            cwd=ROOT,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
            **kw,
        )
        self.programs.append(program)
        self.logs[program] = []
        if ready:
            await self.line(program, b"listens on")
        return program

    async def line(self, program, word):
        """The next line of its log with `word` in it."""
        while text := await program.stderr.readline():
            self.logs[program].append(text)
            if word in text:
                return text
        raise AssertionError(b"".join([b"ended without ", word, b":\n", *self.logs[program]]).decode())

    async def ask(self, text, port=None):
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
        try:
            writer.write(text)
            return await read_reply(reader)
        finally:
            writer.close()

    async def __aexit__(self, *_):
        for program in self.programs:
            if program.returncode is None:
                program.send_signal(signal.SIGKILL)
                await program.wait()
        for server in (*self.hosts, self.counter):
            await server.__aexit__()


TERMS = Terms({"read": Class("safe"), "note": Class("unsafe")})
KINDS = [Kind("read", "safe", 0.5, 3.0), Kind("note", "unsafe", 0.5, 3.0)]


class Load:
    """Traffic at one gateway's address, without end until it is told; then the ledger's verdict."""

    def __init__(self, site, ledger, rate=150.0):
        self.ledger, self.client = ledger, Client(ledger, {"g": ("127.0.0.1", site.port)})
        customers = [Customer(f"{n:016x}", "p", rate / 4, 0, 1) for n in range(4)]
        self.traffic = Traffic(self.client, customers, KINDS)

    async def __aenter__(self):
        self.task = asyncio.ensure_future(self.go())
        await self.served(20)
        return self

    async def go(self):
        while True:
            await self.traffic.run(5.0)

    async def served(self, more):
        """Until so many more have been served."""
        until = len(self.traffic.latency) + more
        while len(self.traffic.latency) < until:
            await asyncio.sleep(0.01)

    async def end(self):
        """Asks nothing more, and waits for what was asked."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        while self.traffic.tasks:
            await asyncio.wait(list(self.traffic.tasks))
        self.client.close()

    async def __aexit__(self, kind, *_):
        await self.end()
        if kind is None:
            verdicts = self.ledger.judge()
            assert all(v.kept for v in verdicts), report(verdicts)
            assert self.client.refused == 0
            assert self.ledger.outcomes().get(("p", "read", "served"), 0) > 0
