"""One RESP2 connection: bad input, the order of responses, its end."""

import asyncio
import socket

import pytest
from netkit import SERVED, VALUE, EmulatedHost, Node, command, on_loop, read_reply, terms

from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS


@pytest.mark.parametrize(
    "bad",
    [
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b":5\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n:0\r\n",
        command(terms=terms(d=None)),
        command(terms=terms(d="soon")),
        command(terms=terms(d="-1")),
        command(terms=terms(c="none")),
        command(terms=terms(t="none")),
        command(terms=terms(units="nan")),
        command(terms=terms(spread="0")),
        command(terms=terms(c="note")),
        command(terms=b"\xff\xfe"),
        command(terms=terms(c=None)),
        command(customer=b"xyz"),
        command(id=b""),
        command(body=b"BODY"),
        command(terms=terms(d="1_0")),
        command(terms=terms(d="+10")),
        command(terms=terms(d=" 10")),
        command(terms=terms(units="0")),
        command(terms=terms(units="2")),
        command(terms=terms(units="1_0")),
        command(terms=terms(spread="2")),
        command(terms=terms(first="1")),
        command(terms=terms(first="-1")),
        command(customer=b"0x000000b4d65521"),
        command(customer=b"ffffffffb4d65521"),
        command(id=b"x" * 65),
        command(terms=terms() + b",d=2000"),
        command(terms=terms(d="9" * 400)),
        command(terms=terms(d="9" * 12)),
        command(terms=terms(units="1e999")),
        command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
        command(terms=terms(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@on_loop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$70000\r\n" + b"x" * 69900,
        b"*x\r\n",
        b"*99999999999\r\n",
        b"*4294967295\r\n",
        b"*1000000000\r\n",
        b"*5\r\n*5\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$4\r\nPINGxx",
        b"*1\r\n$+4\r\nPING\r\n",
        b"*1\r\n$1_0\r\n",
        b"%1\r\n",
        b"*" + b"1" * 2000,
    ],
)
@on_loop
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.ask(command()) == SERVED


@on_loop
async def test_responses_come_in_the_order_of_the_commands(tmp_path):
    async with EmulatedHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_commands_that_come_when_a_connection_is_to_close_are_served(tmp_path):
    async with EmulatedHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.frontends[0].server.start_draining()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]


@on_loop
async def test_commands_that_lie_unread_when_draining_starts_are_served(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        server = node.node.frontends[0].server
        with socket.create_connection(("127.0.0.1", node.port)) as sock:
            sock.setblocking(False)
            while not server.connections:
                await asyncio.sleep(0)
            sock.send(command())  # in the server's socket, which it has not read
            node.node.frontends[0].start_draining()
            loop, got = asyncio.get_running_loop(), b""
            while data := await loop.sock_recv(sock, 100):
                got += data
            assert got == SERVED


@on_loop
async def test_commands_that_lie_unread_when_a_full_draining_connection_is_answered_at_once_are_served(
    tmp_path,
):
    """It is not read while it has too much in work, and all of that is answered in one turn."""
    async with EmulatedHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        server = node.node.frontends[0].server
        writer.write(command(b"first"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * MAX_PENDING_COMMANDS)  # answered behind the first
        (client,) = server.connections
        while not client.is_read_paused:
            await asyncio.sleep(0)
        host.answer = VALUE
        writer.write(command(b"last"))
        while not client.has_unread_data():
            await asyncio.sleep(0)
        server.start_draining()
        for out in host.writers:
            out.write(VALUE)
        told = [await read_reply(reader) for _ in range(MAX_PENDING_COMMANDS + 2)]
        assert told[0] == told[-1] == SERVED and set(told[1:-1]) == {b"+PONG\r\n"}
        assert await read_reply(reader) == b""


@on_loop
async def test_half_a_command_when_draining_starts_is_served_once_whole(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        front, text = node.node.frontends[0], command()
        writer.write(text[:20])
        while not front.server.partial_bytes:
            await asyncio.sleep(0)
        ending = asyncio.create_task(node.node.stop(0.0))
        while not all(client.is_closing for client in front.server.connections):
            await asyncio.sleep(0)
        writer.write(text[20:])
        assert await read_reply(reader) == SERVED and await read_reply(reader) == b""
        await ending


@on_loop
async def test_shutdown_waits_for_a_response_that_is_half_written(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        owed = iter([True, True, False])

        class Front(type(node.node.frontends[0])):
            @property
            def has_unwritten_responses(self):
                return next(owed, False)

        node.node.frontends[0].__class__ = Front
        await node.node.stop(0.0)
        assert next(owed, None) is None  # asked until nothing was owed


@on_loop
async def test_lost_framing_does_not_wait_for_pending_commands(tmp_path):
    async with EmulatedHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        assert await read_reply(reader) == b"-ERR failed\r\n"  # its one answer, though the host is silent
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # an end, not a reset, though there was more to read
        assert await host.arrived.get() is None and not node.node.core.in_flight
