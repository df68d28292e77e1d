"""Clients: bad input, the order of answers, those that leave."""

import pytest
from netkit import SERVED, VALUE, Node, StubHost, command, on_loop, read_reply, terms


@pytest.mark.parametrize("bad", [
    b"*1\r\n$7\r\nUNKNOWN\r\n", b"*0\r\n", b"*-1\r\n", b":5\r\n", b"*2\r\n$8\r\nAPI.READ\r\n:0\r\n",
    command(terms=terms(d=None)), command(terms=terms(d="soon")), command(terms=terms(d="-1")),
    command(terms=terms(c="none")), command(terms=terms(t="none")), command(terms=terms(units="nan")),
    command(terms=terms(spread="0")), command(terms=terms(c="note")), command(terms=b"\xff\xfe"),
    command(terms=terms(c=None)), command(customer=b"xyz"), command(id=b""), command(body=b"BODY"),
    command(terms=terms(d="9" * 400)), command(terms=terms(d="9" * 12)), command(terms=terms(units="1e999")),
    command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
    command(terms=terms(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
])
@on_loop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize("bad", [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$70000\r\n" + b"x" * 69900, b"*x\r\n",
                                 b"*99999999999\r\n", b"*4294967295\r\n", b"*1000000000\r\n", b"*5\r\n*5\r\n",
                                 b"*1\r\n$60000000\r\n", b"*1\r\n$-7\r\n", b"*1\r\n$4\r\nPINGxx",
                                 b"*1\r\n$+4\r\nPING\r\n", b"*1\r\n$1_0\r\n", b"%1\r\n", b"*" + b"1" * 2000])
@on_loop
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.ask(command()) == SERVED


@on_loop
async def test_answers_come_in_the_order_of_the_commands(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_a_client_that_left_has_its_attempt_called_off(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host ended
        assert not node.node.works


@on_loop
async def test_what_comes_on_a_connection_that_is_to_close_is_served(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.clients.finish()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]
