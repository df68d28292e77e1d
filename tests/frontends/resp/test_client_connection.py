"""One RESP2 connection: bad input, the order of responses, its end."""

import asyncio
import socket

import pytest
from gateway_harness import (
    VALUE,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    read_reply,
    run_on_uvloop,
)

from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS


@pytest.mark.parametrize(
    "bad",
    [
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b":5\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n:0\r\n",
        make_command(fields=make_fields(d=None)),
        make_command(fields=make_fields(d="soon")),
        make_command(fields=make_fields(d="-1")),
        make_command(fields=make_fields(c="none")),
        make_command(fields=make_fields(t="none")),
        make_command(fields=make_fields(units="nan")),
        make_command(fields=make_fields(spread="0")),
        make_command(fields=make_fields(c="note")),
        make_command(fields=b"\xff\xfe"),
        make_command(fields=make_fields(c=None)),
        make_command(customer=b"xyz"),
        make_command(request_id=b""),
        make_command(body=b"BODY"),
        make_command(fields=make_fields(d="1_0")),
        make_command(fields=make_fields(d="+10")),
        make_command(fields=make_fields(d=" 10")),
        make_command(fields=make_fields(units="0")),
        make_command(fields=make_fields(units="2")),
        make_command(fields=make_fields(units="1_0")),
        make_command(fields=make_fields(spread="2")),
        make_command(fields=make_fields(first="1")),
        make_command(fields=make_fields(first="-1")),
        make_command(customer=b"0x000000b4d65521"),
        make_command(customer=b"ffffffffb4d65521"),
        make_command(request_id=b"x" * 65),
        make_command(fields=make_fields() + b",d=2000"),
        make_command(fields=make_fields(d="9" * 400)),
        make_command(fields=make_fields(d="9" * 12)),
        make_command(fields=make_fields(units="1e999")),
        make_command(fields=make_fields(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
        make_command(fields=make_fields(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@run_on_uvloop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
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
@run_on_uvloop
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await harness.send_command(make_command()) == VALUE_REPLY


@run_on_uvloop
async def test_responses_come_in_the_order_of_the_commands(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"slow"))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY
        assert await read_reply(reader) == b"+PONG\r\n"


@run_on_uvloop
async def test_commands_that_come_when_a_connection_is_to_close_are_served(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        harness.server.frontends[0].server.start_draining()
        writer.write(make_command(b"second"))
        while (await host.arrivals.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [VALUE_REPLY, VALUE_REPLY, b""]


@run_on_uvloop
async def test_commands_that_lie_unread_when_draining_starts_are_served(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        with socket.create_connection(("127.0.0.1", harness.port)) as sock:
            sock.setblocking(False)
            while not server.connections:
                await asyncio.sleep(0)
            sock.send(make_command())  # in the server's socket, which it has not read
            harness.server.frontends[0].start_draining()
            loop, got = asyncio.get_running_loop(), b""
            while data := await loop.sock_recv(sock, 100):
                got += data
            assert got == VALUE_REPLY


@run_on_uvloop
async def test_commands_that_lie_unread_when_a_full_draining_connection_is_answered_at_once_are_served(
    tmp_path,
):
    """It is not read while it has too much in work, and all of that is answered in one turn."""
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        server = harness.server.frontends[0].server
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * MAX_PENDING_COMMANDS)  # answered behind the first
        (client,) = server.connections
        while not client.is_read_paused:
            await asyncio.sleep(0)
        host.answer = VALUE
        writer.write(make_command(b"last"))
        while not client.has_unread_data():
            await asyncio.sleep(0)
        server.start_draining()
        for out in host.writers:
            out.write(VALUE)
        told = [await read_reply(reader) for _ in range(MAX_PENDING_COMMANDS + 2)]
        assert told[0] == told[-1] == VALUE_REPLY and set(told[1:-1]) == {b"+PONG\r\n"}
        assert await read_reply(reader) == b""


@run_on_uvloop
async def test_half_a_command_when_draining_starts_is_served_once_whole(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        front, text = harness.server.frontends[0], make_command()
        writer.write(text[:20])
        while not front.server.partial_bytes:
            await asyncio.sleep(0)
        ending = asyncio.create_task(harness.server.stop(0.0))
        while not all(client.is_closing for client in front.server.connections):
            await asyncio.sleep(0)
        writer.write(text[20:])
        assert await read_reply(reader) == VALUE_REPLY and await read_reply(reader) == b""
        await ending


@run_on_uvloop
async def test_shutdown_waits_for_a_response_that_is_half_written(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        owed = iter([True, True, False])

        class Front(type(harness.server.frontends[0])):
            @property
            def has_unwritten_responses(self):
                return next(owed, False)

        harness.server.frontends[0].__class__ = Front
        await harness.server.stop(0.0)
        assert next(owed, None) is None  # asked until nothing was owed


@run_on_uvloop
async def test_lost_framing_does_not_wait_for_pending_commands(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command())
        await host.arrivals.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        assert await read_reply(reader) == b"-ERR failed\r\n"  # its one answer, though the host is silent
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # an end, not a reset, though there was more to read
        assert await host.arrivals.get() is None and not harness.server.core.in_flight
