"""Tests of a RESP2 client connection: invalid input, order of responses and closing."""

import asyncio
import socket
import time

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
from late_loop import hold_up_loop

from apigateway.core import input_scheduler
from apigateway.core.input_scheduler import BULK_COST_FACTOR
from apigateway.emulators.resp import fields
from apigateway.frontends.read_buffer import READ_BYTES
from apigateway.frontends.resp import server as resp_server
from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS

CLIENT_TIMEOUT_S = 2.0
DEADLINE_SLACK_S = 0.15  # by the platform's page


@pytest.mark.parametrize(
    "invalid_input",
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
        # The class requires an idempotency key.
        make_command(fields=make_fields(c="write"), verb=b"API.WRITE", body=b"x"),
        make_command(fields=make_fields(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@run_on_uvloop
async def test_invalid_command_gets_an_error_and_the_connection_continues(invalid_input, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(invalid_input + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize(
    "invalid_input",
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
async def test_framing_error_closes_only_its_own_connection(invalid_input, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(invalid_input)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await harness.send_command(make_command()) == VALUE_REPLY


@run_on_uvloop
async def test_responses_follow_the_order_of_the_commands(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"slow"))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY
        assert await read_reply(reader) == b"+PONG\r\n"


@run_on_uvloop
async def test_commands_received_while_draining_are_served(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        harness.server.frontends[0].server.start_draining()
        writer.write(make_command(b"second"))
        while (await host.arrivals.get())[2] != b"second":
            pass
        for host_writer in host.writers:
            host_writer.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [VALUE_REPLY, VALUE_REPLY, b""]


@run_on_uvloop
async def test_unread_commands_are_served_when_draining_starts(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        with socket.create_connection(("127.0.0.1", harness.port)) as sock:
            sock.setblocking(False)
            while not server.connections:
                await asyncio.sleep(0)
            sock.send(make_command())  # stays unread in the server's socket
            harness.server.frontends[0].start_draining()
            loop, received = asyncio.get_running_loop(), b""
            while data := await loop.sock_recv(sock, 100):
                received += data
            assert received == VALUE_REPLY


@run_on_uvloop
async def test_unread_commands_are_served_when_a_draining_connection_at_its_limit_is_answered(
    tmp_path,
):
    """Guards against lost commands: closing the connection after the last response would reset it.

    A connection with too many pending commands is not read. All of them are answered in one event loop
    iteration here, while another command is still unread in the socket.
    """
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        server = harness.server.frontends[0].server
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * MAX_PENDING_COMMANDS)  # answered after the first
        (client,) = server.connections
        while not client.is_read_paused:
            await asyncio.sleep(0)
        host.answer = VALUE
        writer.write(make_command(b"last"))
        while not client.has_unread_data():
            await asyncio.sleep(0)
        server.start_draining()
        for host_writer in host.writers:
            host_writer.write(VALUE)
        replies = [await read_reply(reader) for _ in range(MAX_PENDING_COMMANDS + 2)]
        assert replies[0] == replies[-1] == VALUE_REPLY and set(replies[1:-1]) == {b"+PONG\r\n"}
        assert await read_reply(reader) == b""


@run_on_uvloop
async def test_partial_command_is_served_once_complete_while_draining(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        frontend, command = harness.server.frontends[0], make_command()
        writer.write(command[:20])
        while not frontend.server.partial_bytes:
            await asyncio.sleep(0)
        stop_task = asyncio.create_task(harness.server.stop(0.0))
        while not all(client.is_closing for client in frontend.server.connections):
            await asyncio.sleep(0)
        writer.write(command[20:])
        assert await read_reply(reader) == VALUE_REPLY and await read_reply(reader) == b""
        await stop_task


@run_on_uvloop
async def test_shutdown_waits_for_a_partially_written_response(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        unwritten = iter([True, True, False])

        class FrontendWithUnwrittenResponses(type(harness.server.frontends[0])):
            @property
            def has_unwritten_responses(self):
                return next(unwritten, False)

        harness.server.frontends[0].__class__ = FrontendWithUnwrittenResponses
        await harness.server.stop(0.0)
        assert next(unwritten, None) is None  # polled until all responses were written


@run_on_uvloop
async def test_framing_error_does_not_wait_for_pending_commands(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command())
        await host.arrivals.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        # The only response to the command, although the host is silent.
        assert await read_reply(reader) == b"-ERR failed\r\n"
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # end of file instead of a reset, despite unread input
        assert await host.arrivals.get() is None and not harness.server.core.in_flight


# Guards against responses that a client loses because its next commands cross the end of the connection.
@run_on_uvloop
async def test_client_that_sends_while_its_connection_is_closed_still_reads_its_responses(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        server = harness.server.frontends[0].server
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        writer.transport.pause_reading()  # a client whose loop is late
        server.start_draining()
        host.writers[0].write(VALUE)
        while server.connections and not server.closing_since:
            await asyncio.sleep(0)
        for request_id in (b"second", b"third"):  # a reset answers the first one, and shows with the next one
            writer.write(make_command(request_id))
            await asyncio.sleep(0)
        writer.transport.resume_reading()
        assert await read_reply(reader) == VALUE_REPLY and await read_reply(reader) == b""
        writer.close()
        await server.wait_disconnected()
        assert [command[2] for command in host.commands] == [b"first"]


# Guards against connections that stay open because their clients never close them.
@run_on_uvloop
async def test_half_closed_connection_is_closed_if_its_client_never_closes_it(tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "CLOSING_TIMEOUT_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command())
        assert await read_reply(reader) == VALUE_REPLY
        server = harness.server.frontends[0].server
        server.start_draining()
        assert await read_reply(reader) == b""
        await server.wait_disconnected()
        assert not writer.transport.is_closing()


# Guards against a connection that stays open in a shutdown because it is established as the listener closes.
@run_on_uvloop
async def test_connection_that_is_established_as_the_listener_closes_ends_once_answered(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        with socket.create_connection(("127.0.0.1", harness.port)) as sock:
            sock.setblocking(False)
            while server.has_pending_connections:
                await asyncio.sleep(0)
            assert not server.connections  # accepted, but not reported to the server yet
            server.start_draining()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, make_command())
            assert await loop.sock_recv(sock, 100) == VALUE_REPLY
            assert all(connection.is_closing for connection in server.connections)
            assert await loop.sock_recv(sock, 100) == b""


# Guards against a request that waits unread in a pause, and whose time counts from when it is read.
@pytest.mark.parametrize("pause_s", [0.05, 0.14, 0.3, 0.6])
@pytest.mark.parametrize("is_new", [False, True], ids=["open-connection", "new-connection"])
@run_on_uvloop
async def test_deadline_told_after_a_pause_is_what_the_client_has_left(pause_s, is_new, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core, server = harness.server.core, harness.server.frontends[0].server
        address = ("127.0.0.1", harness.port)
        sock = None if is_new else socket.create_connection(address)
        beat_at = core.loop_lag.last_beat_at
        while core.loop_lag.last_beat_at == beat_at or not (is_new or server.connections):
            await asyncio.sleep(0)
        sock = sock or socket.create_connection(address)
        sent_at = time.monotonic()
        sock.send(make_command(fields=make_fields(d=str(int(CLIENT_TIMEOUT_S * 1000)))))
        hold_up_loop(pause_s)
        command = await host.arrivals.get()
        told_s = int(fields(command)["d"]) / 1000
        assert time.monotonic() + told_s <= sent_at + CLIENT_TIMEOUT_S + DEADLINE_SLACK_S
        sock.close()


# Guards against a request that is taken for old because the process was paused before it came.
@run_on_uvloop
async def test_request_that_comes_after_a_pause_has_its_whole_time(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with socket.create_connection(("127.0.0.1", harness.port)) as sock:
            while not harness.server.frontends[0].server.connections:
                await asyncio.sleep(0)
            hold_up_loop(1.5)
            sock.send(make_command(fields=make_fields(d="1000")))  # read in the first poll after the pause
            command = await host.arrivals.get()
            assert int(fields(command)["d"]) > 0 and command[2] == b"r1"


# Guards against a request that is taken for old because its connection was not read for a moment long before.
@run_on_uvloop
async def test_request_when_its_connection_waited_for_its_turn_before_then_it_has_its_whole_time(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(
        input_scheduler, "IMMEDIATE_TIME_S", -1.0
    )  # all input waits, and is not read meanwhile
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"r1"))
        assert await read_reply(reader) == VALUE_REPLY
        monkeypatch.setattr(harness.server.core.input_scheduler, "clock", lambda: time.monotonic() + 10.0)
        writer.write(make_command(b"r2"))  # 10 s later, by the clock of arrivals
        assert await read_reply(reader) == VALUE_REPLY


# Guards against a request that is taken for old because the read before it filled the buffer exactly.
@run_on_uvloop
async def test_request_when_the_read_before_it_filled_the_buffer_then_it_has_its_whole_time(
    tmp_path, monkeypatch
):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        padding = (
            READ_BYTES - len(make_command(b"r1", make_fields() + b",x=" + b"y" * READ_BYTES)) + READ_BYTES
        )
        command = make_command(b"r1", make_fields() + b",x=" + b"y" * padding)
        assert len(command) == READ_BYTES
        writer.write(command)
        assert await read_reply(reader) == VALUE_REPLY
        monkeypatch.setattr(harness.server.core.input_scheduler, "clock", lambda: time.monotonic() + 10.0)
        writer.write(make_command(b"r2"))  # 10 s later, by the clock of arrivals
        assert await read_reply(reader) == VALUE_REPLY


# Guards against priority for connections that send a part of a command and come again.
@run_on_uvloop
async def test_part_of_a_command_when_it_is_read_then_it_is_charged_as_no_work(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command()[:20])
        server = harness.server.frontends[0].server
        while not server.partial_bytes:
            await asyncio.sleep(0)
        (connection,) = server.connections
        assert connection.input.cost_factor == BULK_COST_FACTOR and not connection.input.credit_s
        writer.write(make_command()[20:])
        assert await read_reply(reader) == VALUE_REPLY
        assert connection.input.cost_factor == 1.0 and connection.input.credit_s
