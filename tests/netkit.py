"""A real gateway among stand-ins on loopback."""

import asyncio
import errno
import functools
import json
import os

import uvloop

from apigateway.daemon.config import read_config
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.discovery import EmulatedDiscovery
from apigateway.emulators.hosts import VALUE, EmulatedHost
from apigateway.emulators.ledger_records import AttemptEnd
from apigateway.emulators.platform import SETTINGS
from apigateway.emulators.platform import configuration as told
from apigateway.emulators.platform import entry as platform_entry

__all__ = ["SETTINGS", "VALUE", "told", "EmulatedCounter", "EmulatedDiscovery", "EmulatedHost"]

PATIENCE = 90  # s for a test as a whole: far over what any needs
TERMS = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
SERVED = b"$5\r\nvalue\r\n"


def on_loop(test):
    """Runs an async test on the loop that the gateway runs on."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        async def bounded():
            async with asyncio.timeout(PATIENCE):
                await test(*args, **kwargs)

        uvloop.run(bounded())

    return run


def command(id=b"r1", terms=TERMS, verb=b"API.READ", customer=b"00000000b4d65521", body=None):
    parts = [verb, customer, id, terms] + ([body] if body is not None else [])
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


def terms(**kw):
    fields = dict(c="read", t="p", d="3000", units="1", spread="1", first="0") | kw
    return ",".join(f"{k}={v}" for k, v in fields.items() if v is not None).encode()


def write(id=b"r1", cls=b"write", d=3000):
    terms = b"c=%s,t=p,d=%d,k=77,units=1,spread=1,first=0" % (cls, d)
    return command(id, terms, b"API.WRITE", body=b"BODY")


async def read_reply(reader):
    """One answer as it stands on the wire; b"" at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$"):
        line += await reader.readexactly(int(line[1:]) + 2)
    return line


class HeldHost(EmulatedHost):
    """A host that holds its answers back until `release`; what comes after that it answers at once.

    A reply that a test writes to a connection by hand leaves the command without an answer in the host's
    queue, so that the next command on that connection is never answered. Those held here keep the order.
    """

    def __init__(self):
        super().__init__(answer=None)
        self.held = []

    def _answer_at_once(self, answer):
        if self.answer is None:
            self.held.append(answer)
        return super()._answer_at_once(answer)

    def release(self, reply):
        self.answer = reply
        for answer in self.held:
            answer.write(reply, AttemptEnd.ANSWERED)


def entry(host, name="h1", state="up", port=None):
    return platform_entry(name, port or host.port, state)


class Held:
    """A program held where it reads its file: a pipe, of which it has opened its end. `replaced`: what it
    finds there the next time."""

    def __init__(self, path, replaced=""):
        self.path, self.replaced = path, replaced
        os.mkfifo(path)

    async def __aenter__(self):
        while True:
            try:
                end = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError as err:
                if err.errno != errno.ENXIO:  # nobody reads yet
                    raise
                await asyncio.sleep(0.01)
        os.set_blocking(end, True)
        self.file = open(end, "w", encoding="utf-8")
        new = self.path.with_suffix(".new")
        new.write_text(self.replaced)
        os.replace(new, self.path)
        return self.file

    async def __aexit__(self, *_):
        self.file.close()


def roomy(node):
    """Its hosts may have a hundred attempts out."""
    pool = node.node.core.module.pool
    pool.capacity.scale = 25.0
    pool.refresh(node.node.clock())


class Node:
    """A gateway with a counter of its own and the given hosts, named h1, h2 and so on.

    Its discovery is one of its own, unless it polls `service`, which others poll as well.
    """

    def __init__(self, *hosts, path, settings=None, service=None):
        self.hosts, self.path, self.settings = hosts, path, settings
        self.counter, self.discovery, self.writers = EmulatedCounter(), service or EmulatedDiscovery(), []
        self.is_discovery_shared = service is not None

    async def __aenter__(self):
        await self.counter.__aenter__()
        listed = [entry(h, f"h{n}") for n, h in enumerate(self.hosts, 1)]
        if not self.is_discovery_shared:
            await self.discovery.__aenter__()
            self.discovery.servers = listed
        file = self.path / "config.json"
        file.write_text(json.dumps(told(listed, self.discovery.port, self.counter.port, self.settings)))
        self.node = GatewayServer(read_config({"RELAY_CONFIG": str(file)}))
        self.port = await self.node.start()
        return self

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    async def ask(self, text):
        """One command on a connection of its own; the answer."""
        reader, writer = await self.connect()
        writer.write(text)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        self.node.frontends[0].start_draining()
        self.node.upstream.close()
        self.node.counter.close()
        await self.node.endpoint_source.close()
        if not self.is_discovery_shared:
            await self.discovery.__aexit__()
        await self.counter.__aexit__()
