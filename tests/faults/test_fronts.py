"""Several fronts over one core, on sockets."""

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
from apigateway.frontends.resp.client_connection import ResponseSlot


class TwoFronts:
    """A gateway with two listeners."""

    def __init__(self, path, *hosts, **limits):
        self.path, self.hosts, self.limits = path, hosts, limits

    async def __aenter__(self):
        self.counter, self.discovery = EmulatedCounter(), EmulatedDiscovery()
        await self.counter.__aenter__()
        await self.discovery.__aenter__()
        self.discovery.servers = [make_host_entry(h, f"h{n}") for n, h in enumerate(self.hosts, 1)]
        file = self.path / "config.json"
        file.write_text(
            json.dumps(make_configuration(self.discovery.servers, self.discovery.port, self.counter.port))
        )
        config = read_config({"RELAY_CONFIG": str(file)})
        config = replace(config, listeners=(*config.listeners, ("127.0.0.1", 0)), linger=0.0, **self.limits)
        self.node = GatewayServer(config)
        await self.node.start()
        self.ports = [front.port for front in self.node.frontends]
        return self

    async def connect(self, which):
        return await asyncio.open_connection("127.0.0.1", self.ports[which])

    async def ask(self, which, text):
        reader, writer = await self.connect(which)
        writer.write(text)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        await self.node.stop()
        await self.discovery.__aexit__()
        await self.counter.__aexit__()


class Eager:
    """A decision module that sends each request on at once."""

    def handle(self, now, event):
        return (
            [messages.ForwardRequest(event.request_id, "h1")] if isinstance(event, messages.Request) else []
        )


@run_on_uvloop
async def test_one_id_on_two_fronts_at_once_is_in_work_once(tmp_path):
    async with EmulatedHost(None) as host, TwoFronts(tmp_path, host) as gate:
        first = asyncio.ensure_future(gate.ask(0, make_command(b"same")))
        await host.arrivals.get()
        assert await gate.ask(1, make_command(b"same")) == b"-ERR this id is in work\r\n"
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await first == VALUE_REPLY and len(host.commands) == 1
        host.writers[0].close()  # the stub answers by hand there; what comes next is to go by another
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        assert await gate.ask(1, make_command(b"same")) == VALUE_REPLY


@run_on_uvloop
async def test_a_front_that_raises_on_every_request_leaves_the_others_serving(tmp_path, monkeypatch):
    async with EmulatedHost() as host, TwoFronts(tmp_path, host) as gate:

        def broken(slot, command):
            raise RuntimeError("broken")

        monkeypatch.setattr(gate.node.frontends[0], "on_command", broken)
        for n in range(20):
            reader, writer = await gate.connect(0)
            writer.write(make_command(b"a%d" % n))
            assert await reader.read() == b""  # its connection is of no use, and ends
            writer.close()
            assert await gate.ask(1, make_command(b"b%d" % n)) == VALUE_REPLY
        assert not gate.node.core.in_flight


@run_on_uvloop
async def test_a_front_whose_answers_raise_keeps_nothing_in_work(tmp_path, monkeypatch):
    async with EmulatedHost() as host, TwoFronts(tmp_path, host) as gate:
        real = ResponseSlot.complete

        def broken(slot, value):
            if slot.connection.server is gate.node.frontends[0].server:
                raise RuntimeError("broken")
            real(slot, value)

        monkeypatch.setattr(ResponseSlot, "complete", broken)
        _, writer = await gate.connect(0)
        writer.write(make_command(b"a"))
        await host.arrivals.get()
        assert await gate.ask(1, make_command(b"b")) == VALUE_REPLY
        while gate.node.core.in_flight:
            await asyncio.sleep(0)
        writer.close()


@run_on_uvloop
async def test_a_front_whose_clients_take_no_answers_does_not_hold_up_the_others(tmp_path):
    big = b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)
    async with EmulatedHost(big) as host, TwoFronts(tmp_path, host) as gate:
        gate.node.core.module = Eager()  # which tries nothing twice
        gate.node.upstream.connect_timeout = 60.0  # hundreds at once, however busy this machine is
        _, writer = await gate.connect(0)
        writer.transport.pause_reading()
        for n in range(300):
            writer.write(make_command(b"a%d" % n))
        while not gate.node.frontends[0].server.write_blocked_since:
            await asyncio.sleep(0.01)
        for n in range(20):
            assert (await gate.ask(1, make_command(b"b%d" % n))).startswith(b"$60000")
        writer.transport.abort()


@run_on_uvloop
async def test_a_flood_of_sound_commands_on_one_front_leaves_room_on_the_other(tmp_path):
    async with EmulatedHost(None) as host, TwoFronts(tmp_path, host, max_in_flight=40) as gate:
        gate.node.core.module = Eager()
        _, writer = await gate.connect(0)
        for n in range(200):
            writer.write(make_command(b"flood%d" % n))
        while gate.node.core.request_budget.used < 30:
            await asyncio.sleep(0)
        asked = asyncio.ensure_future(gate.ask(1, make_command(b"quiet")))
        while "quiet" not in gate.node.core.in_flight and not asked.done():
            await asyncio.sleep(0)
        assert (
            not asked.done() and gate.node.core.request_budget.used_by_frontend[gate.node.frontends[0]] == 30
        )  # 40 less a quarter
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        for out in host.writers:
            out.write(host.answer)
        assert await asked == VALUE_REPLY
        writer.close()
