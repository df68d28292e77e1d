"""Run a gateway in the test's process, with emulated hosts, counter and discovery on loopback."""

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
from apigateway.emulators.platform import SETTINGS, make_configuration, make_discovery_entry

__all__ = ["SETTINGS", "VALUE", "EmulatedCounter", "EmulatedDiscovery", "EmulatedHost", "make_configuration"]

TEST_TIMEOUT_S = 90  # far longer than any test needs
READ_FIELDS = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
VALUE_REPLY = b"$5\r\nvalue\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


def run_on_uvloop(test):
    """Run an async test on uvloop, the event loop that the gateway uses."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        async def run_with_timeout():
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(*args, **kwargs)

        uvloop.run(run_with_timeout())

    return run


def make_command(
    request_id=b"r1", fields=READ_FIELDS, verb=b"API.READ", customer=b"00000000b4d65521", body=None
):
    parts = [verb, customer, request_id, fields] + ([body] if body is not None else [])
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


def make_fields(**overrides):
    """Encode the fields of a command; a field that is overridden with None is left out."""
    fields = dict(c="read", t="p", d="3000", units="1", spread="1", first="0") | overrides
    return ",".join(f"{k}={v}" for k, v in fields.items() if v is not None).encode()


def make_write_command(request_id=b"r1", service_class=b"write", wait_ms=3000):
    fields = b"c=%s,t=p,d=%d,k=77,units=1,spread=1,first=0" % (service_class, wait_ms)
    return make_command(request_id, fields, b"API.WRITE", body=b"BODY")


async def read_reply(reader):
    """Return one reply as received, or b"" at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$"):
        line += await reader.readexactly(int(line[1:]) + 2)
    return line


class DeferredReplyHost(EmulatedHost):
    """A host that defers its replies until `release`, and replies at once from then on.

    A test that writes a reply to a connection directly leaves the command unanswered in the host's queue,
    and the next command on that connection is then never answered. Deferred replies keep their order.
    """

    def __init__(self):
        super().__init__(answer=None)
        self.deferred_answers = []

    def _answer_at_once(self, answer):
        if self.answer is None:
            self.deferred_answers.append(answer)
        return super()._answer_at_once(answer)

    def release(self, reply):
        self.answer = reply
        for answer in self.deferred_answers:
            answer.write(reply, AttemptEnd.ANSWERED)


def make_host_entry(host, name="h1", state="up", port=None):
    return make_discovery_entry(name, port or host.port, state)


class BlockedFileRead:
    """Blocks a program while it reads a file: the file is a FIFO that the test writes to.

    Once the program has opened it, a file with `next_content` replaces the FIFO for the next read.
    """

    def __init__(self, path, next_content=""):
        self.path, self.next_content = path, next_content
        os.mkfifo(path)

    async def __aenter__(self):
        while True:
            try:
                descriptor = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError as err:
                if err.errno != errno.ENXIO:  # the program has not opened the FIFO yet
                    raise
                await asyncio.sleep(0.01)
        os.set_blocking(descriptor, True)
        self.file = open(descriptor, "w", encoding="utf-8")
        replacement = self.path.with_suffix(".new")
        replacement.write_text(self.next_content)
        os.replace(replacement, self.path)
        return self.file

    async def __aexit__(self, *_):
        self.file.close()


def raise_capacity_estimate(harness):
    """Raise the estimated capacity of the gateway's hosts to a hundred concurrent attempts."""
    pool = harness.server.core.module.pool
    pool.capacity.scale = 25.0
    pool.update_available(harness.server.clock())


class GatewayHarness:
    """A gateway with a counter of its own and the given hosts, named h1, h2 and so on.

    It polls a discovery service of its own, or `shared_discovery`, which other gateways poll as well.
    """

    def __init__(self, *hosts, path, settings=None, shared_discovery=None):
        self.hosts, self.path, self.settings = hosts, path, settings
        self.counter, self.discovery, self.writers = (
            EmulatedCounter(),
            shared_discovery or EmulatedDiscovery(),
            [],
        )
        self.is_discovery_shared = shared_discovery is not None

    async def __aenter__(self):
        await self.counter.__aenter__()
        entries = [make_host_entry(host, f"h{number}") for number, host in enumerate(self.hosts, 1)]
        if not self.is_discovery_shared:
            await self.discovery.__aenter__()
            self.discovery.servers = entries
        file = self.path / "config.json"
        file.write_text(
            json.dumps(make_configuration(entries, self.discovery.port, self.counter.port, self.settings))
        )
        self.server = GatewayServer(read_config({"RELAY_CONFIG": str(file)}))
        self.port = await self.server.start()
        self.server.memory_guard.stop()  # the process is the test's, whose size tells nothing
        return self

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    async def send_command(self, command):
        """Send a command on a new connection and return the reply."""
        reader, writer = await self.connect()
        writer.write(command)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        self.server.frontends[0].start_draining()
        self.server.upstream.close()
        self.server.counter.close()
        await self.server.endpoint_source.close()
        if not self.is_discovery_shared:
            await self.discovery.__aexit__()
        await self.counter.__aexit__()
