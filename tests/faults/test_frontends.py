"""Several frontends that share one gateway core, over sockets."""

import asyncio
import json
from dataclasses import replace

from gateway_harness import (
    VALUE_REPLY,
    EmulatedCounter,
    EmulatedDiscovery,
    EmulatedHost,
    make_command,
    make_configuration,
    make_host_entry,
    read_reply,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.daemon.config import read_config
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.frontends.resp.response_slot import ResponseSlot


class TwoFrontendGateway:
    """A gateway with two listeners, each with a frontend of its own."""

    def __init__(self, path, *hosts, **limits):
        self.path, self.hosts, self.limits = path, hosts, limits

    async def __aenter__(self):
        self.counter, self.discovery = EmulatedCounter(), EmulatedDiscovery()
        await self.counter.__aenter__()
        await self.discovery.__aenter__()
        self.discovery.servers = [make_host_entry(host, f"h{n}") for n, host in enumerate(self.hosts, 1)]
        file = self.path / "config.json"
        file.write_text(
            json.dumps(make_configuration(self.discovery.servers, self.discovery.port, self.counter.port))
        )
        config = read_config({"RELAY_CONFIG": str(file)})
        config = replace(config, listeners=(*config.listeners, ("127.0.0.1", 0)), linger=0.0, **self.limits)
        self.server = GatewayServer(config)
        await self.server.start()
        self.server.memory_guard.stop()  # the process is the test's, whose size tells nothing
        self.ports = [frontend.port for frontend in self.server.frontends]
        return self

    async def connect(self, frontend_index):
        return await asyncio.open_connection("127.0.0.1", self.ports[frontend_index])

    async def send_command(self, frontend_index, command):
        reader, writer = await self.connect(frontend_index)
        writer.write(command)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        await self.server.stop()
        await self.discovery.__aexit__()
        await self.counter.__aexit__()


class ForwardingModule:
    """A decision module that forwards each request at once and never retries."""

    def handle(self, now, event):
        return (
            [messages.ForwardRequest(event.request_id, "h1")] if isinstance(event, messages.Request) else []
        )


@run_on_uvloop
async def test_same_id_on_two_frontends_is_executed_once(tmp_path):
    async with EmulatedHost(None) as host, TwoFrontendGateway(tmp_path, host) as gateway:
        first = asyncio.ensure_future(gateway.send_command(0, make_command(b"same")))
        await host.arrivals.get()
        assert await gateway.send_command(1, make_command(b"same")) == b"-ERR this id is in work\r\n"
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await first == VALUE_REPLY and len(host.commands) == 1
        # The test replied on this connection itself, so later commands need another one.
        host.writers[0].close()
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        assert await gateway.send_command(1, make_command(b"same")) == VALUE_REPLY


@run_on_uvloop
async def test_frontend_that_raises_on_each_request_does_not_affect_the_other(tmp_path, monkeypatch):
    async with EmulatedHost() as host, TwoFrontendGateway(tmp_path, host) as gateway:

        def raise_error(slot, command):
            raise RuntimeError("broken")

        monkeypatch.setattr(gateway.server.frontends[0], "on_command", raise_error)
        for n in range(20):
            reader, writer = await gateway.connect(0)
            writer.write(make_command(b"a%d" % n))
            assert await reader.read() == b""  # the connection is closed
            writer.close()
            assert await gateway.send_command(1, make_command(b"b%d" % n)) == VALUE_REPLY
        assert not gateway.server.core.in_flight


@run_on_uvloop
async def test_frontend_that_raises_on_answers_leaves_no_request_in_flight(tmp_path, monkeypatch):
    async with EmulatedHost() as host, TwoFrontendGateway(tmp_path, host) as gateway:
        original_complete = ResponseSlot.complete

        def raise_error(slot, value):
            if slot.connection.server is gateway.server.frontends[0].server:
                raise RuntimeError("broken")
            original_complete(slot, value)

        monkeypatch.setattr(ResponseSlot, "complete", raise_error)
        _, writer = await gateway.connect(0)
        writer.write(make_command(b"a"))
        await host.arrivals.get()
        assert await gateway.send_command(1, make_command(b"b")) == VALUE_REPLY
        while gateway.server.core.in_flight:
            await asyncio.sleep(0)
        writer.close()


@run_on_uvloop
async def test_frontend_whose_clients_do_not_read_does_not_delay_the_other(tmp_path):
    large_reply = b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)
    async with EmulatedHost(large_reply) as host, TwoFrontendGateway(tmp_path, host) as gateway:
        gateway.server.core.module = ForwardingModule()  # it never retries
        # The default is too short for hundreds of connections at once on a busy machine.
        gateway.server.upstream.connect_timeout = 60.0
        _, writer = await gateway.connect(0)
        writer.transport.pause_reading()
        for n in range(300):
            writer.write(make_command(b"a%d" % n))
        while not gateway.server.frontends[0].server.write_blocked_since:
            await asyncio.sleep(0.01)
        for n in range(20):
            assert (await gateway.send_command(1, make_command(b"b%d" % n))).startswith(b"$60000")
        writer.transport.abort()


@run_on_uvloop
async def test_flood_on_one_frontend_leaves_capacity_for_the_other(tmp_path):
    async with EmulatedHost(None) as host, TwoFrontendGateway(tmp_path, host, max_in_flight=40) as gateway:
        gateway.server.core.module = ForwardingModule()
        _, writer = await gateway.connect(0)
        for n in range(200):
            writer.write(make_command(b"flood%d" % n))
        while gateway.server.core.request_budget.used < 30:
            await asyncio.sleep(0)
        response = asyncio.ensure_future(gateway.send_command(1, make_command(b"quiet")))
        while "quiet" not in gateway.server.core.in_flight and not response.done():
            await asyncio.sleep(0)
        # A quarter of the 40 is left for the other frontend.
        assert (
            not response.done()
            and gateway.server.core.request_budget.used_by_frontend[gateway.server.frontends[0]] == 30
        )
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        for host_writer in host.writers:
            host_writer.write(host.answer)
        assert await response == VALUE_REPLY
        writer.close()
