"""The RESP2 server: idle connections, clients that take no responses, limits."""

import asyncio
import contextlib

import pytest
from netkit import SERVED, VALUE, EmulatedHost, Node, command, on_loop, read_reply, roomy

from apigateway.frontends.resp import server as resp_server


@pytest.mark.parametrize(
    "sent, told", [(b"", b""), (b"*4\r\n$8\r\nAPI.R", b"-ERR"), (b"*1\r\n$4\r\nPING\r\n", b"+PONG")]
)
@on_loop
async def test_a_connection_without_a_request_is_closed_in_time(sent, told, tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "IDLE_TIMEOUT_S", 0.1)
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(sent)
        assert (await read_reply(reader)).startswith(told)
        assert await reader.read() == b""
        while node.node.frontends[0].server.connections:
            await asyncio.sleep(0.01)
        server = node.node.frontends[0].server
        assert not (server.idle_since or server.closing_since or server.partial_bytes)


@on_loop
async def test_a_connection_with_a_pending_request_is_not_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "IDLE_TIMEOUT_S", 0.1)
    async with EmulatedHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        idle, _ = await node.connect()
        writer.write(command())
        await host.arrived.get()
        assert await idle.read() == b""  # this one went, some sweeps later
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED


@on_loop
async def test_a_client_that_takes_no_responses_is_disconnected(tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "WRITE_BLOCKED_TIMEOUT_S", 0.1)
    async with EmulatedHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with Node(host, path=tmp_path) as node:
            _, writer = await node.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(ConnectionError):
                for n in range(400):
                    writer.write(command(b"r%d" % n))
                    await writer.drain()
            while node.node.frontends[0].server.connections:
                await asyncio.sleep(0.01)
            assert not (node.node.core.in_flight or node.node.core.body_budget.used)


@on_loop
async def test_at_the_limit_the_longest_idle_connection_is_closed_or_else_the_new_one(tmp_path):
    async with EmulatedHost(None) as host, Node(host, path=tmp_path) as node:
        node.node.frontends[0].server.max_connections = 2
        roomy(node)
        first, _ = await node.connect()
        busy = []
        for n in range(2):
            reader, writer = await node.connect()
            writer.write(command(b"r%d" % n))
            await host.arrived.get()
            busy.append(reader)
        assert await first.read() == b""
        last, _ = await node.connect()
        assert (await read_reply(last)).startswith(b"-ERR too many") and await last.read() == b""
        for writer in host.writers:
            writer.write(VALUE)
        assert [await read_reply(reader) for reader in busy] == [SERVED, SERVED]


@on_loop
async def test_partial_commands_of_all_connections_are_bounded(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        node.node.frontends[0].server.max_partial_bytes = 100_000
        readers = []
        for _ in range(3):
            reader, writer = await node.connect()
            writer.write(b"*5\r\n$60000\r\n" + b"x" * 40_000)
            readers.append(asyncio.create_task(read_reply(reader)))
        done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result() for task in done] == [b"-ERR too much in work\r\n"]
        assert await node.ask(command()) == SERVED
